//! Time as the decision core sees it: milliseconds passed in by the caller.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::common;

common! { key
/// A point in time or a span, in milliseconds.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);
}

impl Millis {
    /// The span from `earlier` to `self`, zero if `earlier` is later.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` after `self`.
    pub const fn plus(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }

    /// The same span for use with timers.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Wall-clock time that is anchored at process start and never steps.
///
/// Expiry of idempotency records depends on time not going backwards, so the
/// system clock is read once and the monotonic clock carries it on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Millis,
    start: Instant,
}

impl Clock {
    /// Anchors a clock at the current system time.
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: Millis(wall.as_millis() as u64),
            start: Instant::now(),
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        self.wall
            .plus(Millis(self.start.elapsed().as_millis() as u64))
    }

    /// The anchor: when the process started.
    pub fn started(&self) -> Millis {
        self.wall
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
