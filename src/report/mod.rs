//! Reports of benchmark results as a Markdown table or an SVG plot, and the trace
//! of one request from logs.
//!
//! The input of tables and plots is the output of `chervilquay bench`: one JSON
//! object per line.

pub mod plot;
pub mod rows;
pub mod trace;

pub use rows::Rows;
