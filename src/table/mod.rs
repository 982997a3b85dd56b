//! Routes and pools: the two tables that operators write, how they are checked
//! and joined, and how they reach every process.

pub mod check;
pub mod delta;
pub mod doc;
pub mod matcher;
pub mod packing;
pub mod replica;
pub mod routing;
pub mod set;
pub mod sync;

pub use doc::PoolsDoc;
pub use doc::RoutesDoc;
pub use set::Stamp;
pub use set::TableSet;
