//! Manifests: OCI image manifests that list the chunks of a version.
//!
//! A version is named by the digest of its manifest, which authenticates the
//! manifest and, through the digests in it, every chunk.

use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::Deserialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::util;

/// Media type of OCI image manifests.
pub const MEDIA_TYPE: &str = "application/vnd.oci.image.manifest.v1+json";

/// Largest manifest, in bytes; the OCI distribution specification asks registries to
/// accept manifests up to this size.
pub const MAX_BYTES: usize = 4 << 20;

/// Most layers in a manifest; each chunk costs memory for bookkeeping in every agent.
pub const MAX_CHUNKS: usize = 16_384;

/// Largest chunk, in bytes; a corrupt chunk is fetched again from its first byte.
pub const MAX_CHUNK: u64 = 256 << 20;

common! { key
/// SHA-256 digest of some content; its text is `sha256:` and 64 hexadecimal digits.
pub struct Digest([u8; 32]);
}

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: impl AsRef<[u8]>) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes as a number, by which pulls from agents name chunks.
    ///
    /// A collision costs one refused chunk, because receivers check all of the digest.
    pub fn prefix(self) -> u64 {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(head)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha256:{}", hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Digest> {
        let bad = || Error::new(Code::DigestFormat, format!("{text:?}"));
        if !util::is_digest(text) {
            return Err(bad());
        }
        let mut bytes = [0; 32];
        let (_, digits) = text.split_once(':').ok_or_else(bad)?;
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| bad())?;
        Ok(Digest(bytes))
    }
}

common! { key
/// One chunk of a version.
pub struct Chunk {
    /// SHA-256 of its content.
    pub digest: Digest,
    /// Its length, in bytes.
    pub length: u64,
}
}

common! { value
/// A checked manifest.
///
/// # Invariants
///
/// Chunks are distinct, at least one, each between 1 and [`MAX_CHUNK`] bytes long.
pub struct Manifest {
    digest: Digest,
    chunks: Vec<Chunk>,
    total: u64,
}
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Doc {
    schema_version: u32,
    media_type: String,
    layers: Vec<Layer>,
}

#[derive(Deserialize)]
struct Layer {
    digest: String,
    size: u64,
}

impl Manifest {
    /// Parses and checks a manifest, whose digest must be `expected`.
    ///
    /// Unknown fields are ignored, as the OCI image specification demands; the
    /// digest covers them too. The error is `ManifestCorrupt`.
    pub fn parse(bytes: &[u8], expected: Digest) -> Result<Manifest> {
        if bytes.len() > MAX_BYTES {
            return Err(corrupt(format!("{} bytes", bytes.len())));
        }
        if Digest::of(bytes) != expected {
            return Err(corrupt(format!("content is not {expected}")));
        }
        let doc: Doc = serde_json::from_slice(bytes).map_err(|e| corrupt(e.to_string()))?;
        if doc.schema_version != 2 || doc.media_type != MEDIA_TYPE {
            return Err(corrupt(format!("media type {:?}", doc.media_type)));
        }
        let chunks = distinct_chunks(&doc.layers)?;
        let total = chunks.iter().map(|c| c.length).sum();
        Ok(Manifest {
            digest: expected,
            chunks,
            total,
        })
    }

    /// Digest of the manifest itself; it names the version.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Distinct chunks, in the order of the layers.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Length of all distinct chunks together, in bytes.
    pub fn total(&self) -> u64 {
        self.total
    }
}

/// Checks the layers and leaves out repeated ones, whose content is stored once.
fn distinct_chunks(layers: &[Layer]) -> Result<Vec<Chunk>> {
    if layers.is_empty() || layers.len() > MAX_CHUNKS {
        return Err(corrupt(format!("{} layers", layers.len())));
    }
    let mut seen = IndexMap::new();
    for layer in layers {
        let digest: Digest = layer
            .digest
            .parse()
            .map_err(|e: Error| corrupt(e.to_string()))?;
        if layer.size == 0 || layer.size > MAX_CHUNK {
            return Err(corrupt(format!("layer of {} bytes", layer.size)));
        }
        let length = *seen.entry(digest).or_insert(layer.size);
        if length != layer.size {
            return Err(corrupt(format!("two lengths for {digest}")));
        }
    }
    let chunk = |(digest, length)| Chunk { digest, length };
    Ok(seen.into_iter().map(chunk).collect())
}

fn corrupt(detail: String) -> Error {
    Error::new(Code::ManifestCorrupt, detail)
}

/// Writes a manifest with these chunks, for tools and tests that publish versions.
pub fn text(chunks: &[Chunk]) -> String {
    let layer = |chunk: &Chunk| {
        serde_json::json!({
            "mediaType": "application/octet-stream",
            "digest": chunk.digest.to_string(),
            "size": chunk.length,
        })
    };
    let config = serde_json::json!({
        "mediaType": "application/vnd.oci.empty.v1+json",
        "digest": Digest::of("{}").to_string(),
        "size": 2,
    });
    serde_json::json!({
        "schemaVersion": 2,
        "mediaType": MEDIA_TYPE,
        "config": config,
        "layers": chunks.iter().map(layer).collect::<Vec<_>>(),
    })
    .to_string()
}

/// Returns the digest in `/v2/NAME/manifests/DIGEST` or `/v2/NAME/blobs/DIGEST`, the
/// paths of the OCI distribution API; none for another path.
pub fn blob_digest(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/v2/")?;
    let (rest, digest) = rest.rsplit_once('/')?;
    let kind = rest.rsplit_once('/')?.1;
    (kind == "manifests" || kind == "blobs").then_some(digest)
}
