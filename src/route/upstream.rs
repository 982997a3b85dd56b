//! One upstream as an entry sees it, and the calls in progress there.

use crate::arena::Key;
use crate::common;
use crate::route::eject::Health;
use crate::route::eject::Signal;
use crate::route::eject::Window;
use crate::time::Millis;

/// Weight of a long call in the load that a short request meets. Agents reserve
/// slots for short requests, so long calls delay these less than short calls do.
const LONG_CALL_WEIGHT: f64 = 0.5;

/// Weight of the newest response in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.05;

/// Age at which an unusual pace counts half, in milliseconds. An upstream that is
/// avoided for its pace gets no calls that would correct the pace.
const PACE_DECAY_MS: f64 = 500.0;

/// Age at which the reported load of other entries counts half, in milliseconds.
const REPORT_DECAY_MS: f64 = 300.0;

/// Calls by which an upstream of the own zone must be busier before one in another
/// zone is used. It stands for the round trip, and for the capacity that the other
/// zone then lacks for its own requests.
const REMOTE_PENALTY: f64 = 4.0;

/// Score added to an upstream that is used only when no other is open.
const AVOIDED_SCORE: f64 = 1e6;

/// Largest ratio of a response time to the expected one; longer ones are clipped.
const MAX_RESPONSE_RATIO: f64 = 4.0;

common! { value
/// What the choice needs to know about a request.
pub struct RequestTraits {
    /// Expected service time at the upstream, in milliseconds.
    pub cost: f64,
    /// True for a request that is expected to be short.
    pub short: bool,
    /// True when another attempt can follow if this one fails or is slow.
    pub repeatable: bool,
    /// Hash of the prompt's prefix, if there is one.
    pub prefix: Option<u64>,
}
}

common! { value
/// Load of an upstream as its agent reported it.
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
    /// Returns the upstream that it was sent to.
    pub fn upstream(&self) -> Key<Upstream> {
        self.upstream
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done,
    /// Refused before it ran, because no slot was free.
    ///
    /// The agent shares its slots fairly among organisations, so it may still
    /// accept another request, and the upstream stays open.
    Busy,
    /// Refused before it ran; the upstream accepts no requests until this time.
    Refused(Millis),
    /// Refused before it ran, without a time to come back, or not delivered. Until
    /// this time the upstream is used only when no other is open.
    Avoided(Millis),
    /// Failed by a broken connection, a crash or a time-out.
    Failed,
    /// Cancelled by this entry.
    Cancelled,
}

/// One upstream as this entry sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name, unique among all upstreams.
    pub name: String,
    /// True when it is in the entry's own zone.
    pub local: bool,
    /// False when it is leaving or does not serve.
    pub ready: bool,
    /// Ejection state.
    pub health: Health,
    /// Calls of this entry in progress there.
    pub calls: u32,
    /// Samples by which it may be ejected.
    pub(crate) window: Window,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Long calls among `calls`.
    pub(crate) long_calls: u32,
    /// Moving average of response times relative to the expected ones; at least 1.
    pub(crate) pace: f64,
    /// When the pace was updated.
    pub(crate) paced_at: Millis,
    /// Requests of other entries there, by the last load report.
    pub(crate) other_calls: f64,
    /// When the last load report was measured.
    pub(crate) reported_at: Millis,
    /// Until when it accepts no requests.
    pub(crate) closed_until: Millis,
    /// Until when it is used only as a last resort.
    pub(crate) avoid_until: Millis,
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
            paced_at: Millis(0),
            other_calls: 0.0,
            reported_at: Millis(0),
            closed_until: Millis(0),
            avoid_until: Millis(0),
        }
    }

    /// Returns true when it may get a new call now.
    pub(crate) fn is_open(&self, now: Millis, traits: &RequestTraits) -> bool {
        self.ready && self.closed_until <= now && self.health.admits(traits.repeatable)
    }

    /// Returns the load that the request would meet, times the pace of the upstream;
    /// lower is better.
    ///
    /// Calls are counted and not weighted by their cost, because each takes one slot
    /// in the engine's batch, however long it runs.
    pub(crate) fn score(&self, now: Millis, traits: &RequestTraits) -> f64 {
        let long = if traits.short { LONG_CALL_WEIGHT } else { 1.0 };
        let short_calls = f64::from(self.calls - self.long_calls);
        let own = short_calls + long * f64::from(self.long_calls);
        let age = now.since(self.reported_at).0 as f64;
        let other_calls =
            self.other_calls * long.midpoint(1.0) * REPORT_DECAY_MS / (REPORT_DECAY_MS + age);
        let remote = if self.local { 0.0 } else { REMOTE_PENALTY };
        // Of several avoided upstreams, the one with the least time left is tried first.
        let left = self.avoid_until.since(now).0 as f64;
        let avoided = if left > 0.0 {
            AVOIDED_SCORE * (1.0 + left)
        } else {
            0.0
        };
        self.current_pace(now) * (1.0 + own + other_calls + remote) + avoided
    }

    /// Returns the pace, which decays towards 1 with its age.
    fn current_pace(&self, now: Millis) -> f64 {
        let age = now.since(self.paced_at).0 as f64;
        1.0 + (self.pace - 1.0) * PACE_DECAY_MS / (PACE_DECAY_MS + age)
    }

    /// Updates the state with the outcome of a call.
    pub(crate) fn record_outcome(&mut self, now: Millis, call: &Call, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let elapsed = now.since(call.sent).0 as f64;
                let ratio = elapsed.max(0.5) / call.cost.max(0.5);
                // One straggler must not mark its upstream as slow.
                let ratio = ratio.min(MAX_RESPONSE_RATIO);
                let pace = self.current_pace(now);
                self.pace = pace + PACE_WEIGHT * (ratio.max(1.0) - pace);
                self.paced_at = now;
                self.window.add(Signal::Response, ratio);
                self.failures = 0;
                self.avoid_until = Millis(0);
            }
            Outcome::Refused(until) => self.closed_until = until,
            Outcome::Avoided(until) => self.avoid_until = until,
            Outcome::Failed => self.failures += 1,
            Outcome::Busy | Outcome::Cancelled => {}
        }
        self.health.on_ended(outcome == Outcome::Done);
    }
}
