//! Drain: new work is refused at once, running work ends, a stop is bounded.

use crate::prelude::*;

/// Time that peers get for chunks they are fetching when an agent stops.
///
/// They have other sources, so a longer wait would only delay the stop.
pub const HANDOVER_TIME: Millis = Millis(5_000);

common! { key
/// Why an upstream leaves.
pub enum Reason {
    /// The pools table says drain, or lists it no more.
    Table,
    /// The live list says leaving.
    List,
    /// Its own process was told to stop; not withdrawn in this incarnation.
    Stop,
}
}

common! { key
/// How far a drain has come.
#[derive(Default)]
pub enum Phase {
    /// No reason to leave.
    #[default]
    Serving,
    /// New work is refused and running work ends.
    Draining,
    /// No work is left; a process that does not stop stays here.
    Drained,
    /// Peers finish the chunks that they fetch; only a stop gets here.
    HandOver,
    /// The process may exit.
    Exit,
}
}

common! { key
/// Input of the drain state machine.
pub enum Event {
    /// The table says whether to drain.
    Table(bool),
    /// The live list says whether the VM is leaving.
    List(bool),
    /// The process was told to stop.
    Stop,
    /// Drain time of the pool.
    DrainTime(Millis),
    /// Requests waiting or running.
    Work(usize),
    /// Chunks being sent to peers.
    Uploads(usize),
}
}

common! { key
/// Output of the drain state machine, in the order of a stop.
pub enum Action {
    /// Refuse new work and tell it to peers and entries.
    Refuse,
    /// Take work again.
    Serve,
    /// End the remaining work with an explicit error.
    Abort,
    /// Close the listeners and exit.
    Exit,
}
}

/// Drain state of one process.
///
/// The order of a stop is: refuse new work, wait for running work up to the
/// drain time, abort what is left, wait for uploads, exit. Known keys of
/// non-repeatable calls are answered until the exit.
///
/// Only a stop is bounded. A drain by table or live list has no process to end,
/// and each request has its own deadline.
#[derive(Debug)]
pub struct Drain {
    table: bool,
    list: bool,
    stop: Option<Millis>,
    bound: Millis,
    work: usize,
    uploads: usize,
    phase: Phase,
    aborted: bool,
    handover: Millis,
}

impl Drain {
    /// A serving process whose stops are bounded by `bound`.
    pub fn new(bound: Millis) -> Drain {
        Drain {
            table: false,
            list: false,
            stop: None,
            bound,
            work: 0,
            uploads: 0,
            phase: Phase::Serving,
            aborted: false,
            handover: Millis(0),
        }
    }

    /// Phase reached.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// True while new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.reason().is_some()
    }

    /// The strongest reason to leave.
    pub fn reason(&self) -> Option<Reason> {
        if self.stop.is_some() {
            return Some(Reason::Stop);
        }
        if self.table {
            return Some(Reason::Table);
        }
        self.list.then_some(Reason::List)
    }

    /// When the remaining work of a stop is aborted.
    pub fn due(&self) -> Option<Millis> {
        Some(self.stop?.plus(self.bound))
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let was = self.is_leaving();
        match event {
            Event::Table(drain) => self.table = drain,
            Event::List(leaving) => self.list = leaving,
            Event::Stop => self.stop = Some(self.stop.unwrap_or(now)),
            Event::DrainTime(bound) => self.bound = bound,
            Event::Work(count) => self.work = count,
            Event::Uploads(count) => self.uploads = count,
        }
        match (was, self.is_leaving()) {
            (false, true) => out.push(Action::Refuse),
            (true, false) => out.push(Action::Serve),
            _ => {}
        }
        self.tick(now, out);
    }

    /// Moves to the phase that time and counts allow.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.phase == Phase::Exit {
            return;
        }
        if self.phase == Phase::HandOver {
            if self.uploads == 0 || now.since(self.handover) >= HANDOVER_TIME {
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
        let Some(due) = self.due() else {
            return;
        };
        if self.work > 0 && now < due {
            return;
        }
        if self.work > 0 && !self.aborted {
            self.aborted = true;
            out.push(Action::Abort);
        }
        self.phase = Phase::HandOver;
        self.handover = now;
        self.tick(now, out);
    }
}
