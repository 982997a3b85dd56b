//! Signatures of requests that crash upstreams.
//!
//! It is made for requests that come again and again, at any entry, and crash each
//! upstream that begins to answer them. They may be repeats of one request, or all
//! different and share one part of their prompt. So a request has several signatures:
//! one for all of it, and one for each part that other requests may have as well.
//!
//! Only an answer that ends whole shows that a request is sound, as upstreams may crash at any
//! point of it. For a part of prompts an event shows that upstreams don't crash on it before
//! they have sent one; that clears the crashes before an event, which name their cause best.
//! What remains with several crashes since is blocked.
//!
//! A request that was never answered counts for itself: it has run at each of its crashes, also
//! at those that come within a few milliseconds, as it is sent again. Parts of prompts, and
//! requests that were answered shortly before, have many runs at a time, so crashes of many
//! upstreams at once count about once for them.
//!
//! Each process tells its peers the crashes and events that it has seen itself, and those
//! that it has heard of for a blocked signature. Reports are sets of crashes and a time, so
//! that repeated, late or reordered ones change nothing.

use crate::prelude::*;
use crate::util;

/// Points of crashes from which a whole request is blocked: two crashes at which an
/// upstream had begun to answer it, or four at which it had not.
const REQUEST_LIMIT: u32 = 8;

/// Points of crashes from which a part of prompts is blocked. It takes more crashes, as a
/// blocked part concerns many requests.
const PART_LIMIT: u32 = 12;

/// Points of a crash when the upstream had sent the head of an answer and no event. An
/// upstream sends the head when it begins to answer.
const BEGUN_POINTS: u32 = 4;

/// The same when requests with the same signature were answered shortly before.
const SOUND_POINTS: u32 = 2;

/// Points of a crash when the upstream had sent nothing: it may have run the request, or
/// another one while this one waited. The same when it had sent an event, as it sends many
/// answers at a time.
const WAITING_POINTS: u32 = 2;

/// Time within which crashes of several upstreams belong to one episode. Many upstreams that
/// are lost at once mostly have another cause than the requests that ran there.
const EPISODE_TIME: Millis = Millis(120);

/// Largest difference of the times that processes state for one crash of an upstream.
/// An upstream takes longer than this to start again.
const SAME_CRASH_TIME: Millis = Millis(1_000);

/// Time without a crash after which a signature without points is forgotten.
const SUSPECT_EXPIRY: Millis = Millis(60_000);

/// Time after the last crash for which a signature stays blocked, with the least number of
/// crashes. After it, one request at one entry shows whether the signature still crashes
/// upstreams; each crash more makes the time four times as long.
const BLOCK_TIME: Millis = Millis(30_000);

/// Longest time of a block; after it, the signature is forgotten. One with fewer crashes is
/// kept as long, as the request may come rarely.
const MAX_BLOCK_TIME: Millis = Millis(10 * 60_000);

/// Time in which the request that tests a blocked signature is expected to begin.
const TEST_TIME: Millis = Millis(10_000);

/// Time for which an answer shows that a signature is probably sound.
const SOUND_TIME: Millis = Millis(60_000);

/// Most signatures whose last answers are remembered at a time, twice.
const MAX_SOUND: usize = 4_096;

/// Most signatures with crashes.
const MAX_SUSPECTS: usize = 1_024;

/// Most crashes that are held for one signature, those that count most.
const MAX_CRASHES: usize = 8;

/// Time after which peers are told of a signature without an answer that was only waiting at a
/// crash. A crash leaves dozens of these, and most are answered elsewhere before.
const REPORT_DELAY: Millis = Millis(1_000);

/// Time for which one choice is reported among the signatures that count least; others follow.
const REPORT_TURN: Millis = Millis(200);

/// Time for which peers are told of an answer to a request with a suspected signature.
const ANSWER_REPORT_TIME: Millis = Millis(5_000);

/// Most signatures in one report to peers.
pub const MAX_REPORTED: usize = 16;

common! { value
/// Signatures of one request.
#[derive(Default)]
pub struct Signatures {
    /// Of the whole request, the same for its repeats.
    pub request: u64,
    /// Of each part of its prompt that other requests may have.
    pub parts: Vec<u64>,
}
}

