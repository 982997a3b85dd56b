//! Regions in which a request may be served, and the regions of the availability zones.

use indexmap::IndexSet;

use crate::prelude::*;

common! { value
/// Regions in which requests may be served.
#[derive(Default)]
pub enum Regions {
    /// Any region, and zones whose region is unknown.
    #[default]
    Any,
    /// Only these regions, sorted; none at all when empty.
    Only(Arc<[String]>),
}
}

impl Regions {
    /// Returns the restriction that a list of regions states; an empty list states none.
    pub fn of(names: impl IntoIterator<Item = String>) -> Regions {
        let mut names: Vec<String> = names.into_iter().collect();
        if names.is_empty() {
            return Regions::Any;
        }
        names.sort_unstable();
        names.dedup();
        Regions::Only(names.into())
    }

    /// Returns true when requests may be served in `region`.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Regions::Any => true,
            Regions::Only(names) => names.iter().any(|name| name == region),
        }
    }

    /// Returns the regions that both allow.
    pub fn intersect(&self, other: &Regions) -> Regions {
        match (self, other) {
            (Regions::Any, regions) | (regions, Regions::Any) => regions.clone(),
            (Regions::Only(names), Regions::Only(_)) => {
                let both = names.iter().filter(|name| other.allows(name));
                Regions::Only(both.cloned().collect())
            }
        }
    }

    /// Returns true when no region is allowed by both.
    pub fn is_disjoint(&self, other: &Regions) -> bool {
        match (self, other) {
            (Regions::Any, regions) | (regions, Regions::Any) => regions.is_empty(),
            (Regions::Only(names), Regions::Only(_)) => !names.iter().any(|n| other.allows(n)),
        }
    }

    /// Returns true when there is a restriction.
    pub fn is_restricted(&self) -> bool {
        *self != Regions::Any
    }

    /// Returns true when no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Regions::Only(names) if names.is_empty())
    }
}

impl std::fmt::Display for Regions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Regions::Any => f.write_str("any"),
            Regions::Only(names) if names.is_empty() => f.write_str("none"),
            Regions::Only(names) => f.write_str(&names.join(",")),
        }
    }
}

/// Regions of the availability zones. Regions are numbered, so that the upstreams of a
/// restricted request are compared by number.
#[derive(Clone, Debug, Default)]
pub struct ZoneRegions {
    names: IndexSet<String>,
    /// Numbers of the regions by zone.
    zones: IndexMap<String, usize>,
}

impl ZoneRegions {
    /// Numbers the regions of `zones`, which are given by name of the zone. The region of
    /// a zone with an empty one is unknown.
    pub fn new(zones: &IndexMap<String, String>) -> ZoneRegions {
        let mut numbered = ZoneRegions::default();
        for (zone, region) in zones.iter().filter(|(_, region)| !region.is_empty()) {
            let (number, _) = numbered.names.insert_full(region.clone());
            numbered.zones.insert(zone.clone(), number);
        }
        numbered
    }

    /// Returns the number of a zone's region; none when it is unknown.
    pub fn number(&self, zone: &str) -> Option<usize> {
        self.zones.get(zone).copied()
    }

    /// Returns the numbers of the regions that `regions` allows.
    pub fn resolve(&self, regions: &Regions) -> AllowedRegions {
        let allowed = || self.names.iter().map(|name| regions.allows(name)).collect();
        AllowedRegions(regions.is_restricted().then(allowed))
    }
}

/// Regions that one request may use: by number whether each is allowed; none without a
/// restriction.
#[derive(Clone, Debug)]
pub struct AllowedRegions(Option<Vec<bool>>);

impl AllowedRegions {
    /// Returns true when the region with this number is allowed. One that is unknown is
    /// allowed only without a restriction.
    pub fn includes(&self, number: Option<usize>) -> bool {
        let Some(allowed) = &self.0 else {
            return true;
        };
        number.is_some_and(|number| allowed.get(number).copied().unwrap_or(false))
    }
}
