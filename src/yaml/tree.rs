//! A YAML document as a tree of values with their locations.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

use crate::common;

common! { key
/// Line and column, both from 1.
pub struct Place {
    /// Line.
    pub line: u64,
    /// Column.
    pub column: u64,
}
}

impl Place {
    /// First character of a document.
    pub const START: Place = Place { line: 1, column: 1 };
}

impl From<Location> for Place {
    fn from(location: Location) -> Place {
        Place {
            line: location.line().max(1),
            column: location.column().max(1),
        }
    }
}

/// One value and its location.
#[derive(Clone, Debug)]
pub struct Node {
    /// Location of the first character.
    pub place: Place,
    /// The value.
    pub value: Value,
}

/// One key of a mapping, with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Location of the key.
    pub place: Place,
    /// Value.
    pub node: Node,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Value {
    /// Null, or no value.
    Null,
    /// True or false.
    Bool(bool),
    /// Integer.
    Integer(i128),
    /// Floating-point number.
    Number(f64),
    /// Text.
    Text(String),
    /// Sequence.
    List(Vec<Node>),
    /// Mapping in the order of the document, duplicate keys included.
    Map(Vec<Entry>),
}

impl Value {
    /// Returns a scalar as text; none for null, sequences and mappings.
    pub fn scalar(&self) -> Option<String> {
        match self {
            Value::Bool(value) => Some(value.to_string()),
            Value::Integer(value) => Some(value.to_string()),
            Value::Number(value) => Some(format!("{value:?}")),
            Value::Text(value) => Some(value.clone()),
            Value::Null | Value::List(_) | Value::Map(_) => None,
        }
    }

    /// Returns a description of the value for findings.
    pub fn describe(&self) -> String {
        match self {
            Value::Null => "nothing".to_string(),
            Value::Text(value) => format!("{value:?}"),
            Value::List(_) => "a list".to_string(),
            Value::Map(_) => "a mapping".to_string(),
            _ => self.scalar().unwrap_or_default(),
        }
    }
}

impl Node {
    /// Parses a document; the error is the place where parsing stopped, and why.
    pub fn parse(text: &str) -> Result<Node, (Place, String)> {
        // Duplicates are kept, so that the schema reports each of them.
        let options = serde_saphyr::options! { duplicate_keys: DuplicateKeyPolicy::PassThrough };
        let spanned: Spanned<Value> =
            serde_saphyr::from_str_with_options(text, options).map_err(|e| parse_error(&e))?;
        Ok(from_spanned(spanned))
    }

    /// Returns the entries of a mapping; empty for other values.
    pub fn entries(&self) -> &[Entry] {
        match &self.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    /// Returns the first entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries().iter().find(|entry| entry.key == key)
    }

    /// Returns the value of the first entry with this key.
    pub fn get(&self, key: &str) -> Option<&Node> {
        self.entry(key).map(|entry| &entry.node)
    }

    /// Returns the scalar of this key as text, empty when there is none.
    pub fn text(&self, key: &str) -> String {
        let value = self.get(key).and_then(|node| node.value.scalar());
        value.unwrap_or_default()
    }
}

/// Returns the place and a one-line message of an error of the YAML library.
pub fn parse_error(error: &serde_saphyr::Error) -> (Place, String) {
    let plain = error.without_snippet();
    let place = plain.location().map_or(Place::START, Place::from);
    let text = plain.to_string();
    let line = text.lines().next().unwrap_or_default().to_string();
    (place, line)
}

fn from_spanned(spanned: Spanned<Value>) -> Node {
    Node {
        place: Place::from(spanned.referenced),
        value: spanned.value,
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

/// Visitor that accepts every YAML value.
struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, inner: D) -> Result<Value, D::Error> {
        Value::deserialize(inner)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Value>>()? {
            list.push(from_spanned(item));
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            let value = map.next_value::<Spanned<Value>>()?;
            entries.push(Entry {
                place: Place::from(key.referenced),
                key: key.value,
                node: from_spanned(value),
            });
        }
        Ok(Value::Map(entries))
    }
}
