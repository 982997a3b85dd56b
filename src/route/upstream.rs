//! One upstream as an entry sees it, and the calls in progress there.

use crate::arena::Key;
use crate::common;
use crate::route::eject::Health;
use crate::route::eject::Signal;
use crate::route::eject::Window;
use crate::time::Millis;

/// Weight of a long call in the load that short work sees: agents keep room
/// for short work, so long calls delay it less than short ones.
const LONG_WEIGHT: f64 = 0.5;

/// Weight of the newest response in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.05;

/// Time in which an unusual pace is half forgotten. An upstream that is avoided
/// for its pace gets no calls that would correct it.
const PACE_HALF: f64 = 500.0;

/// Age at which the reported load of other entries counts half.
const REPORT_HALF: f64 = 300.0;

/// Calls in progress by which an upstream of the own zone must be busier before
/// another zone is used: the round trip and the room that its own zone lacks.
const REMOTE_PENALTY: f64 = 4.0;

/// Score of an upstream that is used only if no other is open.
const LAST_RESORT: f64 = 1e6;

/// A response counts as at most this many times the expected one.
const OVERRUN: f64 = 4.0;

common! { value
/// What the choice needs to know about a request.
pub struct RequestTraits {
    /// Expected time at the upstream, in milliseconds.
    pub cost: f64,
    /// True for short work.
    pub short: bool,
    /// True when another attempt can follow if this one fails or is slow.
    pub repeatable: bool,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
}
}

common! { value
/// Load as an agent reported it.
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// When the load was measured.
    pub measured_at: Millis,
}
}

/// One call in progress at an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) upstream: Key<Upstream>,
    pub(crate) cost: f64,
    pub(crate) short: bool,
    pub(crate) sent: Millis,
    pub(crate) begun: bool,
    pub(crate) prefix: Option<u64>,
}

impl Call {
    /// Where it runs.
    pub fn upstream(&self) -> Key<Upstream> {
        self.upstream
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Whole answer.
    Done,
    /// Refused before the run for want of room.
    ///
    /// The agent divides its room by organisation, so another request may
    /// still be taken and the upstream stays open.
    Busy,
    /// Refused before the run; the upstream takes nothing until this time.
    Refused(Millis),
    /// Refused before the run without a time, or not reached; until this time
    /// it is used only if no other upstream is open.
    Avoided(Millis),
    /// Broken link, crash or time-out.
    Failed,
    /// Cancelled by this entry.
    Cancelled,
}

/// One upstream as this entry sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name, unique in the fleet.
    pub name: String,
    /// True in the entry's own zone.
    pub local: bool,
    /// False when it is leaving or not serving.
    pub ready: bool,
    /// Ejection state.
    pub health: Health,
    /// Calls in progress.
    pub calls: u32,
    pub(crate) window: Window,
    pub(crate) failures: u32,
    pub(crate) long_calls: u32,
    pub(crate) pace: f64,
    pub(crate) paced: Millis,
    pub(crate) others: f64,
    pub(crate) reported: Millis,
    pub(crate) busy: Millis,
    pub(crate) avoid: Millis,
}

impl Upstream {
    pub(crate) fn new(name: &str, local: bool) -> Upstream {
        Upstream {
            name: name.to_string(),
            local,
            ready: true,
            health: Health::Serving,
            calls: 0,
            window: Window::default(),
            failures: 0,
            long_calls: 0,
            pace: 1.0,
            paced: Millis(0),
            others: 0.0,
            reported: Millis(0),
            busy: Millis(0),
            avoid: Millis(0),
        }
    }

    /// True when it may get a new call now.
    pub(crate) fn open(&self, now: Millis, traits: &RequestTraits) -> bool {
        self.ready && self.busy <= now && self.health.admits(traits.repeatable)
    }

    /// Load that the request would meet, times the pace of the upstream.
    ///
    /// Calls are counted and not weighed by cost: each holds one place in the
    /// engine's batch, however long it runs.
    pub(crate) fn score(&self, now: Millis, traits: &RequestTraits) -> f64 {
        let long = if traits.short { LONG_WEIGHT } else { 1.0 };
        let short_calls = f64::from(self.calls - self.long_calls);
        let own = short_calls + long * f64::from(self.long_calls);
        let age = now.since(self.reported).0 as f64;
        let others = self.others * long.midpoint(1.0) * REPORT_HALF / (REPORT_HALF + age);
        let remote = if self.local { 0.0 } else { REMOTE_PENALTY };
        // Of several, the one that refused longest ago is tried first.
        let left = self.avoid.since(now).0 as f64;
        let avoided = if left > 0.0 {
            LAST_RESORT * (1.0 + left)
        } else {
            0.0
        };
        self.pace_at(now) * (1.0 + own + others + remote) + avoided
    }

    /// Response time relative to the expected one, forgotten with time.
    fn pace_at(&self, now: Millis) -> f64 {
        let age = now.since(self.paced).0 as f64;
        1.0 + (self.pace - 1.0) * PACE_HALF / (PACE_HALF + age)
    }

    pub(crate) fn note(&mut self, now: Millis, call: &Call, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let elapsed = now.since(call.sent).0 as f64;
                let ratio = elapsed.max(0.5) / call.cost.max(0.5);
                // One straggler must not mark its upstream as slow.
                let ratio = ratio.min(OVERRUN);
                let pace = self.pace_at(now);
                self.pace = pace + PACE_WEIGHT * (ratio.max(1.0) - pace);
                self.paced = now;
                self.window.add(Signal::Response, ratio);
                self.failures = 0;
                self.avoid = Millis(0);
            }
            Outcome::Refused(until) => self.busy = until,
            Outcome::Avoided(until) => self.avoid = until,
            Outcome::Failed => self.failures += 1,
            Outcome::Busy | Outcome::Cancelled => {}
        }
        self.health.on_ended(outcome == Outcome::Done);
    }
}
