//! Log records start with the fixed prefix of their component.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use chervilquay::error::Code;
use chervilquay::error::Error;
use chervilquay::log;
use chervilquay::log::Component;
use slog::Drain;
use slog::KV;
use slog::Logger;

/// Keeps each record as one line.
#[derive(Clone, Default)]
struct RecordedLines(Arc<Mutex<Vec<String>>>);

/// Appends each key and value to a line.
struct PairWriter<'a>(&'a mut String);

impl slog::Serializer for PairWriter<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl Drain for RecordedLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut line = format!("{} {}", record.level(), record.msg());
        let mut pairs = PairWriter(&mut line);
        record.kv().serialize(record, &mut pairs).expect("pairs");
        values.serialize(record, &mut pairs).expect("values");
        self.0.lock().expect("lock").push(line);
        Ok(())
    }
}

// Guards against a record without its component's prefix, its process or the error's code.
#[test]
fn record_has_prefix() {
    let lines = RecordedLines::default();
    let root = Logger::root(lines.clone(), slog::o!("process" => "entry-1"));
    let table = log::component(&root, Component::Table);
    let error = Error::new(Code::RevisionLower, "6 after 7");
    slog::warn!(table, "set refused"; "revision" => 6, &error);
    let recorded = lines.0.lock().expect("lock").clone();
    assert_eq!(
        recorded,
        ["WARN table: set refused code=2006 detail=6 after 7 revision=6 process=entry-1"]
    );
}

// Guards against two components with the same prefix.
#[test]
fn prefixes_differ() {
    let prefixes: BTreeSet<&str> = Component::ALL.iter().map(|c| c.prefix()).collect();
    assert_eq!(prefixes.len(), Component::ALL.len());
}
