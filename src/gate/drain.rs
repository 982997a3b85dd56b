//! Drain of an upstream: new work is refused at once and running work may end.
//!
//! The same applies when the agent's process is stopped, but only for a bounded time.

use crate::prelude::*;

/// Time that peers get to finish the chunks that they fetch from an agent that stops.
///
/// They have other sources, so a longer wait would only delay the stop.
pub const HANDOVER_TIME: Millis = Millis(5_000);

common! { key
/// Why an upstream leaves.
pub enum Reason {
    /// The pools table drains it or no longer lists it.
    Table,
    /// The live list says that its VM is leaving.
    List,
    /// Its own process was told to stop, which is final.
    Stop,
}
}

common! { key
/// Progress of a drain.
#[derive(Default)]
pub enum Phase {
    /// No reason to leave.
    #[default]
    Serving,
    /// New work is refused, and running work has not ended yet.
    Draining,
    /// No work is left. A process that does not stop stays in this phase.
    Drained,
    /// Peers finish the chunks that they fetch; only on a stop.
    HandOver,
    /// The process may exit.
    Exit,
}
}

common! { key
/// Input of the drain state machine.
pub enum Event {
    /// Whether the pools table drains the upstream or no longer lists it.
    Table(bool),
    /// Whether the live list says that the VM is leaving.
    List(bool),
    /// The process was told to stop.
    Stop,
    /// Drain time of the pool: how long running work may take after a stop.
    DrainTime(Millis),
    /// Number of requests that wait or run.
    Work(usize),
    /// Number of chunks that are being sent to peers.
    Uploads(usize),
}
}

common! { key
/// Output of the drain state machine.
pub enum Action {
    /// Refuse new work, and tell peers and entries so.
    Refuse,
    /// Accept work again.
    Serve,
    /// End the remaining work with an explicit error.
    Abort,
    /// Close the listeners and exit.
    Exit,
}
}

/// Drain state of one process.
///
/// On a stop, the process refuses new work, waits up to the drain time for running
/// work, aborts what is left, waits for uploads and exits. Until then it still answers
/// known keys of calls that may not be repeated.
///
/// Only a stop is bounded in time. After a drain by table or live list the process goes
/// on, and each request has its own deadline.
#[derive(Debug)]
pub struct Drain {
    by_table: bool,
    by_list: bool,
    stopped_at: Option<Millis>,
    drain_time: Millis,
    work: usize,
    uploads: usize,
    phase: Phase,
    aborted: bool,
    handover_at: Millis,
}

impl Drain {
    /// Creates the state of a serving process with this drain time.
    pub fn new(drain_time: Millis) -> Drain {
        Drain {
            by_table: false,
            by_list: false,
            stopped_at: None,
            drain_time,
            work: 0,
            uploads: 0,
            phase: Phase::Serving,
            aborted: false,
            handover_at: Millis(0),
        }
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// True while new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.reason().is_some()
    }

    /// The strongest reason to leave: a stop, then the table, then the live list.
    pub fn reason(&self) -> Option<Reason> {
        if self.stopped_at.is_some() {
            return Some(Reason::Stop);
        }
        if self.by_table {
            return Some(Reason::Table);
        }
        self.by_list.then_some(Reason::List)
    }

    /// When the work that remains after a stop is aborted; none without a stop.
    pub fn abort_at(&self) -> Option<Millis> {
        Some(self.stopped_at?.plus(self.drain_time))
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let was_leaving = self.is_leaving();
        match event {
            Event::Table(drain) => self.by_table = drain,
            Event::List(leaving) => self.by_list = leaving,
            Event::Stop => self.stopped_at = Some(self.stopped_at.unwrap_or(now)),
            Event::DrainTime(time) => self.drain_time = time,
            Event::Work(count) => self.work = count,
            Event::Uploads(count) => self.uploads = count,
        }
        match (was_leaving, self.is_leaving()) {
            (false, true) => out.push(Action::Refuse),
            (true, false) => out.push(Action::Serve),
            _ => {}
        }
        self.tick(now, out);
    }

    /// Moves to the phase that the time and the remaining work allow.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.phase == Phase::Exit {
            return;
        }
        if self.phase == Phase::HandOver {
            if self.uploads == 0 || now.since(self.handover_at) >= HANDOVER_TIME {
                self.phase = Phase::Exit;
                out.push(Action::Exit);
            }
            return;
        }
        if !self.is_leaving() {
            self.phase = Phase::Serving;
            return;
        }
        self.phase = if self.work == 0 {
            Phase::Drained
        } else {
            Phase::Draining
        };
        let Some(abort_at) = self.abort_at() else {
            return;
        };
        if self.work > 0 && now < abort_at {
            return;
        }
        if self.work > 0 && !self.aborted {
            self.aborted = true;
            out.push(Action::Abort);
        }
        self.phase = Phase::HandOver;
        self.handover_at = now;
        self.tick(now, out);
    }
}
