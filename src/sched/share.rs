//! Weighted fair shares of organisations by virtual time.

use indexmap::IndexMap;

/// Most organisations remembered; the oldest is dropped first.
const MAX_ORGS: usize = 1_024;

/// Most virtual time by which an organisation may be ahead of the floor, in
/// milliseconds of service. One very long request must not keep its organisation
/// from being served.
const MAX_LEAD_MS: f64 = 5_000.0;

/// Weight of an organisation, and its service so far divided by the weight.
#[derive(Clone, Copy, Debug)]
struct Account {
    weight: f64,
    virtual_time: f64,
}

/// Virtual time of each organisation: the service that it had, divided by its weight.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: IndexMap<String, Account>,
    /// Highest virtual time at which an organisation's request was started.
    floor: f64,
}

impl Shares {
    /// Registers an organisation that has a request waiting.
    ///
    /// Time without requests gives no credit: the virtual time is raised to at least
    /// the floor.
    pub fn register(&mut self, org: &str, weight: u32) {
        let floor = self.floor;
        if !self.accounts.contains_key(org) && self.accounts.len() >= MAX_ORGS {
            self.accounts.shift_remove_index(0);
        }
        let account = self.accounts.entry(org.to_string()).or_insert(Account {
            weight: 1.0,
            virtual_time: floor,
        });
        account.weight = f64::from(weight.max(1));
        account.virtual_time = account.virtual_time.clamp(floor, floor + MAX_LEAD_MS);
    }

    /// Returns the virtual time of an organisation; the lowest is served next.
    pub fn virtual_time(&self, org: &str) -> f64 {
        self.accounts
            .get(org)
            .map_or(self.floor, |a| a.virtual_time)
    }

    /// Returns the weight of an organisation; 1 when it is not known.
    pub fn weight(&self, org: &str) -> f64 {
        self.accounts.get(org).map_or(1.0, |a| a.weight)
    }

    /// Charges `cost` milliseconds of service; a negative cost corrects an estimate.
    pub fn charge(&mut self, org: &str, cost: f64) {
        if let Some(account) = self.accounts.get_mut(org) {
            account.virtual_time += cost / account.weight;
        }
    }

    /// Raises the floor to the virtual time of the organisation whose request starts.
    pub fn on_start(&mut self, org: &str) {
        self.floor = self.floor.max(self.virtual_time(org));
    }
}
