//! Spread of table sets and of the live list, without I/O.
//!
//! [`Core`] takes events and gives actions. The daemons carry actions out
//! over the network; randomised runs and benchmarks do so over a network in
//! memory with a virtual clock.

mod active_live;
mod active_set;
mod core;
mod dump;
mod elect;
mod fetch;
mod peers;
mod read;
mod stale;
mod start;
mod watch;

use std::net::SocketAddr;

pub use self::active_live::ActiveLive;
pub use self::active_set::ActiveSet;
pub use self::active_set::Conflict;
pub use self::active_set::Outcome;
pub use self::active_set::Refusal;
pub use self::core::Core;
pub use self::dump::Counters;
pub use self::dump::Dump;
pub use self::start::Source;

use crate::common;
use crate::error::Code;
use crate::error::Result;
use crate::member::Live;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::proto::Notice;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::time::Millis;

/// Interval at which [`Core::tick`] is to be called.
pub const TICK: Millis = Millis(250);

/// Interval of anti-entropy: one exchange with one random peer.
pub const ANTI_ENTROPY: Millis = Millis(2_000);

/// Time after which an exchange counts as lost.
pub const EXCHANGE_TIMEOUT: Millis = Millis(1_000);

/// Time after which a fetch counts as lost; a whole set is up to 2 MB.
pub const FETCH_TIMEOUT: Millis = Millis(3_000);

/// Time that a blocking query waits at the platform.
pub const WATCH_WAIT: Millis = Millis(30_000);

/// A tick later than this means that the process was paused.
pub const PAUSE_THRESHOLD: Millis = Millis(2_000);

common! { key
/// A key of the platform's configuration service.
pub enum ConfigKey {
    /// The routes table.
    Routes,
    /// The pools table.
    Pools,
    /// The live list.
    Live,
}
}

impl ConfigKey {
    /// Every key.
    pub const ALL: [ConfigKey; 3] = [ConfigKey::Routes, ConfigKey::Pools, ConfigKey::Live];

    /// Name at the configuration service.
    pub const fn name(self) -> &'static str {
        match self {
            ConfigKey::Routes => "routes",
            ConfigKey::Pools => "pools",
            ConfigKey::Live => "live",
        }
    }
}

common! { key
/// What a fetch asks for.
pub enum FetchKind {
    /// The table set.
    Tables,
    /// The live list.
    Live,
}
}

impl FetchKind {
    /// Word in messages.
    pub const fn name(self) -> &'static str {
        match self {
            FetchKind::Tables => "tables",
            FetchKind::Live => "live",
        }
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<FetchKind> {
        match name {
            "tables" => Some(FetchKind::Tables),
            "live" => Some(FetchKind::Live),
            _ => None,
        }
    }
}

common! { key
/// How a process gets its tables.
#[derive(Default)]
pub enum SyncMode {
    /// Two readers a zone; all others from peers.
    #[default]
    Peers,
    /// Each process reads the platform and none asks a peer: the baseline of benchmarks.
    Poll,
}
}

/// Parser of table sets.
pub type ParseSet = Arc<dyn Fn(&str, &str) -> Result<Arc<TableSet>> + Send + Sync>;

/// Parser of live lists.
pub type ParseLive = Arc<dyn Fn(&str) -> Result<Arc<Live>> + Send + Sync>;

/// Parsers of the documents.
///
/// Runs with thousands of processes in one share the parsed documents.
#[derive(Clone)]
pub struct Parsers {
    /// Of table sets.
    pub set: ParseSet,
    /// Of live lists.
    pub live: ParseLive,
}

impl Default for Parsers {
    fn default() -> Parsers {
        Parsers {
            set: Arc::new(|routes, pools| TableSet::parse(routes, pools).map(Arc::new)),
            live: Arc::new(|text| Live::parse(text).map(Arc::new)),
        }
    }
}

/// What a core knows of its process.
#[derive(Clone)]
pub struct Settings {
    /// Address on which peers call this process.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Processes asked for tables before the live list is known.
    pub seeds: Vec<SocketAddr>,
    /// How it gets its tables.
    pub sync_mode: SyncMode,
    /// Parsers of the documents.
    pub parsers: Parsers,
}

/// What the platform answered for one key.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Index for the next blocking query.
    pub index: u64,
    /// The value.
    pub text: Arc<str>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A read of the platform ended; none when it failed.
    Read {
        /// Number of the action.
        call: u64,
        /// The key that was read.
        key: ConfigKey,
        /// The answer.
        reading: Option<Reading>,
    },
    /// A peer called; the caller replies with [`Core::notice`] taken before this event.
    Notice(Notice),
    /// An exchange ended; none when it failed.
    Reply {
        /// Number of the action.
        call: u64,
        /// The peer that was called.
        from: SocketAddr,
        /// Its reply.
        notice: Option<Notice>,
    },
    /// A fetch ended; none when it failed.
    Fetched {
        /// Number of the action.
        call: u64,
        /// The peer that was asked.
        from: SocketAddr,
        /// What was asked for.
        kind: FetchKind,
        /// Stamp that a delta is based on.
        base: Stamp,
        /// Its reply.
        reply: Option<Arc<FetchReply>>,
    },
}

/// What the process has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read a key of the platform, waiting there for an index above `index`.
    Read {
        /// Number for the answer.
        call: u64,
        /// The key.
        key: ConfigKey,
        /// Index of the last answer; 0 to read at once.
        index: u64,
        /// How long to wait for a change.
        wait: Millis,
    },
    /// Call a peer's `Exchange` with [`Core::notice`].
    Exchange {
        /// Number for the answer.
        call: u64,
        /// The peer.
        to: SocketAddr,
    },
    /// Call a peer's `Fetch`.
    Fetch {
        /// Number for the answer.
        call: u64,
        /// The peer.
        to: SocketAddr,
        /// What is asked for.
        kind: FetchKind,
        /// What this process holds; the default for none.
        base: Stamp,
    },
    /// A set is in force.
    InForce(Arc<TableSet>),
    /// A live list is in use.
    Live(Arc<Live>),
    /// Something an operator should see.
    Report {
        /// Result code.
        code: Code,
        /// What happened.
        detail: String,
    },
}
