//! Which entry processes read the store, and whether the others can rely on
//! their reading.
//!
//! If every entry process kept its own long poll at the store, the store would
//! answer each change once for each of them, and each answer is paid for. So
//! only a few entries of each zone read. The others fetch changes from them, and
//! take over when the readers fall silent or lose the store.

use crate::member::peers::Peer;
use crate::member::peers::Peers;
use crate::member::peers::Role;
use crate::prelude::*;
use crate::rollout::versions::Dating;
use crate::rollout::versions::Naming;
use crate::table::replica::Position;

/// Entries of a zone that read the store, so that one of them may be lost.
const READERS_PER_ZONE: usize = 2;

/// Time without a datagram of a reader after which another entry takes over.
/// The entries of a zone send each other datagrams four times a second.
const READER_TIMEOUT: Millis = Millis(900);

/// Longest time by which peers may have changes earlier than the own reading;
/// after it, the own reading is not reliable.
const MAX_PEER_LEAD: Millis = Millis(600);

/// Time behind a peer after which an entry reads the store itself. It leaves
/// room for one fetch that times out and the answer of another peer.
const MAX_BEHIND: Millis = Millis(700);

/// Time for which a process that has just started only listens, so that it learns of
/// others from which it can fetch what the store holds.
pub const FIRST_READ_DELAY: Millis = Millis(200);

/// Entries beyond the first two of a zone that may try to read at the same time.
const TURN_SIZE: usize = 2;

/// Time after which the turn to read passes to the next entries of a zone. A store that
/// can be reached answers within it.
const TURN: Millis = Millis(250);

/// Time for which a read waits at the store for a change. Each call is paid
/// for, but other entries of the zone rely on a reader that has lost the store
/// for up to this time.
const READ_WAIT: Millis = Millis(1_600);

/// Time beyond the wait after which a read is given up. A store that is fifty
/// times slower than usual answers within 200 ms.
const ANSWER_GRACE: Millis = Millis(800);

/// Time for which a read waits at the store after a failed one. Such a read only
/// shows whether the store answers.
const RETRY_WAIT: Millis = Millis(100);

/// Shortest and longest timeout of a read after a failed one, in milliseconds.
/// The timeout doubles with each failure. It stays short so that no long call is
/// open when the store returns from an outage.
const RETRY_TIMEOUTS_MS: (u64, u64) = (500, 1_500);

/// Start and upper bound of the pause after a failed read, in milliseconds. The
/// pause doubles with each failure, as many processes fail at the same time.
const BACKOFF_MS: (u64, u64) = (80, 400);

/// Pause between an answer and the next call. Changes come in bursts, and each
/// answer is paid for. A change made during the pause comes into force later by
/// up to this time.
const CALL_GAP: Millis = Millis(100);

/// Time from a change in the store to its arrival here while a read waits.
const CHANGE_LATENCY: Millis = Millis(50);

/// Shortest time to an answer that shows that the read waited for a change.
const MIN_WAITED: Millis = Millis(30);

/// Longest time since the replica was last complete for which the time of a change counts as
/// known. After a longer one it matters whether the store had an outage.
const MAX_DATING_GAP: Millis = Millis(1_500);

/// Failed calls in a row that show an outage of the store. The first may only have lost its
/// connection.
const OUTAGE_FAILURES: u32 = 2;

/// Longest time between two ticks of a process that runs. A longer one shows that it stood
/// still meanwhile.
const MAX_TICK_GAP: Millis = Millis(500);

/// Longest standstill after which this process may act at once by what it knew before. The
/// replica of an entry is complete up to about a second before it stood still, and an
/// evacuation must be kept 5 s after it was acknowledged.
const MAX_STANDSTILL: Millis = Millis(2_000);

/// Time after a longer standstill in which the changes made meanwhile arrive: a datagram of
/// a peer comes within 250 ms, and a fetch or a read follows it.
const CATCH_UP: Millis = Millis(1_000);

