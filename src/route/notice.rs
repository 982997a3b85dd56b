//! What upstreams announce in their answers: planned departures and overload.
//!
//! An upstream that leaves announces it in its answers, sometimes before the
//! registry lists it as draining and sometimes without that, and stops soon
//! after. The announcement holds whatever the registry says later about the same
//! incarnation. An overloaded upstream may name a time for which it wants no
//! requests. Each request sent within that time would be refused as well, and
//! would use up the budget of repeated sends.

use crate::prelude::*;

/// Starts of upstreams whose notices are kept, the latest ones. A registration
/// that is removed and comes back does so within seconds, and far fewer upstreams
/// than this announce anything in that time.
const MAX_STARTS: usize = 512;

common! { key
/// Identifies one start of an upstream.
pub struct StartId {
    /// Hash of the upstream's id.
    pub id_hash: u64,
    /// When it started, in milliseconds by its own wall clock; 0 when unknown.
    pub started: u64,
}
}

common! { key
/// What one incarnation of an upstream has announced.
#[derive(Default)]
pub struct Notice {
    /// True once it has announced that it is leaving; never reset.
    pub leaving: bool,
    /// Time until which it wants no requests.
    pub back_off_until: Millis,
}
}

impl Notice {
    /// Records that no requests are wanted for `span`. An earlier announcement that
    /// ends later stays in force.
    pub fn back_off(&mut self, now: Millis, span: Millis) {
        self.back_off_until = self.back_off_until.max(now.plus(span));
    }

    /// Returns the time for which it still wants no requests; zero when it takes them.
    pub fn back_off_left(self, now: Millis) -> Millis {
        self.back_off_until.since(now)
    }
}

/// Notices of many incarnations, some of them no longer registered.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    notices: IndexMap<StartId, Notice>,
}

impl Notices {
    /// Returns the notice of an incarnation; the default when it announced nothing.
    pub fn get(&self, start: StartId) -> Notice {
        self.notices.get(&start).copied().unwrap_or_default()
    }

    /// Stores the notice of an incarnation. When too many are stored, the one whose
    /// last update is the oldest is dropped.
    pub fn set(&mut self, start: StartId, notice: Notice) {
        self.notices.shift_remove(&start);
        if self.notices.len() >= MAX_STARTS {
            self.notices.shift_remove_index(0);
        }
        self.notices.insert(start, notice);
    }
}
