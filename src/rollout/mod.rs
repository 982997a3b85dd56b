//! Distribution of weights: the decision core without I/O and without a clock.
//!
//! Events go in and actions come out. [`plan::Planner`] decides what to pull
//! from where, [`upload::Uploads`] which waiting pull to answer, and
//! [`load::Loader`] when the engine may be ordered to load.

pub mod bucket;
pub mod load;
pub mod manifest;
pub mod pieces;
pub mod plan;
pub mod rank;
pub mod reload;
pub mod store;
pub mod turn;
pub mod upload;
pub mod versions;

pub use manifest::Digest;
pub use manifest::Manifest;
pub use plan::Planner;
pub use store::Blob;
pub use store::ChunkStore;
