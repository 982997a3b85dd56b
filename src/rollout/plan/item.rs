//! The chunks of the wanted version and which of them are missing.

use crate::rollout::manifest::Chunk;
use crate::rollout::store::ChunkStore;

/// State of one chunk of the wanted version.
#[derive(Clone, Debug)]
struct Item {
    chunk: Chunk,
    held: bool,
    /// Number of pulls that name the chunk.
    requests: u16,
}

/// All chunks of the wanted version, by index.
#[derive(Clone, Debug, Default)]
pub(super) struct Items {
    list: Vec<Item>,
    held: usize,
}

impl Items {
    /// Creates items for `chunks` and marks those in `store` as held.
    pub(super) fn new(chunks: &[Chunk], store: &ChunkStore) -> Items {
        let item = |chunk: &Chunk| Item {
            chunk: *chunk,
            held: store.get(chunk.digest).is_some(),
            requests: 0,
        };
        let list: Vec<_> = chunks.iter().map(item).collect();
        let held = list.iter().filter(|i| i.held).count();
        Items { list, held }
    }

    /// Number of chunks.
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Number of chunks held.
    pub(super) fn held(&self) -> usize {
        self.held
    }

    /// True when all chunks are held, and there is at least one.
    pub(super) fn is_complete(&self) -> bool {
        self.held == self.list.len() && self.held > 0
    }

    pub(super) fn chunk(&self, index: usize) -> Chunk {
        self.list[index].chunk
    }

    pub(super) fn is_held(&self, index: usize) -> bool {
        self.list[index].held
    }

    /// Number of pulls that name the chunk.
    pub(super) fn requests(&self, index: usize) -> u16 {
        self.list[index].requests
    }

    /// Indices of missing chunks that no pull names.
    pub(super) fn unrequested(&self) -> impl DoubleEndedIterator<Item = usize> {
        let index_of =
            |(index, item): (usize, &Item)| (!item.held && item.requests == 0).then_some(index);
        self.list.iter().enumerate().filter_map(index_of)
    }

    /// Indices of all missing chunks.
    pub(super) fn missing(&self) -> impl DoubleEndedIterator<Item = usize> {
        let index_of = |(index, item): (usize, &Item)| (!item.held).then_some(index);
        self.list.iter().enumerate().filter_map(index_of)
    }

    /// Counts a pull that names these chunks.
    pub(super) fn add_request(&mut self, indices: &[usize]) {
        for &index in indices {
            self.list[index].requests += 1;
        }
    }

    /// Counts one pull less that names these chunks.
    pub(super) fn remove_request(&mut self, indices: &[usize]) {
        for &index in indices {
            assert!(self.list[index].requests > 0, "request removed twice");
            self.list[index].requests -= 1;
        }
    }

    /// Marks a missing chunk as held.
    pub(super) fn mark_held(&mut self, index: usize) {
        assert!(!self.list[index].held, "chunk counted twice");
        self.list[index].held = true;
        self.held += 1;
    }
}
