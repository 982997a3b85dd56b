//! Puts the frames of one attempt in order.

use std::collections::VecDeque;

/// Most frames that may be buffered while an earlier one is missing.
pub const WINDOW: u64 = 64;

/// Why a frame cannot be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Its sequence number is [`WINDOW`] or more above the next one in order.
    Ahead,
}

/// Puts frames in order of their sequence numbers and drops duplicates.
///
/// # Invariants
///
/// `next` is the lowest sequence number that was not yet returned. Element `i` of
/// `frames` is the frame `next + i`, or none while it is missing.
#[derive(Clone, Debug)]
pub struct Reorder<T> {
    next: u64,
    frames: VecDeque<Option<T>>,
}

impl<T> Default for Reorder<T> {
    fn default() -> Self {
        Reorder {
            next: 0,
            frames: VecDeque::new(),
        }
    }
}

impl<T> Reorder<T> {
    /// Adds the frame with sequence number `seq`; [`Reorder::pop`] then returns the
    /// frames that are in order.
    ///
    /// # Errors
    ///
    /// [`Broken::Ahead`] when the frame is too far ahead.
    pub fn push(&mut self, seq: u64, frame: T) -> Result<(), Broken> {
        let Some(ahead) = seq.checked_sub(self.next) else {
            return Ok(());
        };
        if ahead >= WINDOW {
            return Err(Broken::Ahead);
        }
        let index = ahead as usize;
        while self.frames.len() <= index {
            self.frames.push_back(None);
        }
        // The first copy is kept; a duplicate must not replace it.
        let slot = &mut self.frames[index];
        if slot.is_none() {
            *slot = Some(frame);
        }
        assert!(self.frames.len() as u64 <= WINDOW, "window is exceeded");
        Ok(())
    }

    /// Returns the next frame in order, if it has arrived.
    pub fn pop(&mut self) -> Option<T> {
        let frame = self.frames.front_mut()?.take()?;
        self.frames.pop_front();
        self.next += 1;
        Some(frame)
    }

    /// Returns the number of frames that wait for an earlier one.
    pub fn waiting(&self) -> usize {
        self.frames.iter().flatten().count()
    }
}