impl Signatures {
    /// Computes the signatures of a request from its fingerprint and the ids of the parts
    /// of its prompt, which name the same content within `pool`.
    pub fn new<'a>(
        fingerprint: &[u8; 32],
        pool: &str,
        parts: impl IntoIterator<Item = &'a str>,
    ) -> Signatures {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&fingerprint[..8]);
        let parts = parts.into_iter();
        Signatures {
            request: u64::from_be_bytes(bytes),
            parts: parts.map(|id| util::stable_hash([pool, id])).collect(),
        }
    }

    fn all(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

common! { key
/// How far an upstream has come with a request, by what it has sent.
pub enum Progress {
    /// Nothing was received yet.
    Sent,
    /// The head of the answer was received, and no whole event.
    Head,
    /// An event or the whole answer was received.
    Event,
}
}

common! { key
/// A crash of an upstream, counted against a signature.
pub struct Crash {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// When the request was lost.
    pub at: Millis,
    /// How far the upstream had come with the request.
    pub progress: Progress,
    /// True when requests with the signature were answered shortly before.
    pub sound: bool,
}
}

impl Progress {
    /// Number by which messages name it; 0 is none.
    pub fn number(self) -> u32 {
        match self {
            Progress::Sent => 1,
            Progress::Head => 2,
            Progress::Event => 3,
        }
    }
}

impl Crash {
    /// Returns the progress and whether requests were answered before, as a message has them;
    /// earlier releases state only points.
    pub fn decode_progress(number: u32, sound: bool, points: u32) -> (Progress, bool) {
        match number {
            1 => (Progress::Sent, sound),
            2 => (Progress::Head, sound),
            3 => (Progress::Event, sound),
            _ if points >= SOUND_POINTS => (Progress::Head, points == SOUND_POINTS),
            _ => (Progress::Sent, false),
        }
    }

    /// How much it counts.
    pub fn points(&self) -> u32 {
        match (self.progress, self.sound) {
            (Progress::Head, false) => BEGUN_POINTS,
            (Progress::Head, true) => SOUND_POINTS,
            _ => WAITING_POINTS,
        }
    }
}

common! { value
/// What one process has seen of a signature.
pub struct Report {
    /// The signature.
    pub signature: u64,
    /// True for a part of prompts, false for a whole request.
    pub is_part: bool,
    /// Crashes that it has noticed, the earliest first.
    pub crashes: Vec<Crash>,
    /// Crashes that it has heard of, when the signature is blocked. Processes that have
    /// started since then learn of the block from them.
    pub heard: Vec<Crash>,
    /// When an upstream last sent an event of an answer; none when that is not known.
    pub answered: Option<Millis>,
    /// When an answer last ended whole; none when that is not known.
    pub finished: Option<Millis>,
}
}

common! { key
/// What to do with a request.
pub enum Verdict {
    /// It may be sent.
    Pass,
    /// It may be sent, and shows whether the blocked signature still crashes upstreams.
    Test(u64),
    /// It is not to be sent because of this signature.
    Block(u64),
}
}

/// Crashes counted against one signature.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// True for a part of prompts, false for a whole request.
    is_part: bool,
    /// Crashes, and whether this process has seen them itself.
    crashes: Vec<(Crash, bool)>,
    /// When this process last saw an answer that concerns peers.
    own_answered: Option<Millis>,
    /// Last event of an answer known.
    answered: Option<Millis>,
    /// Last whole answer known.
    finished: Option<Millis>,
    /// When a request was last sent to test it.
    tested_at: Option<Millis>,
}

/// Crashes of one signature at about the same time.
#[derive(Clone, Copy, Default)]
struct Episode {
    start: Millis,
    /// Points of the crash that counts most.
    most: u32,
    /// Sum of the points of crashes with no answer shortly before.
    sum: u32,
}

impl Episode {
    fn points(self, is_part: bool) -> u32 {
        let sum = if is_part {
            self.sum.min(BEGUN_POINTS)
        } else {
            self.sum
        };
        self.most.max(sum)
    }
}

