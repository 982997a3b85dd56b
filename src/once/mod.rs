//! Calls that must run at most once: tickets, and the ledger of the agent that a
//! ticket names.
//!
//! A ticket is an idempotency key. "Key" below means the key that a ticket carries.
//!
//! # Why a call runs at most once
//!
//! 1. A ticket names one incarnation of an agent, and [`Ledger::claim`] answers
//!    `unknown` for every other incarnation. So only one ledger decides about a key.
//! 2. That ledger records the key before the call is dispatched, and
//!    [`Ledger::dispatch`] changes each record from waiting to running once.
//! 3. A record is created only while the ticket's age is at least `-skew` and at
//!    most `ttl`, and is kept for `2 ttl + skew`. When it is removed, the age is above
//!    `ttl`. The agent's clock never steps back, so the key is never recorded again.
//!    [`Ledger`] asserts this at each removal.
//!
//! # When a call may be reported as not run
//!
//! Only when its key is barred: the key is recorded as one whose call was not dispatched
//! and never will be. By point 3 a barred key is never recorded again, so copies of the
//! request that are still in the network cannot run either. In all other cases the
//! outcome is `unknown`:
//!
//! - another incarnation: the earlier one may have run the call;
//! - no record and an age above `ttl`: the record may have been removed;
//! - an age below `-skew`: a record made now could be removed while the age is
//!   still within `ttl`;
//! - a full ledger: the key cannot be barred, so a copy of the request could be
//!   recorded after other records have expired.

pub mod ledger;
pub mod ticket;

pub use ledger::Answer;
pub use ledger::Claim;
pub use ledger::Fingerprint;
pub use ledger::Ledger;
pub use ledger::Limits;
pub use ledger::State;
pub use ticket::Secret;
pub use ticket::Ticket;
