//! Protection of one upstream: admission of requests, drain, and requests that crash it.

pub mod admit;
pub mod crash;
pub mod crash_table;
pub mod drain;
pub mod suspect;

pub use admit::AdmitRequest;
pub use admit::Gate;
pub use admit::OwnPool;
pub use admit::Permit;
pub use crash::CrashDetector;
pub use crash_table::CrashTable;
pub use crash_table::Progress;
pub use crash_table::Signatures;
pub use drain::Drain;
pub use drain::Reason;
pub use suspect::Suspects;