impl Suspect {
    /// Crashes after the last answer that clears them.
    fn pending(&self) -> impl Iterator<Item = Crash> + '_ {
        let crashes = self.crashes.iter().map(|(crash, _)| *crash);
        crashes.filter(|crash| {
            let is_cleared_by_event = self.is_part && crash.progress != Progress::Event;
            let event = self.answered.filter(|_| is_cleared_by_event);
            self.finished.max(event).is_none_or(|at| crash.at > at)
        })
    }

    /// Calls `act` with the points of each episode after the last answer, the earliest first.
    fn each_episode(&self, mut act: impl FnMut(u32)) {
        let mut episode = Episode::default();
        for crash in self.pending() {
            if episode.most > 0 && crash.at.since(episode.start) > EPISODE_TIME {
                act(episode.points(self.is_part));
                episode = Episode::default();
            }
            if episode.most == 0 {
                episode.start = crash.at;
            }
            let points = crash.points();
            episode.most = episode.most.max(points);
            episode.sum += if crash.sound { 0 } else { points };
        }
        if episode.most > 0 {
            act(episode.points(self.is_part));
        }
    }

    /// Returns the sum of the points after the last answer.
    fn points(&self) -> u32 {
        let mut sum = 0;
        self.each_episode(|points| sum += points);
        sum
    }

    /// Returns the crashes that this process has seen itself, or the others.
    fn held(&self, is_own: bool) -> Vec<Crash> {
        let held = self.crashes.iter().filter(|(_, own)| *own == is_own);
        held.map(|(crash, _)| *crash).collect()
    }

    fn limit(&self) -> u32 {
        if self.is_part {
            PART_LIMIT
        } else {
            REQUEST_LIMIT
        }
    }

    fn is_blocked(&self) -> bool {
        self.points() >= self.limit()
    }

    fn last_crash(&self) -> Millis {
        let times = self.crashes.iter().map(|(crash, _)| crash.at);
        times.max().unwrap_or_default()
    }

    /// Time after the last crash for which no request tests the signature.
    fn block_time(&self) -> Millis {
        let (mut sum, mut excess) = (0, 0_u32);
        self.each_episode(|points| {
            excess += u32::from(sum >= self.limit());
            sum += points;
        });
        Millis(BLOCK_TIME.0 << (2 * excess)).min(MAX_BLOCK_TIME)
    }

    /// True when peers are to be told: an upstream had begun to answer at a crash, or no
    /// answer has come since.
    fn is_told(&self, now: Millis) -> bool {
        let mut pending = self.pending();
        pending.any(|c| c.progress == Progress::Head || now.since(c.at) >= REPORT_DELAY)
    }

    fn is_expired(&self, now: Millis) -> bool {
        let age = now.since(self.last_crash());
        age >= MAX_BLOCK_TIME || (age >= SUSPECT_EXPIRY && self.points() == 0)
    }

    /// Adds a crash. What counts most remains of the same crash.
    fn add(&mut self, crash: Crash, is_own: bool) {
        let is_same = |held: &Crash| {
            let gap = held.at.since(crash.at).max(crash.at.since(held.at));
            held.upstream == crash.upstream && gap < SAME_CRASH_TIME
        };
        if let Some((held, own)) = self.crashes.iter_mut().find(|(held, _)| is_same(held)) {
            if (crash.points(), crash.progress) > (held.points(), held.progress) {
                (held.progress, held.sound) = (crash.progress, crash.sound);
            }
            *own |= is_own;
            return;
        }
        self.crashes.push((crash, is_own));
        self.crashes.sort_by_key(|(crash, _)| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_least();
        }
    }

    /// Drops the crash without which the most points remain, the earliest of these.
    fn drop_least(&mut self) {
        let points_without = |index: &usize| {
            let mut rest = self.clone();
            rest.crashes.remove(*index);
            rest.points()
        };
        // Of equal ones, the last of the reversed order is the earliest crash.
        let least = (0..self.crashes.len()).rev().max_by_key(points_without);
        if let Some(index) = least {
            self.crashes.remove(index);
        }
    }

    fn add_answers(&mut self, answers: &LastAnswers) {
        self.answered = self.answered.max(answers.event);
        self.finished = self.finished.max(answers.whole);
    }
}

common! { key
/// Last answers to requests with a signature.
#[derive(Default)]
struct LastAnswers {
    /// When the last event was sent.
    event: Option<Millis>,
    /// When the last one ended whole.
    whole: Option<Millis>,
}
}

impl LastAnswers {
    /// Returns the last one that clears a crash with this progress.
    fn clearing(&self, is_part: bool, progress: Progress) -> Option<Millis> {
        let event = self
            .event
            .filter(|_| is_part && progress != Progress::Event);
        self.whole.max(event)
    }
}

/// Last answers by signature, in two generations: when the newer one is full or old, it takes
/// the place of the older one.
#[derive(Clone, Debug, Default)]
struct Answers {
    newer: IndexMap<u64, LastAnswers>,
    older: IndexMap<u64, LastAnswers>,
    started: Millis,
}

