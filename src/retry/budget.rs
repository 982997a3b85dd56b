//! Budget of extra attempts as a fixed share of the requests.

/// Most tokens that are kept; a quiet hour must not pay for a retry storm.
const MAX_HELD: f64 = 20.0;

/// Each request deposits `ratio` tokens; each extra attempt costs one.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    held: f64,
    requests: u64,
    spent: u64,
}

impl Budget {
    /// A budget of `ratio` extra attempts a request.
    ///
    /// `reserve` tokens are there from the start, so that the first failures
    /// after a restart can be retried.
    pub fn new(ratio: f64, reserve: f64) -> Budget {
        assert!((0.0..=1.0).contains(&ratio), "ratio is a share");
        Budget {
            ratio,
            reserve,
            held: reserve,
            requests: 0,
            spent: 0,
        }
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.requests += 1;
        self.held = (self.held + self.ratio).min(MAX_HELD.max(self.reserve));
    }

    /// Takes one token if there is one.
    pub fn spend(&mut self) -> bool {
        if self.held < 1.0 {
            return false;
        }
        self.held -= 1.0;
        self.spent += 1;
        let bound = self.ratio * self.requests as f64 + self.reserve;
        assert!(self.spent as f64 <= bound + 1e-6, "budget is overdrawn");
        true
    }

    /// Returns a token whose attempt was not sent.
    pub fn refund(&mut self) {
        assert!(self.spent > 0, "a refund follows a spend");
        self.spent -= 1;
        self.held += 1.0;
    }

    /// Requests counted and tokens spent.
    pub fn totals(&self) -> (u64, u64) {
        (self.requests, self.spent)
    }
}