/// Longest time after the start in which what was read is not relied on until the store, or a
/// peer that reads it, has confirmed it: a peer that is cut off passes on an old copy.
const MAX_UNCONFIRMED: Millis = Millis(3_000);

common! { key
/// Times of one call to the store.
pub struct Call {
    /// Time for which the store may wait for changes.
    pub wait: Millis,
    /// Time after which the call is given up.
    pub timeout: Millis,
}
}

common! { key
/// Why an entry reads the store.
pub enum Reason {
    /// It has not read anything yet.
    FirstRead,
    /// Peers have changes that it cannot fetch from them.
    Behind,
    /// Fewer than two entries of its zone with smaller names read.
    Rank,
}
}

/// State of this process's reading of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreWatch {
    /// Last answer of the store; `None` after a failure or while others read.
    last_answer: Option<Millis>,
    /// Failed calls since the last answer.
    failures: u32,
    /// First news from a peer since the last answer of the store.
    peer_news_since: Option<Millis>,
    /// When the replica was last known to be complete.
    complete_at: Option<Millis>,
    /// True while an answer is applied for which the store had let the call wait.
    ended_wait: bool,
    /// When a peer first had changes that this process still lacks.
    behind_since: Option<Millis>,
    /// When a part of the answer to the present call last arrived.
    receiving: Option<Millis>,
    /// Since when the zone has had too few readers with smaller names.
    short_since: Option<Millis>,
    /// When the last call was made that shows an outage of the store.
    away_at: Option<Millis>,
    /// When this process last ran.
    ran_at: Option<Millis>,
    /// Start and end of the last time in which this process stood still.
    standstill: Option<(Millis, Millis)>,
    /// When this process first ran.
    began_at: Option<Millis>,
    /// End of the last long standstill.
    woke_at: Option<Millis>,
}

impl StoreWatch {
    /// Records that the replica holds all changes that the store had at `now`.
    pub fn on_complete(&mut self, now: Millis) {
        self.complete_at = self.complete_at.max(Some(now));
        self.ended_wait = false;
    }

    /// Records that this process runs; called at short intervals, and before the time of an
    /// answer counts.
    pub fn on_tick(&mut self, now: Millis) {
        if let Some(at) = self.ran_at.filter(|at| now.since(*at) > MAX_TICK_GAP) {
            self.standstill = Some((at, now));
            if now.since(at) > MAX_STANDSTILL {
                self.woke_at = Some(now);
            }
        }
        self.ran_at = Some(now);
        self.began_at.get_or_insert(now);
    }

    /// Returns the time for which this process may lack changes that were made while it
    /// stood still, or before it started; none when it has caught up.
    pub fn catch_up_left(&self, now: Millis) -> Option<Millis> {
        // A request may be handled before the first tick after a standstill.
        if self.ran_at.is_some_and(|at| now.since(at) > MAX_STANDSTILL) {
            return Some(CATCH_UP);
        }
        let start_end = self.began_at.map(|at| at.plus(MAX_UNCONFIRMED));
        let start_end = start_end.filter(|_| self.complete_at.is_none());
        let wake_end = self.woke_at.map(|at| at.plus(CATCH_UP));
        let left = start_end.max(wake_end)?.since(now);
        (left > Millis(0)).then_some(left)
    }

    /// Returns when this process stood still first during a call that was made at `asked`.
    fn stood_still(&self, asked: Millis) -> Option<Millis> {
        let held = self.standstill.filter(|(_, end)| *end >= asked);
        held.map(|(start, _)| start.max(asked))
    }

    /// Records whether the answer that is applied next, to a call made at
    /// `asked`, came only after a wait for a change.
    ///
    /// The wait shows that there was no change when the call was made, but only
    /// if the call followed right after the previous answer. If this process stood still
    /// meanwhile, the answer may have come at any time since then.
    pub fn note_wait(&mut self, now: Millis, asked: Millis) {
        self.on_tick(now);
        let pause = self.complete_at.map(|at| asked.since(at));
        let follows = pause.is_some_and(|pause| pause <= CALL_GAP.plus(CALL_GAP));
        let stood_still = self.stood_still(asked);
        self.ended_wait = follows && now.since(asked) >= MIN_WAITED && stood_still.is_none();
        if let Some(at) = stood_still.filter(|_| follows) {
            self.on_complete(at);
        }
    }

