//! Budget of extra attempts as a fixed ratio of the requests.

/// Most tokens that are kept. A long time without failures must not save up tokens
/// for a retry storm.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket: each request adds `ratio` tokens, and each extra attempt takes one.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    tokens: f64,
    requests: u64,
    spent: u64,
}

impl Budget {
    /// Creates a budget of `ratio` extra attempts per request, from 0 to 1.
    ///
    /// It starts with `reserve` tokens, so that the first failures after a restart can
    /// be retried.
    pub fn new(ratio: f64, reserve: f64) -> Budget {
        assert!((0.0..=1.0).contains(&ratio), "ratio is a share");
        Budget {
            ratio,
            reserve,
            tokens: reserve,
            requests: 0,
            spent: 0,
        }
    }

    /// Adds the tokens of one request.
    pub fn deposit(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS.max(self.reserve));
    }

    /// Takes one token; returns false when there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.spent += 1;
        let bound = self.ratio * self.requests as f64 + self.reserve;
        assert!(self.spent as f64 <= bound + 1e-6, "budget is overdrawn");
        true
    }

    /// Gives back a token whose attempt was not sent.
    pub fn refund(&mut self) {
        assert!(self.spent > 0, "a refund follows a spend");
        self.spent -= 1;
        self.tokens += 1.0;
    }

    /// Returns the number of requests counted and of tokens spent.
    pub fn totals(&self) -> (u64, u64) {
        (self.requests, self.spent)
    }
}
