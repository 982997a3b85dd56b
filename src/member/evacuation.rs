//! Availability zones that the operator has evacuated: their upstreams get nothing new.

use indexmap::IndexSet;

/// Availability zones that are evacuated now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations(IndexSet<String>);

impl Evacuations {
    /// Adds a zone, or removes it when its evacuation is revoked. Returns true if that
    /// changed anything.
    pub fn set(&mut self, zone: &str, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.0.insert(zone.to_string())
        } else {
            self.0.swap_remove(zone)
        }
    }

    /// Returns true while the zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.0.contains(zone)
    }

    /// Iterates over the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}
