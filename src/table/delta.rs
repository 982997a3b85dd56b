//! Changes by entry between two texts of a document.
//!
//! The texts are the identity of a table set, so a delta has to rebuild the
//! target byte for byte. A document is therefore cut into parts by its lines,
//! never parsed and printed again; parts that are put together give back the
//! same text. A delta that does not rebuild the target is not used: the whole
//! document is sent instead.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::common;
use crate::proto::Change;
use crate::table::Stamp;

/// Most steps kept for rebuilding older sets.
const HISTORY_STEPS: usize = 512;

/// Most bytes kept for rebuilding older sets.
const HISTORY_BYTES: usize = 2 << 20;

/// Bytes that a change costs beside its own strings, when sizes are compared.
const CHANGE_OVERHEAD: usize = 16;

/// A document's name and its text.
#[derive(Clone, Copy, Debug)]
pub struct Doc<'a> {
    /// `routes`, `pools` or `live`.
    pub table: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// A run of lines: a top-level line, or one entry of a section.
#[derive(Clone, Copy, Debug)]
struct Part<'a> {
    name: Name<'a>,
    text: &'a str,
}

common! { key
/// Section and entry; the entry is empty for the top-level line itself.
struct Name<'a>(&'a str, &'a str);
}

impl<'a> Name<'a> {
    fn parse(text: &'a str) -> Name<'a> {
        match text.split_once('/') {
            Some((section, entry)) => Name(section, entry),
            None => Name(text, ""),
        }
    }

    fn print(self) -> String {
        if self.1.is_empty() {
            return self.0.to_string();
        }
        format!("{}/{}", self.0, self.1)
    }
}

/// Cuts a text into parts, which put together give the same text.
fn split(text: &str) -> Vec<Part<'_>> {
    let mut parts: Vec<Part<'_>> = Vec::new();
    let mut name = Name("", "");
    let mut entry_indent = None;
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if let Some(next) = heading(line, name.0, &mut entry_indent) {
            if end > start {
                let text = &text[start..end];
                parts.push(Part { name, text });
            }
            name = next;
            start = end;
        }
        end += line.len();
    }
    if end > start {
        let text = &text[start..end];
        parts.push(Part { name, text });
    }
    parts
}

/// The name of the part that starts with `line`, if one does.
fn heading<'a>(
    line: &'a str,
    section: &'a str,
    entry_indent: &mut Option<usize>,
) -> Option<Name<'a>> {
    let indent = line.bytes().take_while(|byte| *byte == b' ').count();
    // Most lines lie deeper than an entry; they are told by their indent alone.
    if indent > 0 && entry_indent.is_some_and(|entry| indent > entry) {
        return None;
    }
    let body = line[indent..].trim_end();
    if body.is_empty() || body.starts_with('#') {
        return None;
    }
    let key = body.split(':').next().unwrap_or(body);
    if indent == 0 {
        *entry_indent = None;
        return Some(Name(key, ""));
    }
    if *entry_indent.get_or_insert(indent) != indent {
        return None;
    }
    Some(Name(section, key))
}

/// The changes that turn `base` into `target`, or none when they would not
/// rebuild it exactly or would not be smaller than the target.
pub fn between(base: &[Doc<'_>], target: &[Doc<'_>]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    for (old, new) in base.iter().zip(target) {
        if old.text != new.text {
            compare(*old, *new, &mut changes);
        }
    }
    let whole = target.iter().map(|doc| doc.text.len()).sum();
    if changes.is_empty() || size(&changes) >= whole {
        return None;
    }
    let rebuilt = apply(base, &changes)?;
    let exact = rebuilt.iter().zip(target).all(|(a, b)| a == b.text);
    exact.then_some(changes)
}

/// Bytes that changes take in a message, roughly.
fn size(changes: &[Change]) -> usize {
    changes
        .iter()
        .map(|c| CHANGE_OVERHEAD + c.table.len() + c.name.len() + c.text.len())
        .sum()
}

