//! Inputs and outputs of the state of a request, [`RequestState`].
//!
//! [`RequestState`]: crate::route::RequestState

use bytes::Bytes;

use crate::arena::Key;
use crate::common;
use crate::error::Error;
use crate::route::upstream::RequestTraits;
use crate::route::upstream::Upstream;
use crate::time::Millis;

/// Part of an answer as it arrives from an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart<H> {
    /// Status and headers.
    Head(H),
    /// Part of the body.
    Data(Bytes),
    /// End of the answer, with the length of its whole body in bytes.
    Done(u64),
}

/// What the entry must do next for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<H> {
    /// Send the request to an upstream.
    Send {
        /// Attempt number, from 1.
        attempt: u32,
        /// Upstream that gets the attempt.
        upstream: Key<Upstream>,
        /// Time left until the deadline.
        remaining: Millis,
    },
    /// Cancel an attempt at its upstream.
    Cancel {
        /// Attempt number, from 1.
        attempt: u32,
        /// Upstream where the attempt runs.
        upstream: Key<Upstream>,
    },
    /// Give status and headers to the caller.
    Head(H),
    /// Give part of the body to the caller.
    Data(Bytes),
    /// Tell the caller that the answer is whole; the last action.
    End,
    /// Tell the caller that the request failed; the last action.
    Fail(Error),
}

common! { value
/// Properties of a request that are fixed when it arrives.
pub struct Plan {
    /// What the choice of an upstream needs to know.
    pub traits: RequestTraits,
    /// Time at which the request fails if it has no whole answer.
    pub deadline: Millis,
}
}
