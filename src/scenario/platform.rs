//! The configuration service of a scenario: three keys with blocking reads.

use crate::prelude::*;
use crate::scenario::message::Message;
use crate::table::sync::ConfigKey;
use crate::table::sync::Reading;

/// A read that waits for a change.
#[derive(Debug)]
struct Wait {
    from: String,
    call: u64,
    key: ConfigKey,
    index: u64,
    due: Millis,
}

/// Values with their indices, and reads that wait.
#[derive(Debug, Default)]
pub struct Platform {
    values: [Option<Reading>; 3],
    waits: Vec<Wait>,
    index: u64,
}

impl Platform {
    /// Writes a value.
    pub fn put(&mut self, key: ConfigKey, text: &str) {
        self.index += 1;
        self.values[key as usize] = Some(Reading {
            index: self.index,
            text: text.into(),
        });
    }

    /// Takes a read.
    pub fn read(&mut self, now: Millis, from: &str, message: Message) {
        if let Message::Read {
            call,
            key,
            index,
            wait,
        } = message
        {
            self.waits.push(Wait {
                from: from.to_string(),
                call,
                key,
                index,
                due: now.plus(wait),
            });
        }
    }

    /// Answers that are due: changed values and reads that have waited enough.
    pub fn answers(&mut self, now: Millis) -> Vec<(String, Message)> {
        let mut answers = Vec::new();
        let values = &self.values;
        self.waits.retain(|wait| {
            let held = &values[wait.key as usize];
            let is_new = held.as_ref().is_some_and(|held| held.index > wait.index);
            if !is_new && now < wait.due {
                return true;
            }
            let (call, key, reading) = (wait.call, wait.key, held.clone());
            answers.push((wait.from.clone(), Message::Reading { call, key, reading }));
            false
        });
        answers
    }
}
