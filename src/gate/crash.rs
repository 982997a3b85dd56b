//! Detection of crashes from lost connections: it tells requests that ran at the crash
//! of an upstream from those that only lost their connection.

use std::collections::VecDeque;

use crate::prelude::*;

/// Longest time between the loss of a request and the end of its upstream for which the
/// request is taken to have been there at the crash.
const RELATED_TIME: Millis = Millis(1_500);

/// Number of requests lost at one upstream within [`CRASH_WINDOW`] that shows a crash.
const CRASH_LOSSES: usize = 3;

/// Time within which the losses of a crash occur.
const CRASH_WINDOW: Millis = Millis(150);

/// Most lost requests that are remembered.
const MAX_LOSSES: usize = 512;

/// Most upstreams whose end is remembered.
const MAX_ENDS: usize = 512;

/// A request whose upstream ended the connection.
#[derive(Clone, Debug)]
struct Loss<T> {
    sent: Millis,
    at: Millis,
    upstream: String,
    request: T,
}

/// Remembers the requests that were lost, and the upstreams that ended, during the last
/// 1.5 s. `T` describes a request.
#[derive(Clone, Debug)]
pub struct CrashDetector<T> {
    losses: VecDeque<Loss<T>>,
    /// When upstreams ended, by id.
    ends: IndexMap<String, Millis>,
}

impl<T> Default for CrashDetector<T> {
    fn default() -> Self {
        CrashDetector {
            losses: VecDeque::new(),
            ends: IndexMap::new(),
        }
    }
}

impl<T> CrashDetector<T> {
    /// Records that an upstream ended the connection of a request that was sent to it at
    /// `sent`.
    ///
    /// Returns the requests that were there at a crash: all that were lost there, when
    /// enough of them were lost at once to show a crash, or this one, when the upstream is
    /// known to have ended.
    ///
    /// If most of the requests that were lost at that time were at other upstreams, the
    /// connections of this process were reset, and no upstream has crashed. An upstream that
    /// has accepted a request after it lost another one lives on: it breaks off answers.
    pub fn record_loss(&mut self, now: Millis, sent: Millis, upstream: &str, request: T) -> Vec<T> {
        self.losses.retain(|l| now.since(l.at) < RELATED_TIME);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        let end = self.ends.get(upstream);
        if end.is_some_and(|at| now.since(*at) < RELATED_TIME) {
            return vec![request];
        }
        self.losses.push_back(Loss {
            sent,
            at: now,
            upstream: upstream.to_string(),
            request,
        });
        let latest = self.losses.iter();
        let latest = latest.filter(|l| now.since(l.at) < CRASH_WINDOW);
        let (here, elsewhere): (Vec<_>, Vec<_>) = latest.partition(|l| l.upstream == upstream);
        let first = here.iter().map(|l| l.at).min().unwrap_or(now);
        let together = here.iter().filter(|l| l.sent <= first).count();
        if together >= CRASH_LOSSES && together > elsewhere.len() {
            self.record_end(now, now, upstream)
        } else {
            Vec::new()
        }
    }

    /// Records that an upstream has ended at the time `at`; returns the requests that were
    /// lost there shortly before and have not been returned yet.
    pub fn record_end(&mut self, now: Millis, at: Millis, upstream: &str) -> Vec<T> {
        self.ends.retain(|_, at| now.since(*at) < RELATED_TIME);
        if now.since(at) >= RELATED_TIME {
            return Vec::new();
        }
        if self.ends.len() < MAX_ENDS {
            self.ends.entry(upstream.to_string()).or_insert(at);
        }
        let (mut crashed, mut kept) = (Vec::new(), VecDeque::new());
        for loss in self.losses.drain(..) {
            if loss.upstream == upstream && now.since(loss.at) < RELATED_TIME {
                crashed.push(loss.request);
            } else {
                kept.push_back(loss);
            }
        }
        self.losses = kept;
        crashed
    }
}
