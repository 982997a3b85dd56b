//! Distribution of weights: the decisions, without I/O and without a clock.
//!
//! The caller passes events and the time in and carries out the actions that
//! come out. There are two kinds of weights:
//!
//! - Versions named by the digest of an OCI manifest, which consist of chunks.
//!   [`plan::Planner`] decides which chunk to pull from where, [`upload::Uploads`]
//!   which waiting pull of another agent to answer, and [`load::Loader`] and
//!   [`turn`] when the engine may be ordered to load.
//! - Versions named by a number, which consist of numbered pieces and are loaded
//!   by a runner. [`pieces::Pieces`] decides where to pull pieces from,
//!   [`reload::Reload`] when to order the load, and [`versions::Versions`] which
//!   versions may still begin requests.

pub mod bucket;
pub mod load;
pub mod manifest;
pub mod pieces;
pub mod plan;
pub mod precedence;
pub mod rank;
pub mod reload;
pub mod roots;
pub mod store;
pub mod turn;
pub mod uplink;
pub mod upload;
pub mod versions;

pub use manifest::Digest;
pub use manifest::Manifest;
pub use plan::Planner;
pub use store::Blob;
pub use store::ChunkStore;
