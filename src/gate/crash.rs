//! Detection of crashes from lost connections: it tells requests that ran at the crash
//! of an upstream from those that only lost their connection.

use std::collections::VecDeque;

use crate::once::Fingerprint;
use crate::prelude::*;

/// Longest time between the loss of a request and the end of its upstream for which the
/// request is taken to have run at the crash.
const RELATED_TIME: Millis = Millis(1_500);

/// Number of requests lost at one upstream within [`CRASH_WINDOW`] that shows a crash.
const CRASH_LOSSES: usize = 3;

/// Time within which the losses of a crash occur.
const CRASH_WINDOW: Millis = Millis(150);

/// Most lost requests that are remembered.
const MAX_LOSSES: usize = 512;

/// A request whose upstream ended the connection.
#[derive(Clone, Debug)]
struct Loss {
    at: Millis,
    upstream: String,
    fingerprint: Fingerprint,
    attempt: u64,
}

/// Remembers the requests that were lost during the last 1.5 s.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    losses: VecDeque<Loss>,
}

impl CrashDetector {
    /// Records that an upstream ended the connection of a request.
    ///
    /// Returns the fingerprints and attempts that ran there, when enough of them were lost
    /// at once to show a crash.
    pub fn record_loss(
        &mut self,
        now: Millis,
        upstream: &str,
        fingerprint: Fingerprint,
        attempt: u64,
    ) -> Vec<(Fingerprint, u64)> {
        self.losses.retain(|l| now.since(l.at) < RELATED_TIME);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            at: now,
            upstream: upstream.to_string(),
            fingerprint,
            attempt,
        });
        let same_upstream = self.losses.iter().filter(|l| l.upstream == upstream);
        let count = same_upstream
            .filter(|l| now.since(l.at) < CRASH_WINDOW)
            .count();
        if count >= CRASH_LOSSES {
            self.record_end(now, upstream)
        } else {
            Vec::new()
        }
    }

    /// Records that an upstream has ended; returns the fingerprints and attempts that it
    /// ran just before.
    pub fn record_end(&mut self, now: Millis, upstream: &str) -> Vec<(Fingerprint, u64)> {
        let mut crashed = Vec::new();
        self.losses.retain(|l| {
            let is_related = l.upstream == upstream && now.since(l.at) < RELATED_TIME;
            if is_related {
                crashed.push((l.fingerprint, l.attempt));
            }
            !is_related
        });
        crashed
    }
}
