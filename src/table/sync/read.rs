//! Reads of the platform: who makes them and what their answers mean.

use crate::error::Code;
use crate::table::Stamp;
use crate::table::set::set_digest;
use crate::table::sync::Action;
use crate::table::sync::ConfigKey;
use crate::table::sync::Core;
use crate::table::sync::Reading;
use crate::table::sync::Source;
use crate::table::sync::SyncMode;
use crate::time::Millis;

/// Time without a word from any peer after which a process reads the platform itself.
const SOLO_MIN: Millis = Millis(10_000);

/// Jitter of that time; a fleet of 2,400 without peers makes about 250 calls/s.
const SOLO_JITTER: Millis = Millis(20_000);

impl Core {
    /// True when this process watches the platform.
    ///
    /// Without a live list there is no one to leave it to, once the start is over.
    pub fn is_reader(&self) -> bool {
        if self.settings.sync_mode == SyncMode::Poll {
            return true;
        }
        let listed = !self.live.stamp().digest.is_empty();
        (listed || self.start.ready) && self.election.is_reader(&self.detector)
    }

    /// Makes the reads that are due.
    pub(super) fn read_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        let reader = self.is_reader();
        for place in 0..self.watches.len() {
            let call = self.next_call;
            let due = self.watches[place].due(now, reader, call, &mut self.rng);
            let Some(query) = due else {
                continue;
            };
            self.next_call += 1;
            self.counters.reads += 1;
            out.push(Action::Read {
                call,
                key: query.key,
                index: query.index,
                wait: query.wait,
            });
        }
    }

    /// Sets the time of the next read without peers.
    pub(super) fn schedule_solo(&mut self, now: Millis) {
        let jitter = Millis(self.rng.u64(0..=SOLO_JITTER.0));
        self.next_solo = now.plus(SOLO_MIN).plus(jitter);
    }

    /// Reads the platform when no peer has been heard for long.
    pub(super) fn solo_tick(&mut self, now: Millis) {
        if now < self.next_solo {
            return;
        }
        self.schedule_solo(now);
        if now.since(self.last_heard) >= SOLO_MIN && !self.is_reader() {
            self.read_all(now);
        }
    }

    /// Takes the end of a read.
    pub(super) fn on_read(
        &mut self,
        now: Millis,
        call: u64,
        key: ConfigKey,
        reading: Option<Reading>,
        out: &mut Vec<Action>,
    ) {
        let watch = &mut self.watches[key as usize];
        let index = reading.as_ref().map(|r| r.index);
        watch.ended(now, call, index, &mut self.rng);
        if let Some(reading) = reading {
            match key {
                ConfigKey::Live => self.read_live(now, &reading, out),
                ConfigKey::Routes | ConfigKey::Pools => self.read_table(now, key, reading, out),
            }
        }
        self.check_fresh();
        self.read_due(now, out);
    }

    fn read_live(&mut self, now: Millis, reading: &Reading, out: &mut Vec<Action>) {
        let parse = self.settings.parsers.live.clone();
        match self.live.read(reading, &parse) {
            Ok(true) => self.live_changed(now, None, out),
            Ok(false) => {}
            Err(error) => self.report(error.code, error.detail, out),
        }
    }

    fn read_table(&mut self, now: Millis, key: ConfigKey, reading: Reading, out: &mut Vec<Action>) {
        self.texts[key as usize] = Some(reading.text);
        let [Some(routes), Some(pools)] = self.texts.clone() else {
            return;
        };
        let digest = set_digest(&routes, &pools);
        if self.last_pair.as_ref() == Some(&digest) {
            return;
        }
        self.last_pair = Some(digest.clone());
        self.waiting = None;
        match (self.settings.parsers.set)(&routes, &pools) {
            Ok(set) => self.offer(now, set, Source::Platform, out),
            Err(error) if error.code == Code::SetIncomplete => self.waiting = Some(error.detail),
            Err(error) => self.refuse(&digest, error, out),
        }
    }

    /// Notes that a lower revision was ignored.
    pub(super) fn note_lower(&mut self, stamp: &Stamp, source: &str, out: &mut Vec<Action>) {
        self.counters.lower += 1;
        if self.last_lower.as_ref() == Some(stamp) {
            return;
        }
        self.last_lower = Some(stamp.clone());
        let held = self.hold.stamp().revision;
        let detail = format!("{source} has {}, {held} stays in force", stamp.revision);
        self.report(Code::RevisionLower, detail, out);
    }
}
