//! Simulated configuration service: three keys with blocking reads.

use crate::prelude::*;
use crate::scenario::message::Message;
use crate::table::sync::ConfigKey;
use crate::table::sync::Reading;

/// A blocking read that waits for a change of its key.
#[derive(Debug)]
struct WaitingRead {
    from: String,
    call: u64,
    key: ConfigKey,
    /// Index of the value that the reader has.
    index: u64,
    /// Time at which it is answered without a change.
    due: Millis,
}

/// State of the configuration service: values with their indices, and waiting reads.
#[derive(Debug, Default)]
pub struct ConfigService {
    /// Values by [`ConfigKey`].
    values: [Option<Reading>; 3],
    waiting: Vec<WaitingRead>,
    /// Index of the last write to any key.
    index: u64,
}

impl ConfigService {
    /// Writes a value under the next index.
    pub fn write(&mut self, key: ConfigKey, text: &str) {
        self.index += 1;
        self.values[key as usize] = Some(Reading {
            index: self.index,
            text: text.into(),
        });
    }

    /// Adds a read to the waiting ones; other messages are ignored.
    pub fn on_read(&mut self, now: Millis, from: &str, message: Message) {
        if let Message::Read {
            call,
            key,
            index,
            wait,
        } = message
        {
            self.waiting.push(WaitingRead {
                from: from.to_string(),
                call,
                key,
                index,
                due: now.plus(wait),
            });
        }
    }

    /// Removes reads whose key has changed or whose wait is over; returns the names of the
    /// readers with their answers.
    pub fn due_answers(&mut self, now: Millis) -> Vec<(String, Message)> {
        let mut answers = Vec::new();
        let values = &self.values;
        self.waiting.retain(|read| {
            let value = &values[read.key as usize];
            let is_new = value.as_ref().is_some_and(|value| value.index > read.index);
            if !is_new && now < read.due {
                return true;
            }
            let (call, key, reading) = (read.call, read.key, value.clone());
            answers.push((
                read.from.clone(),
                Message::ReadAnswer { call, key, reading },
            ));
            false
        });
        answers
    }
}
