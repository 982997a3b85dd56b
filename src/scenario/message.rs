//! Messages between processes of a scenario, and what processes ask of the world.

use std::net::SocketAddr;

use crate::once::Ticket;
use crate::prelude::*;
use crate::proto::FetchReply;
use crate::proto::Notice;
use crate::route::action::AnswerPart;
use crate::table::Stamp;
use crate::table::sync;

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
    /// Reads a key of the configuration service.
    Read {
        /// Number of the call.
        call: u64,
        /// Key.
        key: sync::ConfigKey,
        /// Index of the last answer.
        index: u64,
        /// Longest wait for a change.
        wait: Millis,
    },
    /// Answer to a read; none when the service cannot be reached.
    Reading {
        /// Number of the call.
        call: u64,
        /// Key.
        key: sync::ConfigKey,
        /// Value and its index.
        reading: Option<sync::Reading>,
    },
    /// Tells a peer what the sender holds.
    Exchange {
        /// Number of the call.
        call: u64,
        /// What it holds.
        notice: Notice,
    },
    /// Answer to an exchange; none when the peer cannot be reached.
    Exchanged {
        /// Number of the call.
        call: u64,
        /// What the peer holds.
        notice: Option<Notice>,
    },
    /// Asks a peer for tables or the live list.
    Fetch {
        /// Number of the call.
        call: u64,
        /// What is asked for.
        kind: sync::FetchKind,
        /// What the sender holds.
        base: Stamp,
    },
    /// Answer to a fetch; none when the peer cannot be reached.
    Fetched {
        /// Number of the call.
        call: u64,
        /// What was asked for.
        kind: sync::FetchKind,
        /// Base of a delta.
        base: Stamp,
        /// The answer.
        reply: Option<Arc<FetchReply>>,
    },
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
        piece: AnswerPart<String>,
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
    /// Read the configuration service.
    Platform(Message),
    /// Call the process at an address.
    Call(SocketAddr, Message),
    /// Ask a process for newer tables.
    Ask(String),
    /// A request was dispatched to the engine.
    Dispatched(String),
    /// A request ended.
    Ended(String, Ending),
    /// The process ends.
    Exit,
}
