//! Documents of the store about upstreams: registrations of runners, and the
//! newest versions of models' weights.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::member::registry::Holding;
use crate::member::registry::Registration;
use crate::prelude::*;

/// Prefix of the keys under which runners register; the runner's id follows it.
pub const PREFIX: &str = "servers/";

/// Prefix of the keys under which the operator names the newest version of each
/// model's weights.
pub const WEIGHTS_PREFIX: &str = "op/version/";

/// Prefix of the keys that exist while the operator has evacuated an availability zone;
/// the name of the zone follows it.
pub const EVACUATE_PREFIX: &str = "op/evacuate/";

/// Registration of a runner, as the store holds it.
#[derive(Deserialize)]
struct EntryDoc {
    /// Pool of the runner.
    service: String,
    address: SocketAddr,
    zone: String,
    /// Number of requests that it runs at once.
    slots: u32,
    /// `ready` or `draining`.
    state: String,
    /// When the runner started, in milliseconds by its own wall clock.
    #[serde(default)]
    born: u64,
    /// Number of its writes.
    #[serde(default)]
    seq: u64,
    /// Time for which it is still cold when this is written, in milliseconds.
    #[serde(default)]
    cold_left_ms: f64,
    #[serde(default)]
    models: Vec<ModelDoc>,
    /// Loaded layers; null when nothing is loaded.
    #[serde(default)]
    layers: Option<Layers>,
}

/// Loaded layers: one range, or several while layers are being added.
#[derive(Clone, Deserialize)]
#[serde(untagged)]
pub(super) enum Layers {
    One(LayersDoc),
    Many(Vec<LayersDoc>),
}

#[derive(Clone, Deserialize)]
pub(super) struct ModelDoc {
    name: String,
    version: u64,
}

#[derive(Clone, Deserialize)]
pub(super) struct LayersDoc {
    /// First layer of the range, from 0.
    #[serde(default)]
    from: u32,
    /// Layer after the last one of the range.
    #[serde(default)]
    to: u32,
    /// Version of the weights; null when nothing is loaded.
    #[serde(default)]
    version: Option<u64>,
}

/// Decodes the registration of a runner, which is stored under `key`.
///
/// Fails when the key has no id after [`PREFIX`], or when the document is not valid
/// JSON, lacks a field or has a state that is not known.
pub fn decode(key: &str, bytes: &[u8]) -> Result<Registration> {
    let invalid = |detail: String| Error::new(Code::ProtocolInvalid, format!("{key}: {detail}"));
    let id = key
        .strip_prefix(PREFIX)
        .filter(|id| !id.is_empty())
        .ok_or_else(|| invalid("not the key of a runner's registration".to_string()))?;
    let doc: EntryDoc = serde_json::from_slice(bytes).map_err(|e| invalid(e.to_string()))?;
    let draining = match doc.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(invalid(format!("unknown state {other}"))),
    };
    Ok(Registration {
        id: id.to_string(),
        pool: doc.service,
        addr: doc.address,
        zone: doc.zone,
        slots: doc.slots,
        draining,
        started: doc.born,
        sequence: doc.seq,
        cold_left: Millis(doc.cold_left_ms.max(0.0).ceil() as u64),
        holdings: holdings(&doc.models, doc.layers.as_ref()),
    })
}

/// Returns for each of `models` how many of its first layers are loaded; `None` as
/// the number when the runner states no layers.
///
/// The ranges in `layers` do not name their model: a runner loads the layers of one
/// model at a time, so a range belongs to each model of the same version. While
/// there are also ranges of another version, no layer counts as loaded.
pub(super) fn holdings(models: &[ModelDoc], layers: Option<&Layers>) -> Vec<Holding> {
    let layers = match layers {
        None => &[],
        Some(Layers::One(range)) => std::slice::from_ref(range),
        Some(Layers::Many(ranges)) => ranges.as_slice(),
    };
    let holding = |model: &ModelDoc| {
        let ranges = layers
            .iter()
            .filter(|range| range.version == Some(model.version));
        let mut ranges: Vec<(u32, u32)> = ranges.map(|range| (range.from, range.to)).collect();
        ranges.sort_unstable();
        let covered = ranges.iter().fold(
            0,
            |upto, (from, to)| {
                if *from <= upto { upto.max(*to) } else { upto }
            },
        );
        let is_mixed = layers
            .iter()
            .any(|range| range.version != Some(model.version));
        Holding {
            model: model.name.clone(),
            version: model.version,
            layers: (!layers.is_empty()).then_some(if is_mixed { 0 } else { covered }),
        }
    };
    models.iter().map(holding).collect()
}

/// Returns the availability zone that is evacuated while `key` exists, whatever its value
/// holds; none for other keys.
pub fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATE_PREFIX)
        .filter(|zone| !zone.is_empty())
}

/// Decodes the newest version of a model's weights, as the operator has named it
/// under `key`. Returns the name of the model and the version.
pub fn decode_version(key: &str, bytes: &[u8]) -> Result<(String, u64)> {
    #[derive(Deserialize)]
    struct VersionDoc {
        model: String,
        version: u64,
    }
    let doc: VersionDoc = serde_json::from_slice(bytes)
        .map_err(|e| Error::new(Code::ProtocolInvalid, format!("{key}: {e}")))?;
    Ok((doc.model, doc.version))
}
