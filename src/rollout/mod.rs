//! Distribution of weights: the decision core without I/O and without a clock.
//!
//! Events go in and actions come out. [`plan::Planner`] decides what to pull
//! from where, [`serve::Uploads`] which waiting pull to answer, and
//! [`load::Loader`] when the engine may be ordered to load.

pub mod budget;
pub mod load;
pub mod manifest;
pub mod pieces;
pub mod plan;
pub mod rank;
pub mod reload;
pub mod serve;
pub mod store;
pub mod turn;
pub mod versions;

pub use manifest::Digest;
pub use manifest::Manifest;
pub use plan::Planner;
pub use store::Store;
pub use store::Whole;
