//! Types that most modules use.

pub use std::sync::Arc;

pub use bytes::Bytes;
pub use indexmap::IndexMap;

pub use crate::arena::Arena;
pub use crate::arena::Key;
pub use crate::common;
pub use crate::error::Code;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::error::Run;
pub use crate::time::Clock;
pub use crate::time::Millis;
