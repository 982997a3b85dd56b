//! Verified chunks in bounded memory, addressed by their content.

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::rollout::manifest::Digest;
use crate::rollout::manifest::Manifest;

/// Content together with the digest computed over it.
///
/// It can only be made by hashing, so a store never holds content under a wrong digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    digest: Digest,
    bytes: Bytes,
}

impl Blob {
    /// Hashes `bytes`.
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

/// The chunk store.
///
/// # Invariants
///
/// Held and reserved bytes together never exceed the bound.
#[derive(Debug)]
pub struct ChunkStore {
    bound: u64,
    held: IndexMap<Digest, Bytes>,
    prefixes: IndexMap<u64, Digest>,
    pinned: IndexSet<Digest>,
    used: u64,
    reserved: u64,
}

impl ChunkStore {
    /// An empty store for at most `bound` bytes.
    pub fn new(bound: u64) -> ChunkStore {
        ChunkStore {
            bound,
            held: IndexMap::new(),
            prefixes: IndexMap::new(),
            pinned: IndexSet::new(),
            used: 0,
            reserved: 0,
        }
    }

    /// Keeps `manifest` and its chunks; others may be evicted when room is needed.
    pub fn pin(&mut self, manifest: &Manifest) -> Result<()> {
        let own = self.held.get(&manifest.digest()).map_or(0, Bytes::len) as u64;
        if manifest.total() + own > self.bound {
            let detail = format!("{} bytes, staging {}", manifest.total() + own, self.bound);
            return Err(Error::new(Code::StagingFull, detail));
        }
        let chunks = manifest.chunks().iter().map(|c| c.digest);
        self.pinned = chunks.chain([manifest.digest()]).collect();
        Ok(())
    }

    /// Sets room for `length` bytes aside, evicting old chunks; false when there is none.
    pub fn reserve(&mut self, length: u64) -> bool {
        while self.used + self.reserved + length > self.bound {
            if !self.evict() {
                return false;
            }
        }
        self.reserved += length;
        self.check();
        true
    }

    /// Gives a reservation back.
    pub fn unreserve(&mut self, length: u64) {
        assert!(self.reserved >= length, "reservation given back twice");
        self.reserved -= length;
    }

    /// Adds a chunk; false when it is already held or does not fit.
    pub fn insert(&mut self, whole: Blob) -> bool {
        if self.held.contains_key(&whole.digest) || !self.reserve(whole.length()) {
            return false;
        }
        self.reserved -= whole.length();
        self.used += whole.length();
        self.prefixes.insert(whole.digest.prefix(), whole.digest);
        self.held.insert(whole.digest, whole.bytes);
        self.check();
        true
    }

    /// Evicts the oldest chunk that is not pinned.
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

    /// The chunk of this digest.
    pub fn get(&self, digest: Digest) -> Option<&Bytes> {
        self.held.get(&digest)
    }

    /// The held chunk whose digest starts with `prefix`.
    pub fn find(&self, prefix: u64) -> Option<Digest> {
        self.prefixes.get(&prefix).copied()
    }

    /// True when every chunk of `manifest` is held.
    pub fn holds(&self, manifest: &Manifest) -> bool {
        manifest
            .chunks()
            .iter()
            .all(|c| self.held.get(&c.digest).map(|b| b.len() as u64) == Some(c.length))
    }

    /// Most bytes that may be held.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Number of chunks held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True when nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }

    fn check(&self) {
        assert!(
            self.used + self.reserved <= self.bound,
            "staging bound exceeded"
        );
    }
}