impl Answers {
    fn insert(&mut self, now: Millis, signature: u64, answers: LastAnswers) {
        if self.newer.len() >= MAX_SOUND || now.since(self.started) >= SOUND_TIME {
            self.older = std::mem::take(&mut self.newer);
            self.started = now;
        }
        let held = self.last(signature);
        let merged = LastAnswers {
            event: held.event.max(answers.event),
            whole: held.whole.max(answers.whole),
        };
        self.newer.insert(signature, merged);
    }

    fn last(&self, signature: u64) -> LastAnswers {
        let held = self.newer.get(&signature);
        let held = held.or_else(|| self.older.get(&signature));
        held.copied().unwrap_or_default()
    }
}

/// Signatures with crashes, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    suspects: IndexMap<u64, Suspect>,
    answers: Answers,
}

impl CrashTable {
    /// Number of signatures with crashes.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// True when no signature has crashes.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of signatures that are blocked.
    pub fn blocked(&self) -> usize {
        let blocked = self.suspects.values().filter(|s| s.is_blocked());
        blocked.count()
    }

    /// Points that count against a signature now.
    pub fn points(&self, now: Millis, signature: u64) -> u32 {
        let held = self.suspects.get(&signature);
        held.filter(|s| !s.is_expired(now))
            .map_or(0, Suspect::points)
    }

    /// Returns the time until a blocked signature is forgotten.
    pub fn remaining(&self, now: Millis, signature: u64) -> Millis {
        let held = self.suspects.get(&signature);
        held.map_or(Millis(0), |s| {
            s.last_crash().plus(MAX_BLOCK_TIME).since(now)
        })
    }

    /// Counts a crash against a request that was lost at `now`; `progress` is how far the
    /// upstream had come with it.
    ///
    /// Returns the signatures that this blocks.
    pub fn record_crash(
        &mut self,
        now: Millis,
        upstream: u64,
        request: &Signatures,
        progress: Progress,
    ) -> Vec<u64> {
        let mut blocked = Vec::new();
        for signature in request.all() {
            let is_part = signature != request.request;
            let answers = self.answers.last(signature);
            let answered = answers.clearing(is_part, progress);
            let crash = Crash {
                upstream,
                at: now,
                progress,
                sound: answered.is_some_and(|at| now.since(at) < SOUND_TIME),
            };
            let suspect = self.suspect(now, signature);
            let was_blocked = suspect.is_blocked();
            suspect.is_part |= is_part;
            suspect.add(crash, true);
            // The crash may be known only after the request was answered elsewhere.
            if answered.is_some_and(|at| at >= now) {
                suspect.add_answers(&answers);
            }
            if !was_blocked && suspect.is_blocked() {
                blocked.push(signature);
            }
        }
        blocked
    }

    /// Records that an event of the answer to a request has arrived.
    pub fn record_answer(&mut self, now: Millis, request: &Signatures) {
        let answers = LastAnswers {
            event: Some(now),
            whole: None,
        };
        for part in &request.parts {
            self.clear(now, *part, answers);
        }
    }

    /// Records that the answer to a request has ended whole.
    pub fn record_finish(&mut self, now: Millis, request: &Signatures) {
        let answers = LastAnswers {
            event: Some(now),
            whole: Some(now),
        };
        for signature in request.all() {
            self.clear(now, signature, answers);
        }
    }

    /// Clears the crashes of a signature before an answer.
    fn clear(&mut self, now: Millis, signature: u64, answers: LastAnswers) {
        self.answers.insert(now, signature, answers);
        let Some(suspect) = self.suspects.get_mut(&signature) else {
            return;
        };
        let (was_told, points) = (suspect.is_told(now), suspect.points());
        suspect.add_answers(&answers);
        if was_told && suspect.points() < points {
            suspect.own_answered = Some(now);
        }
    }

    /// Merges what a peer has seen. Returns true when this blocks the signature.
    ///
    /// The peer is told in turn of an answer that this process has seen since.
    pub fn merge(&mut self, now: Millis, report: &Report) -> bool {
        let own = self.answers.last(report.signature);
        let suspect = self.suspect(now, report.signature);
        let was_blocked = suspect.is_blocked();
        suspect.is_part |= report.is_part;
        for crash in report.crashes.iter().chain(&report.heard) {
            suspect.add(*crash, false);
        }
        suspect.add_answers(&LastAnswers {
            event: report.answered,
            whole: report.finished,
        });
        let points = suspect.points();
        suspect.add_answers(&own);
        if suspect.points() < points {
            suspect.own_answered = Some(now);
        }
        !was_blocked && suspect.is_blocked()
    }

