//! Schemas: the fields of a document with their kinds and ranges.

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::error::Code;
use crate::yaml::finding::Findings;
use crate::yaml::tree::Node;
use crate::yaml::tree::Place;
use crate::yaml::tree::Value;

/// Longest name in tables and settings; keeps log lines and metrics short.
const MAX_NAME: usize = 63;

/// A rule for text, with the words that describe it.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// What is expected.
    pub expected: &'static str,
    /// True when the text keeps the rule.
    pub holds: fn(&str) -> bool,
    /// Code when it does not, if other than the document's range code.
    pub code: Option<Code>,
}

impl Rule {
    /// A rule with the document's range code.
    pub const fn new(expected: &'static str, holds: fn(&str) -> bool) -> Rule {
        Rule {
            expected,
            holds,
            code: None,
        }
    }
}

/// Any text.
pub const ANY: Rule = Rule::new("text", |_| true);

/// A name of the allowed characters.
pub const NAME: Rule = Rule::new(
    "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts with a letter or digit",
    is_name,
);

/// A name, or nothing.
pub const NAME_OR_EMPTY: Rule = Rule::new("a name or nothing", |t| t.is_empty() || is_name(t));

/// True for names of the allowed characters.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    text.len() <= MAX_NAME
        && text
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
        && text.bytes().all(allowed)
}

/// Kind of a value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Text under a rule.
    Text(Rule),
    /// Whole number from the first to the second bound.
    Integer(u64, u64),
    /// Number above the first bound, up to the second.
    Number(f64, f64),
    /// True or false.
    Bool,
    /// IP address and port.
    Address,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// List of a kind with at least this many items.
    List(&'static Kind, usize),
    /// Mapping from names under a rule to a kind.
    Map(Rule, &'static Kind),
    /// Mapping with these fields.
    Fields(&'static [Field]),
    /// The kind, or null.
    Optional(&'static Kind),
}

/// One field.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// True when it must stand in the document.
    pub required: bool,
    /// Kind of its value.
    pub kind: Kind,
}

/// A required field.
pub const fn required(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: true,
        kind,
    }
}

/// A field with a default.
pub const fn optional(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: false,
        kind,
    }
}

/// A document's fields and the codes of its faults.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// Fields of the document.
    pub fields: &'static [Field],
    /// Code for text that is not YAML.
    pub syntax: Code,
    /// Code for an unknown field.
    pub unknown: Code,
    /// Code for a missing field.
    pub missing: Code,
    /// Code for a value out of range.
    pub range: Code,
    /// Code for a name that stands twice.
    pub duplicate: Code,
}

impl Schema {
    /// Reads `text` and walks it; none when it is not YAML.
    pub fn read(&self, text: &str, findings: &mut Findings) -> Option<Node> {
        match Node::parse(text) {
            Ok(node) => {
                let fields = self.fields;
                let mut walk = Walk {
                    schema: self,
                    findings,
                };
                walk.fields(Place::START, &node, "", fields);
                Some(node)
            }
            Err((place, message)) => {
                findings.add(place, "document", self.syntax, "valid YAML", message);
                None
            }
        }
    }
}

struct Walk<'a> {
    schema: &'a Schema,
    findings: &'a mut Findings,
}

