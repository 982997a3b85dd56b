//! YAML documents with the location of each value, and schemas that report every fault.
//!
//! Serde stops at the first fault of a document. Operators want all of them,
//! so a document is also parsed into a tree, which is checked against a schema.

pub mod finding;
pub mod schema;
pub mod tree;

pub use finding::Finding;
pub use finding::Findings;
pub use schema::Schema;
pub use tree::Node;
pub use tree::Value;