    /// Returns the earliest time at which the store may have acknowledged a change that is
    /// read at `now`; none when the replica was never known to be complete.
    ///
    /// A change that ends a wait has just been made. Any other change was made after the
    /// replica was last complete, while the entry paused between calls or before it took
    /// over from a reader that fell silent. Bounds count anew from an outage of the store, so
    /// a change is dated no earlier than that. Without an outage, all readers may have been
    /// lost, and the change may have been made at any time since.
    pub fn change_time(&self, now: Millis) -> Option<Naming> {
        let exact = |at| Naming {
            at,
            dating: Dating::Exact,
        };
        if self.ended_wait {
            return Some(exact(now.since(CHANGE_LATENCY)));
        }
        let complete = self.complete_at?;
        let at = complete.since(CALL_GAP).since(CHANGE_LATENCY);
        if now.since(complete) <= MAX_DATING_GAP {
            return Some(exact(at));
        }
        let away = self.away_at.filter(|away| *away >= complete);
        Some(away.map_or(
            Naming {
                at,
                dating: Dating::Earliest,
            },
            exact,
        ))
    }

    /// Records an answer of the store.
    pub fn on_answer(&mut self, now: Millis) {
        self.last_answer = Some(now);
        self.failures = 0;
        self.receiving = None;
        self.peer_news_since = None;
    }

    /// Returns the pause until the next call; 0 unless the store has answered.
    pub fn next_call_in(&self, now: Millis) -> Millis {
        let next = self.last_answer.map_or(now, |at| at.plus(CALL_GAP));
        next.since(now)
    }

    /// Records that a part of the answer to the present call has arrived.
    pub fn on_receiving(&mut self, now: Millis) {
        self.receiving = Some(now);
    }

    /// Records a call, made at `asked`, that failed or timed out.
    pub fn on_failure(&mut self, now: Millis, asked: Millis) {
        self.on_tick(now);
        self.last_answer = None;
        self.receiving = None;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= OUTAGE_FAILURES && self.stood_still(asked).is_none() {
            self.away_at = Some(asked);
        }
    }

    /// Records that this process does not read, as enough other entries do.
    pub fn on_idle(&mut self) {
        self.last_answer = None;
    }

    /// Returns the times of the next call: a short one after a failure, else a
    /// long poll.
    pub fn next_call(&self) -> Call {
        if self.failures == 0 {
            return Call {
                wait: READ_WAIT,
                timeout: READ_WAIT.plus(ANSWER_GRACE),
            };
        }
        let timeout = RETRY_TIMEOUTS_MS.0 << self.failures.min(4);
        Call {
            wait: RETRY_WAIT,
            timeout: Millis(timeout.min(RETRY_TIMEOUTS_MS.1)),
        }
    }

    /// Returns the longest pause after a failed call, at most 400 ms. The caller
    /// draws a random part of it.
    pub fn backoff(&self) -> Millis {
        Millis((BACKOFF_MS.0 << self.failures.min(4)).min(BACKOFF_MS.1))
    }

    /// Records that a peer delivered changes of the store.
    pub fn on_peer_news(&mut self, now: Millis) {
        self.peer_news_since.get_or_insert(now);
    }

    /// Records that a peer has changes that this process lacks.
    pub fn on_behind(&mut self, now: Millis) {
        self.behind_since.get_or_insert(now);
    }

    /// Records that changes arrived, from the store or a peer.
    pub fn on_progress(&mut self) {
        self.behind_since = None;
    }

    /// Records whether the zone has too few readers with smaller names.
    pub fn note_readers(&mut self, now: Millis, is_short: bool) {
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
    }