/// Adds the changes of one document.
///
/// A new entry is placed after the change before it, so the part before a new
/// entry is repeated when it did not change itself.
fn compare(old: Doc<'_>, new: Doc<'_>, changes: &mut Vec<Change>) {
    let old_parts = split(old.text);
    let new_parts = split(new.text);
    let held: HashMap<Name<'_>, &str> = old_parts.iter().map(|p| (p.name, p.text)).collect();
    let mut before: Option<Part<'_>> = None;
    let mut placed = true;
    for part in &new_parts {
        match held.get(&part.name) {
            Some(text) if *text == part.text => placed = false,
            Some(_) => {
                changes.push(change(new.table, part.name, part.text));
                placed = true;
            }
            None => {
                if !placed && let Some(anchor) = before {
                    changes.push(change(new.table, anchor.name, anchor.text));
                }
                changes.push(change(new.table, part.name, part.text));
                placed = true;
            }
        }
        before = Some(*part);
    }
    let kept: HashSet<Name<'_>> = new_parts.iter().map(|p| p.name).collect();
    for part in old_parts.iter().filter(|p| !kept.contains(&p.name)) {
        changes.push(change(new.table, part.name, ""));
    }
}

fn change(table: &str, name: Name<'_>, text: &str) -> Change {
    Change {
        table: table.to_string(),
        name: name.print(),
        text: text.to_string(),
    }
}

/// The texts that changes make of `base`; none when they do not fit it.
///
/// The caller checks the result against the digest of the target.
pub fn apply(base: &[Doc<'_>], changes: &[Change]) -> Option<Vec<String>> {
    let known = |change: &Change| base.iter().any(|doc| doc.table == change.table);
    if !changes.iter().all(known) {
        return None;
    }
    base.iter().map(|doc| rebuild(*doc, changes)).collect()
}

fn rebuild(doc: Doc<'_>, changes: &[Change]) -> Option<String> {
    let parts = split(doc.text);
    let places: HashMap<Name<'_>, usize> = parts
        .iter()
        .enumerate()
        .map(|(place, part)| (part.name, place + 1))
        .collect();
    // Slot 0 takes what is put before the first part.
    let mut slots: Vec<Vec<&str>> = Vec::with_capacity(parts.len() + 1);
    slots.push(vec![""]);
    slots.extend(parts.iter().map(|part| vec![part.text]));
    let mut cursor = 0;
    for change in changes.iter().filter(|c| c.table == doc.table) {
        match places.get(&Name::parse(&change.name)) {
            Some(&place) => {
                slots[place][0] = &change.text;
                cursor = place;
            }
            None if change.text.is_empty() => return None,
            None => slots[cursor].push(&change.text),
        }
    }
    Some(slots.concat().concat())
}

/// How to get back from one set to the one before it.
#[derive(Clone, Debug)]
struct Step {
    stamp: Stamp,
    back: Vec<Change>,
    bytes: usize,
}

/// Former texts, kept as changes backwards from the present ones.
///
/// Only the parts that changed are kept, so that hundreds of former sets fit
/// a small bound; rebuilding an old one costs a pass for each step.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Records the move from `old` to `new`.
    ///
    /// When no delta leads back, older texts can't be rebuilt and are given up.
    pub fn push(&mut self, stamp: Stamp, old: &[Doc<'_>], new: &[Doc<'_>]) {
        let Some(back) = between(new, old) else {
            self.steps.clear();
            self.bytes = 0;
            return;
        };
        let bytes = size(&back);
        self.bytes += bytes;
        self.steps.push_back(Step { stamp, back, bytes });
        while self.steps.len() > HISTORY_STEPS || self.bytes > HISTORY_BYTES {
            let Some(step) = self.steps.pop_front() else {
                break;
            };
            self.bytes -= step.bytes;
        }
    }

    /// Number of former sets that can be rebuilt.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// True when no former set can be rebuilt.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// The texts that `stamp` named, rebuilt from the present ones.
    pub fn rebuild(&self, stamp: &Stamp, present: &[Doc<'_>]) -> Option<Vec<String>> {
        let first = self.steps.iter().position(|step| step.stamp == *stamp)?;
        let mut texts: Vec<String> = present.iter().map(|doc| doc.text.to_string()).collect();
        for step in self.steps.iter().skip(first).rev() {
            let docs: Vec<Doc<'_>> = present
                .iter()
                .zip(&texts)
                .map(|(doc, text)| Doc {
                    table: doc.table,
                    text,
                })
                .collect();
            texts = apply(&docs, &step.back)?;
        }
        Some(texts)
    }
}
