//! Runners' entries in the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::member::registry::Holding;
use crate::member::registry::Registration;
use crate::prelude::*;

/// Start of the keys under which runners register.
pub const PREFIX: &str = "servers/";

/// Start of the keys that name the newest version of each model's weights.
pub const WEIGHTS_PREFIX: &str = "op/version/";

#[derive(Deserialize)]
struct EntryDoc {
    /// Pool of the runner.
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    models: Vec<ModelDoc>,
    /// Null when nothing is loaded.
    #[serde(default)]
    layers: Option<Layers>,
}

/// The loaded layers: one range, or several while layers are added.
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
    /// First layer.
    #[serde(default)]
    from: u32,
    /// The layer after the last one.
    #[serde(default)]
    to: u32,
    /// Null when nothing is loaded.
    #[serde(default)]
    version: Option<u64>,
}

/// Decodes one runner's entry; `key` is the key that it stands under.
pub fn decode(key: &str, bytes: &[u8]) -> Result<Registration> {
    let bad = |detail: String| Error::new(Code::ProtocolInvalid, format!("{key}: {detail}"));
    let id = key
        .strip_prefix(PREFIX)
        .filter(|id| !id.is_empty())
        .ok_or_else(|| bad("not a runner's key".to_string()))?;
    let doc: EntryDoc = serde_json::from_slice(bytes).map_err(|e| bad(e.to_string()))?;
    let draining = match doc.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(bad(format!("state {other}"))),
    };
    Ok(Registration {
        id: id.to_string(),
        pool: doc.service,
        addr: doc.address,
        zone: doc.zone,
        slots: doc.slots,
        draining,
        started: doc.born,
        holdings: holdings(&doc.models, doc.layers.as_ref()),
    })
}

/// What is loaded, by model.
///
/// Layers are listed without the model's name: a runner loads the layers of
/// one model at a time, so they belong to each model of the same version.
pub(super) fn holdings(models: &[ModelDoc], layers: Option<&Layers>) -> Vec<Holding> {
    let layers = match layers {
        None => &[],
        Some(Layers::One(part)) => std::slice::from_ref(part),
        Some(Layers::Many(parts)) => parts.as_slice(),
    };
    let holding = |model: &ModelDoc| {
        let own = layers
            .iter()
            .filter(|part| part.version == Some(model.version));
        let mut own: Vec<(u32, u32)> = own.map(|part| (part.from, part.to)).collect();
        own.sort_unstable();
        let covered = own.iter().fold(
            0,
            |upto, (from, to)| {
                if *from <= upto { upto.max(*to) } else { upto }
            },
        );
        let mixed = layers
            .iter()
            .any(|part| part.version != Some(model.version));
        Holding {
            model: model.name.clone(),
            version: model.version,
            layers: (!layers.is_empty()).then_some(if mixed { 0 } else { covered }),
        }
    };
    models.iter().map(holding).collect()
}

/// Newest version that the operator named for a model.
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
