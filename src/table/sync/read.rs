//! Reads of the platform: when they are made, and how their answers are used.

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

/// Time without a call or an answer of any peer after which a process reads the
/// platform itself.
const ISOLATION_MIN: Millis = Millis(10_000);

/// Jitter of that time, so that 2,400 processes without peers make about 250
/// calls/s.
const ISOLATION_JITTER: Millis = Millis(20_000);

impl Core {
    /// Returns true when this process has to read the platform.
    ///
    /// A process without a live list knows no other process of its zone. It is a
    /// reader too, once its start is over.
    pub fn is_reader(&self) -> bool {
        if self.settings.sync_mode == SyncMode::Poll {
            return true;
        }
        let has_live_list = !self.live.stamp().digest.is_empty();
        (has_live_list || self.start.ready) && self.election.is_reader(&self.detector)
    }

    /// Starts the reads that are due.
    pub(super) fn start_due_reads(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_reader = self.is_reader();
        for index in 0..self.watches.len() {
            let call = self.next_call;
            let due = self.watches[index].next_query(now, is_reader, call, &mut self.rng);
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

    /// Schedules the next check for a lack of peers.
    pub(super) fn schedule_isolated_read(&mut self, now: Millis) {
        let jitter = Millis(self.rng.u64(0..=ISOLATION_JITTER.0));
        self.next_isolated_read = now.plus(ISOLATION_MIN).plus(jitter);
    }

    /// Reads the platform if no peer has called or answered for long.
    pub(super) fn isolated_tick(&mut self, now: Millis) {
        if now < self.next_isolated_read {
            return;
        }
        self.schedule_isolated_read(now);
        if now.since(self.last_heard) >= ISOLATION_MIN && !self.is_reader() {
            self.request_reads(now);
        }
    }

    /// Handles the end of a read.
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
        watch.on_end(now, call, index, &mut self.rng);
        if let Some(reading) = reading {
            match key {
                ConfigKey::Live => self.apply_live_reading(now, &reading, out),
                ConfigKey::Routes | ConfigKey::Pools => {
                    self.apply_table_reading(now, key, reading, out)
                }
            }
        }
        self.check_stale();
        self.start_due_reads(now, out);
    }

    /// Uses a live list read from the platform.
    fn apply_live_reading(&mut self, now: Millis, reading: &Reading, out: &mut Vec<Action>) {
        let parse = self.settings.parsers.live.clone();
        match self.live.apply_reading(reading, &parse) {
            Ok(true) => self.live_changed(now, None, out),
            Ok(false) => {}
            Err(error) => self.report(error.code, error.detail, out),
        }
    }

    /// Keeps a table read from the platform, and offers the set if the pair of
    /// tables has changed and is valid.
    fn apply_table_reading(
        &mut self,
        now: Millis,
        key: ConfigKey,
        reading: Reading,
        out: &mut Vec<Action>,
    ) {
        self.texts[key as usize] = Some(reading.text);
        let [Some(routes), Some(pools)] = self.texts.clone() else {
            return;
        };
        let digest = set_digest(&routes, &pools);
        if self.last_digest.as_ref() == Some(&digest) {
            return;
        }
        self.last_digest = Some(digest.clone());
        self.incomplete = None;
        match (self.settings.parsers.set)(&routes, &pools) {
            Ok(set) => self.offer(now, set, Source::Platform, out),
            Err(error) if error.code == Code::SetIncomplete => self.incomplete = Some(error.detail),
            Err(error) => self.refuse(&digest, error, out),
        }
    }

    /// Counts a lower revision that was ignored, and reports it unless it was
    /// the last one reported.
    pub(super) fn report_lower(&mut self, stamp: &Stamp, source: &str, out: &mut Vec<Action>) {
        self.counters.lower += 1;
        if self.last_lower.as_ref() == Some(stamp) {
            return;
        }
        self.last_lower = Some(stamp.clone());
        let held = self.active.stamp().revision;
        let detail = format!(
            "{source} has revision {}; {held} stays in force",
            stamp.revision
        );
        self.report(Code::RevisionLower, detail, out);
    }
}
