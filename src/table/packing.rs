//! Compact form of large values for messages: compressed, and against an earlier value of
//! the same key where the receiver has it.
//!
//! It answers changes of a document that is large beside its change: what is sent grows
//! with the change, not with the document.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::table::replica::Doc;
use crate::table::replica::Position;

/// Least length of a value that is packed, in bytes; shorter ones fit in a datagram.
pub const LARGE: usize = 600;

/// Compression level. Lower ones find too little of the base again.
const LEVEL: i32 = 3;

/// Largest length of a value that is unpacked, in bytes.
const MAX_LENGTH: usize = 16 << 20;

/// Packed values that are kept, as several processes ask for the same.
const MAX_KEPT: usize = 8;

common! { value
/// A value in packed form.
pub struct Packed {
    /// Revision of the value that it was compressed against; 0 for none.
    pub base: u64,
    /// Length of the value, in bytes.
    pub length: usize,
    /// The compressed value.
    pub bytes: Bytes,
}
}

/// Packs values, and keeps the last ones.
#[derive(Clone, Debug, Default)]
pub struct Packer {
    /// Key, position and packed value.
    kept: VecDeque<(Arc<str>, Position, Packed)>,
}

impl Packer {
    /// Packs the value of `doc`, of the store's era `era`, against `base`, an earlier value of its key with its
    /// revision. Returns none when that fails or the value is short; it is sent as it is
    /// then.
    pub fn pack(&mut self, era: u64, doc: &Doc, base: Option<&(u64, Bytes)>) -> Option<Packed> {
        let value = doc.value.as_ref().filter(|value| value.len() >= LARGE)?;
        let base_revision = base.map_or(0, |(revision, _)| *revision);
        let position = Position {
            era,
            revision: doc.revision,
        };
        let is_same = |(key, at, packed): &&(Arc<str>, Position, Packed)| {
            *key == doc.key && *at == position && packed.base == base_revision
        };
        if let Some((_, _, packed)) = self.kept.iter().find(is_same) {
            return Some(packed.clone());
        }
        let bytes = compress(value, base.map_or(&[], |(_, bytes)| &bytes[..])).ok()?;
        let packed = Packed {
            base: base_revision,
            length: value.len(),
            bytes: bytes.into(),
        };
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        let kept = (doc.key.clone(), position, packed.clone());
        self.kept.push_back(kept);
        Some(packed)
    }
}

/// Compresses a value against `base`, which may be empty. A checksum shows when it is
/// unpacked against another base.
fn compress(value: &[u8], base: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut packer = zstd::bulk::Compressor::with_dictionary(LEVEL, base)?;
    packer.include_checksum(true)?;
    packer.compress(value)
}

/// Returns the value of a packed one; `base` is the value that it was compressed against.
///
/// Fails with [`Code::ProtocolInvalid`] when it is too long or does not fit the base.
pub fn unpack(packed: &Packed, base: &[u8]) -> Result<Bytes> {
    let invalid = |detail: String| Error::new(Code::ProtocolInvalid, detail);
    if packed.length > MAX_LENGTH {
        return Err(invalid(format!("packed value of {} bytes", packed.length)));
    }
    let value = zstd::bulk::Decompressor::with_dictionary(base)
        .and_then(|mut unpacker| unpacker.decompress(&packed.bytes, packed.length))
        .map_err(|e| invalid(e.to_string()))?;
    if value.len() != packed.length {
        return Err(invalid(format!(
            "{} of {} bytes",
            value.len(),
            packed.length
        )));
    }
    Ok(value.into())
}
