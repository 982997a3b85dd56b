//! Messages between processes of a scenario, and effects that they ask the simulation for.

use std::net::SocketAddr;

use crate::once::Ticket;
use crate::prelude::*;
use crate::proto::FetchReply;
use crate::proto::Notice;
use crate::route::action::AnswerPart;
use crate::table::Stamp;
use crate::table::sync;

/// One attempt of a request, as an entry sends it to an agent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the request, or of its ticket.
    pub request: String,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Pool that the route leads to.
    pub pool: String,
    /// Model of the pool.
    pub model: String,
    /// Digest of the model version that the pool serves.
    pub digest: String,
    /// Revision of the tables in force at the entry.
    pub revision: u64,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// Time that the upstream takes to run it.
    pub run: Millis,
    /// Ticket of a call that runs at most once.
    pub ticket: Option<Ticket>,
}

/// A message from one process, or the configuration service, to another.
#[derive(Clone, Debug)]
pub enum Message {
    /// Reads a key of the configuration service (a blocking read).
    Read {
        /// Number of the call.
        call: u64,
        /// Key.
        key: sync::ConfigKey,
        /// Index of the value that the reader has; a greater one is answered at once.
        index: u64,
        /// Time after which the read is answered without a change.
        wait: Millis,
    },
    /// Answers a read.
    ReadAnswer {
        /// Number of the call.
        call: u64,
        /// Key.
        key: sync::ConfigKey,
        /// Value and its index; `None` without a value, or when the service cannot be reached.
        reading: Option<sync::Reading>,
    },
    /// Tells a peer which tables and live list the sender has, and asks for the same.
    Exchange {
        /// Number of the call.
        call: u64,
        /// What the sender has.
        notice: Notice,
    },
    /// Answers an exchange.
    ExchangeAnswer {
        /// Number of the call.
        call: u64,
        /// What the peer has; `None` when it cannot be reached.
        notice: Option<Notice>,
    },
    /// Asks a peer for tables or the live list.
    Fetch {
        /// Number of the call.
        call: u64,
        /// What is asked for.
        kind: sync::FetchKind,
        /// Stamp of the tables that the sender has, as the base of a delta.
        base: Stamp,
    },
    /// Answers a fetch.
    FetchAnswer {
        /// Number of the call.
        call: u64,
        /// What was asked for.
        kind: sync::FetchKind,
        /// Stamp that the fetch gave as its base.
        base: Stamp,
        /// Tables or live list; `None` when the peer cannot be reached.
        reply: Option<Arc<FetchReply>>,
    },
    /// Asks an agent to run an attempt.
    Attempt(Attempt),
    /// Carries a part of an answer; its head is the name of the agent that gives it.
    Frame {
        /// Name of the request.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// Number of the part within the answer, from 0.
        seq: u64,
        /// Head, data or end of the answer.
        part: AnswerPart<String>,
    },
    /// Reports the failure of an attempt.
    Fail {
        /// Name of the request.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// Reason, and whether the request was run.
        error: Error,
    },
    /// Cancels an attempt.
    Cancel {
        /// Name of the request.
        request: String,
        /// Number of the attempt.
        attempt: u32,
    },
}

/// Work of an engine or service that takes time; the event marks its end.
#[derive(Clone, Debug)]
pub enum Work {
    /// The engine has run an attempt.
    AttemptEnd {
        /// Name of the request.
        request: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The engine has loaded the model version with this digest.
    LoadEnd(String),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// Reason of the failure; `None` when the answer is complete.
    pub error: Option<Error>,
    /// Agent that gave the answer; empty when there was none.
    pub by: String,
}

/// Effect of a process's decision, which the simulation carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to the process of this name.
    Send(String, Message),
    /// Report the end of work after this time.
    After(Millis, Work),
    /// Send a read to the configuration service.
    Read(Message),
    /// Send a message to the process at this address.
    Call(SocketAddr, Message),
    /// Ask the process of this name for newer tables.
    AskTables(String),
    /// Record that the request was dispatched to the engine or service.
    Dispatched(String),
    /// Record how the request ended.
    Ended(String, Ending),
    /// End the process.
    Exit,
}
