//! The chunks of the wanted version and which of them are missing.

use crate::rollout::manifest::Chunk;
use crate::rollout::store::ChunkStore;

/// State of one chunk.
#[derive(Clone, Debug)]
struct Item {
    chunk: Chunk,
    held: bool,
    /// Pulls that name it.
    asked: u16,
}

/// All chunks of the wanted version, by index.
#[derive(Clone, Debug, Default)]
pub(super) struct Items {
    list: Vec<Item>,
    held: usize,
}

impl Items {
    /// Items for `chunks`, with those in `store` marked as held.
    pub(super) fn new(chunks: &[Chunk], store: &ChunkStore) -> Items {
        let item = |chunk: &Chunk| Item {
            chunk: *chunk,
            held: store.get(chunk.digest).is_some(),
            asked: 0,
        };
        let list: Vec<_> = chunks.iter().map(item).collect();
        let held = list.iter().filter(|i| i.held).count();
        Items { list, held }
    }

    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    pub(super) fn held(&self) -> usize {
        self.held
    }

    pub(super) fn whole(&self) -> bool {
        self.held == self.list.len() && self.held > 0
    }

    pub(super) fn chunk(&self, index: usize) -> Chunk {
        self.list[index].chunk
    }

    pub(super) fn is_held(&self, index: usize) -> bool {
        self.list[index].held
    }

    /// Indices that are missing and that no pull names.
    pub(super) fn asked(&self, index: usize) -> u16 {
        self.list[index].asked
    }

    pub(super) fn unasked(&self) -> impl DoubleEndedIterator<Item = usize> {
        let open = |(index, item): (usize, &Item)| (!item.held && item.asked == 0).then_some(index);
        self.list.iter().enumerate().filter_map(open)
    }

    /// Indices that are missing, asked for or not.
    pub(super) fn missing(&self) -> impl DoubleEndedIterator<Item = usize> {
        let open = |(index, item): (usize, &Item)| (!item.held).then_some(index);
        self.list.iter().enumerate().filter_map(open)
    }

    pub(super) fn ask(&mut self, indices: &[usize]) {
        for &index in indices {
            self.list[index].asked += 1;
        }
    }

    pub(super) fn unask(&mut self, indices: &[usize]) {
        for &index in indices {
            assert!(self.list[index].asked > 0, "pull given back twice");
            self.list[index].asked -= 1;
        }
    }

    pub(super) fn hold(&mut self, index: usize) {
        assert!(!self.list[index].held, "chunk counted twice");
        self.list[index].held = true;
        self.held += 1;
    }
}
