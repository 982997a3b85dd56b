//! Attempts that an agent has seen, so that none is run twice.

use indexmap::IndexMap;

/// Attempts remembered; at 1,000 requests a second they cover 16 s.
const KEPT: usize = 16_384;

/// Bounded memory of attempts by request and attempt number.
///
/// A duplicate of a refused attempt must not run after the entry was told
/// that it did not, and a cancel may overtake the attempt that it names.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    seen: IndexMap<(String, u32), ()>,
    next: usize,
}

impl SeenAttempts {
    /// Notes an attempt; false when it was noted before.
    pub fn note(&mut self, request: &str, attempt: u32) -> bool {
        let key = (request.to_string(), attempt);
        if self.seen.contains_key(&key) {
            return false;
        }
        if self.seen.len() < KEPT {
            self.seen.insert(key, ());
            return true;
        }
        // Replaces the oldest in place; the order of a ring needs no shifting.
        let index = self.next % KEPT;
        let replaced = self.seen.replace_index(index, key);
        assert!(replaced.is_ok(), "the key was not held");
        self.next += 1;
        true
    }
}
