//! What goes into and comes out of the state of a request.

use bytes::Bytes;

use crate::arena::Key;
use crate::common;
use crate::error::Error;
use crate::route::upstream::RequestTraits;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Part of an answer as it comes from an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart<H> {
    /// Status and headers.
    Head(H),
    /// Part of the body.
    Data(Bytes),
    /// End, with the length of the whole body.
    Done(u64),
}

/// What the entry is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<H> {
    /// Send the request to an upstream.
    Send {
        /// Attempt number, from 1.
        attempt: u32,
        /// Where to.
        upstream: Key<Upstream>,
        /// Time left until the deadline.
        remaining: Millis,
    },
    /// Cancel an attempt at its upstream.
    Cancel {
        /// Attempt number.
        attempt: u32,
        /// Where it runs.
        upstream: Key<Upstream>,
    },
    /// Give status and headers to the caller.
    Head(H),
    /// Give part of the body to the caller.
    Data(Bytes),
    /// End of the whole answer.
    End,
    /// The request failed; the last action.
    Fail(Error),
}

common! { value
/// What is fixed about a request when it arrives.
pub struct Plan {
    /// Needs of the request.
    pub traits: RequestTraits,
    /// Time at which it is given up.
    pub deadline: Millis,
}
}
