//! Verified chunks in memory of bounded size, addressed by their digests.

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::rollout::manifest::Digest;
use crate::rollout::manifest::Manifest;

/// Content together with its digest.
///
/// It can only be made by hashing the content, so a store never holds content under a
/// wrong digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    digest: Digest,
    bytes: Bytes,
}

impl Blob {
    /// Computes the digest of `bytes`.
    pub fn new(bytes: Bytes) -> Blob {
        Blob {
            digest: Digest::of(&bytes),
            bytes,
        }
    }

    /// Digest of the content.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Length of the content, in bytes.
    pub fn length(&self) -> u64 {
        self.bytes.len() as u64
    }
}

/// Store for chunks and manifests.
///
/// # Invariants
///
/// Held and reserved bytes together never exceed the capacity.
#[derive(Debug)]
pub struct ChunkStore {
    capacity: u64,
    held: IndexMap<Digest, Bytes>,
    prefixes: IndexMap<u64, Digest>,
    pinned: IndexSet<Digest>,
    used: u64,
    reserved: u64,
}

impl ChunkStore {
    /// Creates an empty store for at most `capacity` bytes.
    pub fn new(capacity: u64) -> ChunkStore {
        ChunkStore {
            capacity,
            held: IndexMap::new(),
            prefixes: IndexMap::new(),
            pinned: IndexSet::new(),
            used: 0,
            reserved: 0,
        }
    }

    /// Protects `manifest` and its chunks from eviction, instead of those pinned before.
    ///
    /// The error is `StagingFull`, when they do not fit into the store together.
    pub fn pin(&mut self, manifest: &Manifest) -> Result<()> {
        let own = self.held.get(&manifest.digest()).map_or(0, Bytes::len) as u64;
        if manifest.total() + own > self.capacity {
            let detail = format!(
                "{} bytes, staging {}",
                manifest.total() + own,
                self.capacity
            );
            return Err(Error::new(Code::StagingFull, detail));
        }
        let chunks = manifest.chunks().iter().map(|c| c.digest);
        self.pinned = chunks.chain([manifest.digest()]).collect();
        Ok(())
    }

    /// Reserves room for `length` bytes and evicts old chunks for it; false when there is
    /// not enough.
    pub fn reserve(&mut self, length: u64) -> bool {
        while self.used + self.reserved + length > self.capacity {
            if !self.evict() {
                return false;
            }
        }
        self.reserved += length;
        self.check_capacity();
        true
    }

    /// Gives back a reservation of `length` bytes.
    pub fn unreserve(&mut self, length: u64) {
        assert!(self.reserved >= length, "reservation given back twice");
        self.reserved -= length;
    }

    /// Adds a chunk or manifest; false when it is already held or does not fit.
    pub fn insert(&mut self, blob: Blob) -> bool {
        if self.held.contains_key(&blob.digest) || !self.reserve(blob.length()) {
            return false;
        }
        self.reserved -= blob.length();
        self.used += blob.length();
        self.prefixes.insert(blob.digest.prefix(), blob.digest);
        self.held.insert(blob.digest, blob.bytes);
        self.check_capacity();
        true
    }

    /// Evicts the oldest content that is not pinned; false when there is none.
    fn evict(&mut self) -> bool {
        let Some(index) = self.held.keys().position(|d| !self.pinned.contains(d)) else {
            return false;
        };
        if let Some((digest, bytes)) = self.held.shift_remove_index(index) {
            self.used -= bytes.len() as u64;
            self.prefixes.swap_remove(&digest.prefix());
        }
        true
    }

    /// The content with this digest.
    pub fn get(&self, digest: Digest) -> Option<&Bytes> {
        self.held.get(&digest)
    }

    /// The digest with this prefix whose content is held, see [`Digest::prefix`].
    pub fn find_prefix(&self, prefix: u64) -> Option<Digest> {
        self.prefixes.get(&prefix).copied()
    }

    /// True when every chunk of `manifest` is held with the length that it states.
    pub fn holds(&self, manifest: &Manifest) -> bool {
        manifest
            .chunks()
            .iter()
            .all(|c| self.held.get(&c.digest).map(|b| b.len() as u64) == Some(c.length))
    }

    /// Most bytes that may be held and reserved.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Number of chunks and manifests held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True when nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Bytes held, without reserved ones.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Checks the invariant.
    fn check_capacity(&self) {
        assert!(
            self.used + self.reserved <= self.capacity,
            "staging capacity exceeded"
        );
    }
}
