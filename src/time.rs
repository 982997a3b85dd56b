//! Time in milliseconds, which the decision logic takes as an argument, and a wall clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::common;

common! { key
/// A point in time or a span of time, in milliseconds.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);
}

impl Millis {
    /// Returns the span from `earlier` to `self`, or zero when `earlier` is after `self`.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `span` after `self`, at most the largest number.
    pub const fn plus(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }

    /// Returns the span as a `Duration`, for timers.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Wall-clock time that never goes backwards.
///
/// The expiry of idempotency records depends on this, so the system clock is
/// read once, at the start of the process, and the monotonic clock is added.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Millis,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: Millis(wall.as_millis() as u64),
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        self.wall
            .plus(Millis(self.start.elapsed().as_millis() as u64))
    }

    /// Returns the system time at which the clock was created, at the start of the process.
    pub fn started(&self) -> Millis {
        self.wall
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
