//! Order of the frames of one attempt.

use std::collections::VecDeque;

/// Frames that may be held while an earlier one is missing.
pub const WINDOW: u64 = 64;

/// Why a frame ends the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The frame lies further ahead than the window.
    Ahead,
}

/// Puts frames in order of their sequence numbers and drops duplicates.
///
/// # Invariants
///
/// `next` is the lowest number not yet given out, and slot `i` holds the frame
/// `next + i` or nothing.
#[derive(Clone, Debug)]
pub struct Reorder<T> {
    next: u64,
    held: VecDeque<Option<T>>,
}

impl<T> Default for Reorder<T> {
    fn default() -> Self {
        Reorder {
            next: 0,
            held: VecDeque::new(),
        }
    }
}

impl<T> Reorder<T> {
    /// Takes the frame `seq`; [`Reorder::pop`] then gives what is in order.
    pub fn push(&mut self, seq: u64, frame: T) -> Result<(), Broken> {
        let Some(ahead) = seq.checked_sub(self.next) else {
            return Ok(());
        };
        if ahead >= WINDOW {
            return Err(Broken::Ahead);
        }
        let index = ahead as usize;
        while self.held.len() <= index {
            self.held.push_back(None);
        }
        // The first copy is kept: a duplicate must not replace what was held.
        let slot = &mut self.held[index];
        if slot.is_none() {
            *slot = Some(frame);
        }
        assert!(self.held.len() as u64 <= WINDOW, "window is exceeded");
        Ok(())
    }

    /// The next frame in order, if it has arrived.
    pub fn pop(&mut self) -> Option<T> {
        let frame = self.held.front_mut()?.take()?;
        self.held.pop_front();
        self.next += 1;
        Some(frame)
    }

    /// Frames that wait for an earlier one.
    pub fn waiting(&self) -> usize {
        self.held.iter().flatten().count()
    }
}
