//! Upstreams as the platform's registry lists them.

use std::net::SocketAddr;

use crate::prelude::*;

common! { value
/// A version of a model that an upstream has loaded.
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Its version; versions grow.
    pub version: u64,
    /// Layers of that version that are loaded, counted from the first without
    /// a gap; none when it did not say.
    pub layers: Option<u32>,
}
}

common! { value
/// One upstream's entry in the registry.
pub struct Registration {
    /// Id of the incarnation; also the key of the entry.
    pub id: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it has said that it is leaving.
    pub draining: bool,
    /// When it started, by its own wall clock; 0 when it did not say.
    pub started: u64,
    /// Models that it holds; empty for a plain service.
    pub holdings: Vec<Holding>,
}
}

/// The version of `model` that is held with all its `layers`.
pub fn complete_version(holdings: &[Holding], model: &str, layers: u32) -> Option<u64> {
    let is_whole = |h: &&Holding| h.layers.is_none_or(|held| held >= layers);
    let held = holdings.iter().filter(|h| h.model == model);
    held.filter(is_whole).map(|h| h.version).max()
}
