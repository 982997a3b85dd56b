//! Messages between processes of a scenario, and what processes ask of the world.

use crate::once::Ticket;
use crate::prelude::*;
use crate::route::flight::Piece;
use crate::table::Set;
use crate::table::Stamp;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Serve {
    /// Name of the request.
    pub request: String,
    /// Attempt number.
    pub attempt: u32,
    /// Pool of the route.
    pub pool: String,
    /// Model of the pool.
    pub model: String,
    /// Digest of the pool.
    pub digest: String,
    /// Revision in force at the entry.
    pub revision: u64,
    /// Time left.
    pub remaining: Millis,
    /// Time that the upstream takes.
    pub run: Millis,
    /// Ticket of a call that may not be repeated.
    pub ticket: Option<Ticket>,
}

/// A message.
#[derive(Clone, Debug)]
pub enum Message {
    /// The texts that the configuration service holds.
    Read {
        /// Routes.
        routes: String,
        /// Pools.
        pools: String,
    },
    /// VMs that the live list calls leaving.
    Live(Vec<String>),
    /// The set in force at the sender.
    Notice(Stamp),
    /// Asks for the receiver's set.
    Fetch,
    /// A set.
    Tables(Arc<Set>),
    /// An attempt.
    Serve(Serve),
    /// Part of an answer; the head is the name of the process that gives it.
    Frame {
        /// Request.
        request: String,
        /// Attempt.
        attempt: u32,
        /// Sequence number.
        seq: u64,
        /// Part.
        piece: Piece<String>,
    },
    /// Failure of an attempt.
    Fail {
        /// Request.
        request: String,
        /// Attempt.
        attempt: u32,
        /// Why.
        error: Error,
    },
    /// Cancels an attempt.
    Cancel {
        /// Request.
        request: String,
        /// Attempt.
        attempt: u32,
    },
}

/// Work of a process that takes time.
#[derive(Clone, Debug)]
pub enum Work {
    /// The engine ends an attempt.
    Ran {
        /// Request.
        request: String,
        /// Attempt.
        attempt: u32,
    },
    /// The engine ends a load.
    Loaded(String),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// Failure; none for a whole answer.
    pub error: Option<Error>,
    /// Process whose answer it is.
    pub by: String,
}

/// What a process asks of the world.
#[derive(Clone, Debug)]
pub enum Out {
    /// Send a message.
    Send(String, Message),
    /// Do work that takes this long.
    After(Millis, Work),
    /// Read tables from the configuration service and one peer.
    Refresh,
    /// Tell peers of a new set.
    Spread(Stamp),
    /// A request was dispatched to the engine.
    Dispatched(String),
    /// A request ended.
    Ended(String, Ending),
    /// The process ends.
    Exit,
}
