//! Upstreams as they are registered in the platform's store.

use std::net::SocketAddr;

use crate::prelude::*;

common! { value
/// A version of a model's weights that an upstream has loaded, whole or in part.
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// Version of the weights; newer versions have greater numbers.
    pub version: u64,
    /// Number of layers loaded, counted from the first one up to the first that
    /// is missing; `None` when the upstream does not state it, which counts as
    /// all layers.
    pub layers: Option<u32>,
}
}

common! { value
/// Registration of one upstream in the platform's store.
pub struct Registration {
    /// Id of the upstream's start; the key of the registration ends with it.
    pub id: String,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// True once it has announced that it is leaving; it gets no new requests.
    pub draining: bool,
    /// When it started, in milliseconds by its own wall clock; 0 when it does
    /// not state it.
    pub started: u64,
    /// Number of its writes since it started, as it counts them; 0 when it does not.
    pub sequence: u64,
    /// Time for which it was still cold when it wrote this; 0 when it was not.
    pub cold_left: Millis,
    /// Versions of models that it has loaded; empty for a plain service.
    pub holdings: Vec<Holding>,
}
}

/// Returns the newest version of `model` of which all `layers` are loaded.
pub fn complete_version(holdings: &[Holding], model: &str, layers: u32) -> Option<u64> {
    let is_complete = |h: &&Holding| h.layers.is_none_or(|held| held >= layers);
    let held = holdings.iter().filter(|h| h.model == model);
    held.filter(is_complete).map(|h| h.version).max()
}
