//! Repeated attempts: their budgets, the time between them, and callers that send a
//! refused request again.

pub mod backoff;
pub mod budget;
pub mod refusals;
pub mod returns;
pub mod window;

use crate::error::Run;

pub use backoff::Backoff;
pub use budget::Budget;
pub use refusals::Refusal;
pub use refusals::Refusals;
pub use returns::Returns;
pub use window::WindowBudget;

/// Retries allowed per request, on average.
pub const RETRY_RATIO: f64 = 0.10;

/// Hedges allowed per request, on average.
pub const HEDGE_RATIO: f64 = 0.05;

/// Most attempts of one request, including hedges.
pub const MAX_ATTEMPTS: usize = 3;

/// Returns true when a failed attempt may be followed by another one.
///
/// A request that was refused before it ran is always safe to send again. One whose
/// outcome is unknown is sent again only if its route allows that. When a part of an
/// answer has reached the caller, the request is not sent again, because parts of two
/// answers must not be mixed.
pub const fn may_repeat(run: Run, repeatable: bool) -> bool {
    match run {
        Run::NotRun => true,
        Run::Unknown => repeatable,
        Run::Partial => false,
    }
}
