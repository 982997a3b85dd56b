//! Weighted fair shares by virtual time.

use indexmap::IndexMap;

/// Organisations remembered.
const MAX_ORGS: usize = 1_024;

/// Virtual time that an organisation may owe at most, in milliseconds of
/// service: one straggler must not lock its organisation out.
const MAX_DEBT: f64 = 5_000.0;

#[derive(Clone, Copy, Debug)]
struct Account {
    weight: f64,
    time: f64,
}

/// Service that each organisation had, divided by its weight.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: IndexMap<String, Account>,
    floor: f64,
}

impl Shares {
    /// Enters an organisation that has work waiting.
    ///
    /// Time that passed without work gives no credit: the account starts no
    /// lower than the lowest one that is served.
    pub fn enter(&mut self, org: &str, weight: u32) {
        let floor = self.floor;
        if !self.accounts.contains_key(org) && self.accounts.len() >= MAX_ORGS {
            self.accounts.shift_remove_index(0);
        }
        let account = self.accounts.entry(org.to_string()).or_insert(Account {
            weight: 1.0,
            time: floor,
        });
        account.weight = f64::from(weight.max(1));
        account.time = account.time.clamp(floor, floor + MAX_DEBT);
    }

    /// Virtual time of an organisation; the lowest is served next.
    pub fn time(&self, org: &str) -> f64 {
        self.accounts.get(org).map_or(self.floor, |a| a.time)
    }

    /// Weight of an organisation.
    pub fn weight(&self, org: &str) -> f64 {
        self.accounts.get(org).map_or(1.0, |a| a.weight)
    }

    /// Charges `cost` milliseconds of service; negative corrects an estimate.
    pub fn charge(&mut self, org: &str, cost: f64) {
        if let Some(account) = self.accounts.get_mut(org) {
            account.time += cost / account.weight;
        }
    }

    /// Moves the floor up to the account that is served.
    pub fn serve(&mut self, org: &str) {
        self.floor = self.floor.max(self.time(org));
    }
}
