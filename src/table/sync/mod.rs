//! Distribution of table sets and the live list to all processes, without I/O.
//!
//! [`Core`] takes events and returns actions. The daemons carry the actions out
//! over the network; randomised runs and benchmarks do so over a simulated
//! network with a virtual clock.
//!
//! Two processes of each zone, the readers, read the platform's configuration
//! service. All others get changes from peers: each process notifies a few peers
//! of a change, and compares its stamps with a random peer at intervals
//! (anti-entropy). Both are exchanges of notices, which carry stamps only. A
//! process that learns of a greater stamp fetches the content from that peer.

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

/// Mean interval of anti-entropy: one exchange with one random peer.
pub const ANTI_ENTROPY: Millis = Millis(2_000);

/// Time without an answer after which an exchange has failed.
pub const EXCHANGE_TIMEOUT: Millis = Millis(1_000);

/// Time without an answer after which a fetch of whole texts has failed; a table
/// set has up to 2 MB.
pub const FETCH_TIMEOUT: Millis = Millis(3_000);

/// Time for which a blocking query waits at the platform for a change.
pub const WATCH_WAIT: Millis = Millis(30_000);

/// Time since the last tick above which the process was paused, or its VM was.
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
    /// All keys, in the order of their discriminants.
    pub const ALL: [ConfigKey; 3] = [ConfigKey::Routes, ConfigKey::Pools, ConfigKey::Live];

    /// Returns the name of the key at the configuration service.
    pub const fn name(self) -> &'static str {
        match self {
            ConfigKey::Routes => "routes",
            ConfigKey::Pools => "pools",
            ConfigKey::Live => "live",
        }
    }
}

common! { key
/// What a fetch asks a peer for.
pub enum FetchKind {
    /// The table set.
    Tables,
    /// The live list.
    Live,
}
}

impl FetchKind {
    /// Returns the word used in messages.
    pub const fn name(self) -> &'static str {
        match self {
            FetchKind::Tables => "tables",
            FetchKind::Live => "live",
        }
    }

    /// Returns the kind with this word in messages.
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
    /// From peers; only two readers in each zone read the platform.
    #[default]
    Peers,
    /// Every process reads the platform and none asks a peer. Used as the baseline
    /// of benchmarks.
    Poll,
}
}

/// Parses the texts of routes and pools into a table set.
pub type ParseSet = Arc<dyn Fn(&str, &str) -> Result<Arc<TableSet>> + Send + Sync>;

/// Parses the text of a live list.
pub type ParseLive = Arc<dyn Fn(&str) -> Result<Arc<Live>> + Send + Sync>;

/// Parsers of the documents.
///
/// Simulations of thousands of processes replace them, so that the simulated
/// processes share the parsed documents.
#[derive(Clone)]
pub struct Parsers {
    /// Parser of table sets.
    pub set: ParseSet,
    /// Parser of live lists.
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

/// Settings of one process.
#[derive(Clone)]
pub struct Settings {
    /// Address at which peers call this process.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Addresses of processes that are peers until tables or a live list are known.
    pub seeds: Vec<SocketAddr>,
    /// How it gets its tables.
    pub sync_mode: SyncMode,
    /// Parsers of the documents.
    pub parsers: Parsers,
}

/// Value of one key, as read from the platform.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Index of the value, for the next blocking query.
    pub index: u64,
    /// The text of the value.
    pub text: Arc<str>,
}

/// Input of a [`Core`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A read of the platform ended.
    Read {
        /// Number of the call in the action.
        call: u64,
        /// The key that was read.
        key: ConfigKey,
        /// The value; `None` when the read failed.
        reading: Option<Reading>,
    },
    /// A peer sent its notice in an exchange. The reply to it is the
    /// [`Core::notice`] taken before this event.
    Notice(Notice),
    /// An exchange with a peer ended.
    Reply {
        /// Number of the call in the action.
        call: u64,
        /// The peer that was called.
        from: SocketAddr,
        /// The notice of the peer; `None` when the exchange failed.
        notice: Option<Notice>,
    },
    /// A fetch from a peer ended.
    Fetched {
        /// Number of the call in the action.
        call: u64,
        /// The peer that was asked.
        from: SocketAddr,
        /// What was asked for.
        kind: FetchKind,
        /// Stamp sent with the fetch, which a delta in the reply is based on.
        base: Stamp,
        /// The reply; `None` when the fetch failed.
        reply: Option<Arc<FetchReply>>,
    },
}

/// Output of a [`Core`]: what the process has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read a key of the platform, once its index is above `index`.
    Read {
        /// Number of the call, for the event that ends it.
        call: u64,
        /// The key to read.
        key: ConfigKey,
        /// Index of the last answer; 0 to read at once.
        index: u64,
        /// Longest time to wait for a change.
        wait: Millis,
    },
    /// Call `Exchange` of a peer with [`Core::notice`].
    Exchange {
        /// Number of the call, for the event that ends it.
        call: u64,
        /// Address of the peer.
        to: SocketAddr,
    },
    /// Call `Fetch` of a peer.
    Fetch {
        /// Number of the call, for the event that ends it.
        call: u64,
        /// Address of the peer.
        to: SocketAddr,
        /// What is asked for.
        kind: FetchKind,
        /// Stamp of what this process holds, for a delta; the default stamp to ask
        /// for whole texts.
        base: Stamp,
    },
    /// A new set is in force.
    InForce(Arc<TableSet>),
    /// A new live list is in use.
    Live(Arc<Live>),
    /// Log a fault for the operator.
    Report {
        /// Result code of the fault.
        code: Code,
        /// Description of the fault.
        detail: String,
    },
}
