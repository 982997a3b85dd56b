//! Budgets for repeated attempts, and the time between them.

pub mod backoff;
pub mod budget;
pub mod refusals;
pub mod window;

use crate::error::Run;

pub use backoff::Backoff;
pub use budget::Budget;
pub use refusals::Refusal;
pub use refusals::Refusals;
pub use window::WindowBudget;

/// Share of requests that may be retried.
pub const RETRY_RATIO: f64 = 0.10;

/// Share of requests that may be hedged.
pub const HEDGE_RATIO: f64 = 0.05;

/// Attempts of one request, hedges included.
pub const MAX_ATTEMPTS: usize = 3;

/// True when a failed attempt may be followed by another one.
///
/// A call that was refused before it ran is always safe to send again. One
/// whose outcome is open is repeated only if its route says so, and an answer
/// that has begun is never mixed with another.
pub const fn may_repeat(run: Run, repeatable: bool) -> bool {
    match run {
        Run::NotRun => true,
        Run::Unknown => repeatable,
        Run::Partial => false,
    }
}