impl Walk<'_> {
    /// Checks a mapping with fixed fields; `place` is where its key stands.
    fn fields(&mut self, place: Place, node: &Node, path: &str, fields: &[Field]) {
        let Value::Map(entries) = &node.value else {
            let name = if path.is_empty() { "document" } else { path };
            self.range(node, name, "a mapping");
            return;
        };
        self.duplicates(node, path);
        for entry in entries {
            let path = join(path, &entry.key);
            match fields.iter().find(|f| f.name == entry.key) {
                Some(field) => self.value(entry.place, &entry.node, &path, field.kind),
                None => {
                    let expected = one_of(fields.iter().map(|f| f.name));
                    let found = format!("{:?}", entry.key);
                    let code = self.schema.unknown;
                    self.findings.add(entry.place, &path, code, expected, found);
                }
            }
        }
        for field in fields.iter().filter(|f| f.required) {
            if node.get(field.name).is_none() {
                let path = join(path, field.name);
                let expected = describe(field.kind);
                let code = self.schema.missing;
                self.findings
                    .add(place, &path, code, expected, "no such field");
            }
        }
    }

    fn duplicates(&mut self, node: &Node, path: &str) {
        let mut seen = IndexSet::new();
        for entry in node.entries() {
            if !seen.insert(entry.key.as_str()) {
                let path = join(path, &entry.key);
                let code = self.schema.duplicate;
                let found = "the same name again";
                self.findings
                    .add(entry.place, &path, code, "each name once", found);
            }
        }
    }

    fn value(&mut self, place: Place, node: &Node, path: &str, kind: Kind) {
        match kind {
            Kind::Fields(fields) => self.fields(place, node, path, fields),
            Kind::Map(rule, inner) => self.map(node, path, rule, *inner),
            Kind::List(inner, least) => self.list(node, path, *inner, least),
            Kind::Optional(inner) => {
                if !matches!(node.value, Value::Null) {
                    self.value(place, node, path, *inner);
                }
            }
            Kind::Text(rule) => self.text(node, path, rule),
            _ => {
                if !scalar_holds(&node.value, kind) {
                    self.range(node, path, &describe(kind));
                }
            }
        }
    }

    fn text(&mut self, node: &Node, path: &str, rule: Rule) {
        let holds = node.value.scalar().is_some_and(|text| (rule.holds)(&text));
        if !holds {
            let code = rule.code.unwrap_or(self.schema.range);
            let found = node.value.describe();
            self.findings
                .add(node.place, path, code, rule.expected, found);
        }
    }

    fn map(&mut self, node: &Node, path: &str, rule: Rule, inner: Kind) {
        let Value::Map(entries) = &node.value else {
            self.range(node, path, "a mapping");
            return;
        };
        self.duplicates(node, path);
        for entry in entries {
            let path = join(path, &entry.key);
            if !(rule.holds)(&entry.key) {
                let code = rule.code.unwrap_or(self.schema.range);
                let found = format!("{:?}", entry.key);
                self.findings
                    .add(entry.place, &path, code, rule.expected, found);
            }
            self.value(entry.place, &entry.node, &path, inner);
        }
    }

    fn list(&mut self, node: &Node, path: &str, inner: Kind, least: usize) {
        let Value::List(items) = &node.value else {
            self.range(node, path, "a list");
            return;
        };
        if items.len() < least {
            let code = self.schema.range;
            let expected = format!("at least {least} item");
            let found = items.len().to_string();
            self.findings.add(node.place, path, code, expected, found);
        }
        for (index, item) in items.iter().enumerate() {
            self.value(item.place, item, &format!("{path}[{index}]"), inner);
        }
    }

    fn range(&mut self, node: &Node, path: &str, expected: &str) {
        let code = self.schema.range;
        let found = node.value.describe();
        self.findings.add(node.place, path, code, expected, found);
    }
}

/// Path of a field inside `path`.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn scalar_holds(value: &Value, kind: Kind) -> bool {
    match (kind, value) {
        (Kind::Integer(low, high), Value::Integer(held)) => {
            (i128::from(low)..=i128::from(high)).contains(held)
        }
        (Kind::Number(low, high), Value::Integer(held)) => in_range(*held as f64, low, high),
        (Kind::Number(low, high), Value::Number(held)) => in_range(*held, low, high),
        (Kind::Bool, Value::Bool(_)) => true,
        (Kind::Address, Value::Text(text)) => is_address(text),
        (Kind::OneOf(words), Value::Text(text)) => words.contains(&text.as_str()),
        _ => false,
    }
}

fn in_range(held: f64, low: f64, high: f64) -> bool {
    held > low && held <= high
}

/// An address that another process can call: no port 0 and no wildcard.
fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

fn one_of<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    format!("one of {}", names.join(", "))
}

/// The kind in words.
pub fn describe(kind: Kind) -> String {
    match kind {
        Kind::Text(rule) => rule.expected.to_string(),
        Kind::Integer(low, high) => format!("a whole number from {low} to {high}"),
        Kind::Number(low, high) => format!("a number above {low}, up to {high}"),
        Kind::Bool => "true or false".to_string(),
        Kind::Address => "an IP address and port, neither of them zero".to_string(),
        Kind::OneOf(words) => one_of(words.iter().copied()),
        Kind::List(..) => "a list".to_string(),
        Kind::Map(..) | Kind::Fields(_) => "a mapping".to_string(),
        Kind::Optional(inner) => describe(*inner),
    }
}