    /// Returns true when peers have had changes for 700 ms and this process got
    /// none of them. It may receive the datagrams of readers while its own calls
    /// do not reach them.
    pub fn is_stuck(&self, now: Millis) -> bool {
        self.behind_since
            .is_some_and(|at| now.since(at) >= MAX_BEHIND)
    }

    /// Returns true while other processes may rely on this reading: the store
    /// has answered in time, and peers were not much earlier with changes; or a large
    /// answer is arriving.
    pub fn is_reliable(&self, now: Millis) -> bool {
        let is_receiving = self
            .receiving
            .is_some_and(|at| now.since(at) < ANSWER_GRACE);
        if is_receiving && self.last_answer.is_some() {
            return true;
        }
        let max_age = CALL_GAP.plus(READ_WAIT).plus(ANSWER_GRACE);
        let peer_lead = self.peer_news_since.map_or(Millis(0), |at| now.since(at));
        self.last_answer.is_some_and(|at| now.since(at) <= max_age) && peer_lead < MAX_PEER_LEAD
    }
}

/// Returns why the entry `own`, whose replica is complete at `position`, should read the
/// store itself: before its first read, while peers have changes that it cannot fetch from
/// them, or when its zone has too few readers.
///
/// Answers a fleet of which most entries start again, or are late, while a large document
/// changes: the answers to all of them together do not fit on the link to the store. So the
/// entries of a zone that are equally late take turns. Those that are not in turn fetch from
/// the others what these have read.
pub fn read_reason(
    now: Millis,
    own: &str,
    zone: &str,
    watch: &StoreWatch,
    position: Position,
    peers: &Peers,
) -> Option<Reason> {
    let near: Vec<&Peer> = peers
        .with_role(Role::Entry)
        .filter(|peer| {
            let is_live = peer.started > 0 && now.since(peer.last_heard) < READER_TIMEOUT;
            is_live && peer.zone == zone
        })
        .collect();
    let late = || near.iter().filter(|peer| peer.position <= position);
    let has_source = near.iter().any(|peer| peer.position > position);
    if position.revision == 0 {
        let waited = watch.behind_since.map_or(Millis(0), |at| now.since(at));
        let may_fetch = has_source && waited < MAX_BEHIND;
        let is_in_turn = is_in_turn(own, late(), waited);
        return (!may_fetch && is_in_turn).then_some(Reason::FirstRead);
    }
    let waited = watch.behind_since.map_or(Millis(0), |at| now.since(at));
    if watch.is_stuck(now) && is_in_turn(own, late(), waited.since(MAX_BEHIND)) {
        return Some(Reason::Behind);
    }
    let short = watch.short_since.map_or(Millis(0), |at| now.since(at));
    let may_read = watch.is_reliable(now) || is_in_turn(own, near.iter(), short);
    (may_read && should_read(now, own, zone, peers)).then_some(Reason::Rank)
}

/// Returns true when the entry `own` may try to read the store, `waited` after it was first
/// needed: always if it is one of the two with the smallest names among itself and `others`,
/// else two at a time in the order of names.
fn is_in_turn<'a>(own: &str, others: impl Iterator<Item = &'a &'a Peer>, waited: Millis) -> bool {
    let (mut rank, mut count) = (0, 0);
    for other in others {
        rank += usize::from(other.name.as_str() < own);
        count += 1;
    }
    if rank < READERS_PER_ZONE {
        return true;
    }
    let turns = (count + 1 - READERS_PER_ZONE).div_ceil(TURN_SIZE);
    let passed = (waited.0 / TURN.0) as usize;
    passed > 0 && (rank - READERS_PER_ZONE) / TURN_SIZE == (passed - 1) % turns
}

/// Returns true when fewer than two entries of the zone with smaller names than `own`
/// are readers that can be relied on.
pub fn should_read(now: Millis, own: &str, zone: &str, peers: &Peers) -> bool {
    let earlier = peers.with_role(Role::Entry).filter(|peer| {
        peer.zone == zone
            && peer.is_reader
            && peer.name.as_str() < own
            && now.since(peer.last_heard) < READER_TIMEOUT
    });
    earlier.count() < READERS_PER_ZONE
}
