//! Deltas between two texts of a document, by its entries.
//!
//! The digest of the texts identifies a table set, so a delta has to rebuild the
//! target byte for byte. A document is therefore split into parts at line breaks
//! and never parsed and printed again; the parts put together are the same text.
//! A delta that does not rebuild the target is not used, and the whole document
//! is sent instead.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::common;
use crate::proto::Change;
use crate::table::Stamp;

/// Maximum number of earlier texts that can be rebuilt.
const HISTORY_STEPS: usize = 512;

/// Maximum bytes of changes kept for rebuilding earlier texts.
const HISTORY_BYTES: usize = 2 << 20;

/// Estimated bytes of a change in a message beside its own strings.
const CHANGE_OVERHEAD: usize = 16;

/// A document's name and its text.
#[derive(Clone, Copy, Debug)]
pub struct Doc<'a> {
    /// `routes`, `pools` or `live`.
    pub table: &'a str,
    /// Its whole text.
    pub text: &'a str,
}

/// Consecutive lines of a document: a top-level line, or one entry of a section,
/// with the lines below it.
#[derive(Clone, Copy, Debug)]
struct Part<'a> {
    name: PartName<'a>,
    text: &'a str,
}

common! { key
/// Section and entry that a part starts with; the entry is empty for the
/// top-level line itself. The text in messages is `section/entry` or `section`.
struct PartName<'a>(&'a str, &'a str);
}

impl<'a> PartName<'a> {
    fn parse(text: &'a str) -> PartName<'a> {
        match text.split_once('/') {
            Some((section, entry)) => PartName(section, entry),
            None => PartName(text, ""),
        }
    }

    fn to_text(self) -> String {
        if self.1.is_empty() {
            return self.0.to_string();
        }
        format!("{}/{}", self.0, self.1)
    }
}

/// Splits a text into parts, which put together are the same text.
fn split_parts(text: &str) -> Vec<Part<'_>> {
    let mut parts: Vec<Part<'_>> = Vec::new();
    let mut name = PartName("", "");
    let mut entry_indent = None;
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if let Some(next) = part_name(line, name.0, &mut entry_indent) {
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

/// Returns the name of the part that starts at `line`, or `None` when the line
/// belongs to the part before it. `entry_indent` is the indent of the entries of
/// the section, which its first entry sets.
fn part_name<'a>(
    line: &'a str,
    section: &'a str,
    entry_indent: &mut Option<usize>,
) -> Option<PartName<'a>> {
    let indent = line.bytes().take_while(|byte| *byte == b' ').count();
    // Fast path: most lines are indented more than an entry.
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
        return Some(PartName(key, ""));
    }
    if *entry_indent.get_or_insert(indent) != indent {
        return None;
    }
    Some(PartName(section, key))
}

/// Returns the changes that turn `base` into `target`, or `None` when they would
/// not rebuild it exactly or would not be smaller than the target. Both list the
/// same documents in the same order.
pub fn between(base: &[Doc<'_>], target: &[Doc<'_>]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    for (old, new) in base.iter().zip(target) {
        if old.text != new.text {
            diff_doc(*old, *new, &mut changes);
        }
    }
    let target_bytes = target.iter().map(|doc| doc.text.len()).sum();
    if changes.is_empty() || message_bytes(&changes) >= target_bytes {
        return None;
    }
    let rebuilt = apply(base, &changes)?;
    let is_exact = rebuilt.iter().zip(target).all(|(a, b)| a == b.text);
    is_exact.then_some(changes)
}

/// Estimates the bytes that changes take in a message.
fn message_bytes(changes: &[Change]) -> usize {
    changes
        .iter()
        .map(|c| CHANGE_OVERHEAD + c.table.len() + c.name.len() + c.text.len())
        .sum()
}