    /// Decides about a request before it is sent; `is_repeat` tells that an upstream was
    /// lost under it before. A blocked signature is tested only by a process that
    /// `may_test` it.
    pub fn verdict(
        &mut self,
        now: Millis,
        request: &Signatures,
        is_repeat: bool,
        may_test: impl Fn(u64) -> bool,
    ) -> Verdict {
        let mut verdict = Verdict::Pass;
        for signature in request.all() {
            let Some(suspect) = self.suspects.get_mut(&signature) else {
                continue;
            };
            if suspect.is_expired(now) {
                continue;
            }
            if !suspect.is_blocked() {
                // The loss before the repeat may be a crash that is not known yet.
                if is_repeat && suspect.points() + BEGUN_POINTS >= suspect.limit() {
                    return Verdict::Block(signature);
                }
                continue;
            }
            let is_due = now.since(suspect.last_crash()) >= suspect.block_time();
            let is_tested = suspect
                .tested_at
                .is_some_and(|at| now.since(at) < TEST_TIME);
            if is_repeat || !is_due || is_tested || !may_test(signature) {
                return Verdict::Block(signature);
            }
            verdict = Verdict::Test(signature);
        }
        if let Verdict::Test(signature) = verdict
            && let Some(suspect) = self.suspects.get_mut(&signature)
        {
            suspect.tested_at = Some(now);
        }
        verdict
    }

    /// Returns true when a signature of the request is blocked, whatever tests it.
    pub fn is_blocked(&self, now: Millis, request: &Signatures) -> bool {
        let mut held = request.all().filter_map(|s| self.suspects.get(&s));
        held.any(|suspect| !suspect.is_expired(now) && suspect.is_blocked())
    }

    /// Returns what peers are told, with the signatures with the most points first.
    pub fn export(&self, now: Millis) -> Vec<Report> {
        let mut own = Vec::new();
        for (signature, suspect) in &self.suspects {
            let (points, answered) = (suspect.points(), suspect.own_answered);
            let is_answered = answered.is_some_and(|at| now.since(at) < ANSWER_REPORT_TIME);
            if (!suspect.is_told(now) && !is_answered) || suspect.is_expired(now) {
                continue;
            }
            let report = Report {
                signature: *signature,
                is_part: suspect.is_part,
                crashes: suspect.held(true),
                heard: if points > WAITING_POINTS {
                    suspect.held(false)
                } else {
                    Vec::new()
                },
                answered: suspect.answered.filter(|_| answered.is_some()),
                finished: suspect.finished.filter(|_| answered.is_some()),
            };
            let is_known = !report.crashes.is_empty() || !report.heard.is_empty() || is_answered;
            // Many requests may have waited at one crash, so these take turns.
            let order = if points > WAITING_POINTS || is_answered {
                answered
                    .max(Some(suspect.last_crash()))
                    .unwrap_or_default()
                    .0
            } else {
                util::mix(signature ^ (now.0 / REPORT_TURN.0))
            };
            if is_known {
                own.push(((points, order), report));
            }
        }
        own.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        own.truncate(MAX_REPORTED);
        own.into_iter().map(|(_, report)| report).collect()
    }

    /// Forgets expired signatures.
    pub fn tick(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    /// Returns the entry of a signature; adds it, and removes the one with the fewest
    /// points if there are too many.
    fn suspect(&mut self, now: Millis, signature: u64) -> &mut Suspect {
        if self
            .suspects
            .get(&signature)
            .is_some_and(|s| s.is_expired(now))
        {
            self.suspects.swap_remove(&signature);
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&signature) {
            self.tick(now);
            let least = |s: &Suspect| (s.points(), s.last_crash());
            let weakest = self.suspects.iter().min_by_key(|(_, s)| least(s));
            if self.suspects.len() >= MAX_SUSPECTS
                && let Some(weakest) = weakest.map(|(signature, _)| *signature)
            {
                self.suspects.swap_remove(&weakest);
            }
        }
        assert!(self.suspects.len() <= MAX_SUSPECTS, "too many signatures");
        self.suspects.entry(signature).or_default()
    }
}
