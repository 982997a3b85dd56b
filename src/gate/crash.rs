//! Tells requests that ran at the crash of an upstream from those whose
//! connection alone was lost.

use std::collections::VecDeque;

use crate::once::Fingerprint;
use crate::prelude::*;

/// Time within which a lost request and the end of its upstream belong together.
const TOGETHER: Millis = Millis(1_500);

/// Requests lost at one upstream within a short time that show its end.
const AT_ONCE: usize = 3;

/// Length of that short time.
const MOMENT: Millis = Millis(150);

/// Lost requests remembered.
const MAX_LOST: usize = 512;

#[derive(Clone, Debug)]
struct Lost {
    at: Millis,
    upstream: String,
    print: Fingerprint,
    attempt: u64,
}

/// Requests whose upstream ended their connection, of the last moments.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    lost: VecDeque<Lost>,
}

impl CrashDetector {
    /// Notes a lost request; the result names those that ran at a crash.
    pub fn record_loss(
        &mut self,
        now: Millis,
        upstream: &str,
        print: Fingerprint,
        attempt: u64,
    ) -> Vec<(Fingerprint, u64)> {
        self.lost.retain(|l| now.since(l.at) < TOGETHER);
        if self.lost.len() >= MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back(Lost {
            at: now,
            upstream: upstream.to_string(),
            print,
            attempt,
        });
        let together = self.lost.iter().filter(|l| l.upstream == upstream);
        let count = together.filter(|l| now.since(l.at) < MOMENT).count();
        if count >= AT_ONCE {
            self.record_end(now, upstream)
        } else {
            Vec::new()
        }
    }

    /// Notes that an upstream has ended; the result names what ran there.
    pub fn record_end(&mut self, now: Millis, upstream: &str) -> Vec<(Fingerprint, u64)> {
        let mut crashed = Vec::new();
        self.lost.retain(|l| {
            let is_its = l.upstream == upstream && now.since(l.at) < TOGETHER;
            if is_its {
                crashed.push((l.print, l.attempt));
            }
            !is_its
        });
        crashed
    }
}
