//! Storage whose values are addressed by small `Copy` keys.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Identifies one value in an [`Arena<T>`].
///
/// A slot gets a new generation when it is reused, so a key of a removed value finds nothing.
pub struct Key<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Returns the index of the slot, for vectors that are indexed alike.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.index, self.generation) == (other.index, other.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.index, self.generation).hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Storage for values of one type that reuses the slots of removed values.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns true when there is no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.slots.push(Slot {
                    generation: 0,
                    value: None,
                });
                self.slots.len() as u32 - 1
            }
        };
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key {
            index,
            generation: slot.generation,
            kind: PhantomData,
        }
    }

    /// Returns the value of `key`, or none after its removal.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns the value of `key` for changes, or none after its removal.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Removes and returns the value of `key`; none when it was removed before.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Iterates over all values with their keys, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            let key = Key {
                index: index as u32,
                generation: slot.generation,
                kind: PhantomData,
            };
            Some((key, value))
        })
    }

    /// Iterates over all values for changes, with their keys, in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(index, slot)| {
                let key = Key {
                    index: index as u32,
                    generation: slot.generation,
                    kind: PhantomData,
                };
                Some((key, slot.value.as_mut()?))
            })
    }
}
