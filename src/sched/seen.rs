//! Remembers the attempts that an agent has seen, so that none is run twice.

use indexmap::IndexMap;

/// Most attempts remembered; at 1,000 requests a second they cover 16 s.
const MAX_ATTEMPTS: usize = 16_384;

/// Attempts that were seen, by request and attempt number.
///
/// A duplicate of a refused attempt must not run after the entry was told that the
/// attempt did not run. Also, the cancellation of an attempt may arrive before the
/// attempt itself.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    seen: IndexMap<(String, u32), ()>,
    next: usize,
}

impl SeenAttempts {
    /// Records an attempt; returns false when it was recorded before.
    pub fn record(&mut self, request: &str, attempt: u32) -> bool {
        let key = (request.to_string(), attempt);
        if self.seen.contains_key(&key) {
            return false;
        }
        if self.seen.len() < MAX_ATTEMPTS {
            self.seen.insert(key, ());
            return true;
        }
        // Replaces the oldest attempt in place, as in a ring buffer.
        let index = self.next % MAX_ATTEMPTS;
        let replaced = self.seen.replace_index(index, key);
        assert!(replaced.is_ok(), "the key was not held");
        self.next += 1;
        true
    }
}