/// Adds the changes of one document to `changes`.
///
/// A receiver inserts a new entry after the part that the previous change names.
/// So the part before a new entry is sent as well, even if it did not change.
fn diff_doc(old: Doc<'_>, new: Doc<'_>, changes: &mut Vec<Change>) {
    let old_parts = split_parts(old.text);
    let new_parts = split_parts(new.text);
    let old_texts: HashMap<PartName<'_>, &str> =
        old_parts.iter().map(|p| (p.name, p.text)).collect();
    let mut before: Option<Part<'_>> = None;
    // True when the part before is among the changes, or there is none.
    let mut follows_change = true;
    for part in &new_parts {
        match old_texts.get(&part.name) {
            Some(text) if *text == part.text => follows_change = false,
            Some(_) => {
                changes.push(new_change(new.table, part.name, part.text));
                follows_change = true;
            }
            None => {
                if !follows_change && let Some(anchor) = before {
                    changes.push(new_change(new.table, anchor.name, anchor.text));
                }
                changes.push(new_change(new.table, part.name, part.text));
                follows_change = true;
            }
        }
        before = Some(*part);
    }
    let kept: HashSet<PartName<'_>> = new_parts.iter().map(|p| p.name).collect();
    for part in old_parts.iter().filter(|p| !kept.contains(&p.name)) {
        changes.push(new_change(new.table, part.name, ""));
    }
}

fn new_change(table: &str, name: PartName<'_>, text: &str) -> Change {
    Change {
        table: table.to_string(),
        name: name.to_text(),
        text: text.to_string(),
    }
}

/// Applies changes to `base` and returns the new texts, or `None` when they name
/// a document or remove a part that `base` does not have.
///
/// The caller has to check the result against the digest of the target.
pub fn apply(base: &[Doc<'_>], changes: &[Change]) -> Option<Vec<String>> {
    let is_known = |change: &Change| base.iter().any(|doc| doc.table == change.table);
    if !changes.iter().all(is_known) {
        return None;
    }
    base.iter().map(|doc| rebuild(*doc, changes)).collect()
}

/// Applies the changes of one document, or returns `None` when they remove a part
/// that it does not have.
fn rebuild(doc: Doc<'_>, changes: &[Change]) -> Option<String> {
    let parts = split_parts(doc.text);
    let positions: HashMap<PartName<'_>, usize> = parts
        .iter()
        .enumerate()
        .map(|(position, part)| (part.name, position + 1))
        .collect();
    // Slot 0 is for parts inserted before the first part.
    let mut slots: Vec<Vec<&str>> = Vec::with_capacity(parts.len() + 1);
    slots.push(vec![""]);
    slots.extend(parts.iter().map(|part| vec![part.text]));
    let mut cursor = 0;
    for change in changes.iter().filter(|c| c.table == doc.table) {
        match positions.get(&PartName::parse(&change.name)) {
            Some(&position) => {
                slots[position][0] = &change.text;
                cursor = position;
            }
            None if change.text.is_empty() => return None,
            None => slots[cursor].push(&change.text),
        }
    }
    Some(slots.concat().concat())
}

/// Changes that turn the texts of one stamp into those of the stamp before it.
#[derive(Clone, Debug)]
struct Step {
    /// Stamp of the earlier texts, which `undo` leads to.
    stamp: Stamp,
    undo: Vec<Change>,
    bytes: usize,
}

/// Earlier texts, kept as the changes that lead back from the present ones.
///
/// Only the parts that changed are kept, so that hundreds of earlier texts fit
/// within 2 MiB. Rebuilding one takes a pass over the texts for each step back.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Records that `new` replaces `old`, which has the stamp `stamp`.
    ///
    /// When no delta leads back from `new` to `old`, all earlier texts are dropped,
    /// as they can no longer be rebuilt.
    pub fn push(&mut self, stamp: Stamp, old: &[Doc<'_>], new: &[Doc<'_>]) {
        let Some(undo) = between(new, old) else {
            self.steps.clear();
            self.bytes = 0;
            return;
        };
        let bytes = message_bytes(&undo);
        self.bytes += bytes;
        self.steps.push_back(Step { stamp, undo, bytes });
        while self.steps.len() > HISTORY_STEPS || self.bytes > HISTORY_BYTES {
            let Some(step) = self.steps.pop_front() else {
                break;
            };
            self.bytes -= step.bytes;
        }
    }

    /// Returns the number of earlier texts that can be rebuilt, at most 512.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns true when no earlier text can be rebuilt.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Rebuilds the texts with the stamp `stamp` from the present ones. Returns
    /// `None` when they are not kept.
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
            texts = apply(&docs, &step.undo)?;
        }
        Some(texts)
    }
}
