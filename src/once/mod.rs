//! Calls that may not be repeated: tickets and the ledger of their owner.
//!
//! # Why a call runs at most once
//!
//! 1. A ticket names one agent incarnation, and [`Ledger::claim`] answers
//!    `unknown` for every other one. So only one ledger ever decides about a key.
//! 2. That ledger holds a record before the call is dispatched, and
//!    [`Ledger::dispatch`] passes each record from waiting to running once.
//! 3. A record is created only while the ticket's age is at least `-skew` and at
//!    most `ttl`, and is kept for `2 ttl + skew`. At its removal the age is above
//!    `ttl`, and the agent's clock never steps back, so the key is never
//!    recorded again. [`Ledger`] asserts this at each removal.
//!
//! # When "not run" may be said
//!
//! Only for a record that is barred. A barred record is never dispatched, and by
//! point 3 its key is never recorded again, so copies of the request that are
//! still in the network cannot run either. Everything else is `unknown`:
//!
//! - another incarnation: the earlier one may have run the call;
//! - no record and an age above `ttl`: the record may have been removed;
//! - an age below `-skew`: a record made now could be removed while the age is
//!   still within `ttl`;
//! - a full ledger: the key cannot be barred, so a copy could still be recorded
//!   after records have expired.

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
