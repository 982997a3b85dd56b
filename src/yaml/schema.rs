//! Schemas: the fields of a document, with the kinds and ranges of their values.

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::error::Code;
use crate::yaml::finding::Findings;
use crate::yaml::tree::Node;
use crate::yaml::tree::Place;
use crate::yaml::tree::Value;

/// Longest name in tables and settings, in bytes; keeps log lines and metrics short.
const MAX_NAME: usize = 63;

/// A condition on text, with a description for findings.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Description of a valid text.
    pub expected: &'static str,
    /// Returns true for a valid text.
    pub holds: fn(&str) -> bool,
    /// Code of a finding; none stands for [`Schema::range`].
    pub code: Option<Code>,
}

impl Rule {
    /// Creates a rule whose findings have the code [`Schema::range`].
    pub const fn new(expected: &'static str, holds: fn(&str) -> bool) -> Rule {
        Rule {
            expected,
            holds,
            code: None,
        }
    }
}

/// Accepts any text.
pub const ANY: Rule = Rule::new("text", |_| true);

/// Accepts names, see [`is_name`].
pub const NAME: Rule = Rule::new(
    "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts with a letter or digit",
    is_name,
);

/// Accepts names and the empty text.
pub const NAME_OR_EMPTY: Rule = Rule::new("a name or nothing", |t| t.is_empty() || is_name(t));

/// Returns true for 1 to 63 ASCII letters, digits, `.`, `_` and `-`, the first a letter or digit.
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
    /// Text that satisfies a rule.
    Text(Rule),
    /// Integer from the first to the second bound, both included.
    Integer(u64, u64),
    /// Number above the first bound, up to and including the second.
    Number(f64, f64),
    /// True or false.
    Bool,
    /// IP address and port that other processes can connect to.
    Address,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// List with at least this many items of one kind.
    List(&'static Kind, usize),
    /// Mapping whose keys satisfy a rule and whose values are of one kind.
    Map(Rule, &'static Kind),
    /// Mapping with these fields.
    Fields(&'static [Field]),
    /// Value of the kind, or null.
    Optional(&'static Kind),
}

/// One field of a mapping.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Key of the field.
    pub name: &'static str,
    /// True when the field must be present.
    pub required: bool,
    /// Kind of the value.
    pub kind: Kind,
}

/// Creates a field that must be present.
pub const fn required(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: true,
        kind,
    }
}

/// Creates a field that may be left out, in which case a default holds.
pub const fn optional(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: false,
        kind,
    }
}

/// Fields of a document, and the result codes of its faults.
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
    /// Code for a key that a mapping has twice.
    pub duplicate: Code,
}

impl Schema {
    /// Parses and checks `text`, and adds its faults to `findings`.
    ///
    /// Returns none when it is not YAML.
    pub fn read(&self, text: &str, findings: &mut Findings) -> Option<Node> {
        match Node::parse(text) {
            Ok(node) => {
                let fields = self.fields;
                let mut checker = Checker {
                    schema: self,
                    findings,
                };
                checker.check_fields(Place::START, &node, "", fields);
                Some(node)
            }
            Err((place, message)) => {
                findings.add(place, "document", self.syntax, "valid YAML", message);
                None
            }
        }
    }
}

/// Checks a tree against a schema.
struct Checker<'a> {
    schema: &'a Schema,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    /// Checks a mapping with fixed fields; `place` is the location of the mapping's own key.
    fn check_fields(&mut self, place: Place, node: &Node, path: &str, fields: &[Field]) {
        let Value::Map(entries) = &node.value else {
            let name = if path.is_empty() { "document" } else { path };
            self.report_range(node, name, "a mapping");
            return;
        };
        self.check_duplicates(node, path);
        for entry in entries {
            let path = join(path, &entry.key);
            match fields.iter().find(|f| f.name == entry.key) {
                Some(field) => self.check_value(entry.place, &entry.node, &path, field.kind),
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

    /// Reports each key that occurred before in the mapping.
    fn check_duplicates(&mut self, node: &Node, path: &str) {
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

    /// Checks a value of any kind; `place` is the location of its key or item.
    fn check_value(&mut self, place: Place, node: &Node, path: &str, kind: Kind) {
        match kind {
            Kind::Fields(fields) => self.check_fields(place, node, path, fields),
            Kind::Map(rule, inner) => self.check_map(node, path, rule, *inner),
            Kind::List(inner, min_items) => self.check_list(node, path, *inner, min_items),
            Kind::Optional(inner) => {
                if !matches!(node.value, Value::Null) {
                    self.check_value(place, node, path, *inner);
                }
            }
            Kind::Text(rule) => self.check_text(node, path, rule),
            _ => {
                if !is_scalar_of(&node.value, kind) {
                    self.report_range(node, path, &describe(kind));
                }
            }
        }
    }

    fn check_text(&mut self, node: &Node, path: &str, rule: Rule) {
        let holds = node.value.scalar().is_some_and(|text| (rule.holds)(&text));
        if !holds {
            let code = rule.code.unwrap_or(self.schema.range);
            let found = node.value.describe();
            self.findings
                .add(node.place, path, code, rule.expected, found);
        }
    }

    fn check_map(&mut self, node: &Node, path: &str, rule: Rule, inner: Kind) {
        let Value::Map(entries) = &node.value else {
            self.report_range(node, path, "a mapping");
            return;
        };
        self.check_duplicates(node, path);
        for entry in entries {
            let path = join(path, &entry.key);
            if !(rule.holds)(&entry.key) {
                let code = rule.code.unwrap_or(self.schema.range);
                let found = format!("{:?}", entry.key);
                self.findings
                    .add(entry.place, &path, code, rule.expected, found);
            }
            self.check_value(entry.place, &entry.node, &path, inner);
        }
    }

    fn check_list(&mut self, node: &Node, path: &str, inner: Kind, min_items: usize) {
        let Value::List(items) = &node.value else {
            self.report_range(node, path, "a list");
            return;
        };
        if items.len() < min_items {
            let code = self.schema.range;
            let expected = format!("at least {min_items} item");
            let found = items.len().to_string();
            self.findings.add(node.place, path, code, expected, found);
        }
        for (index, item) in items.iter().enumerate() {
            self.check_value(item.place, item, &format!("{path}[{index}]"), inner);
        }
    }

    /// Reports a value that is not what `expected` describes.
    fn report_range(&mut self, node: &Node, path: &str, expected: &str) {
        let code = self.schema.range;
        let found = node.value.describe();
        self.findings.add(node.place, path, code, expected, found);
    }
}

/// Returns the path of the field `name` in the mapping at `path`.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns true when `value` is a scalar of this kind.
fn is_scalar_of(value: &Value, kind: Kind) -> bool {
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

/// Returns true for an address that other processes can connect to: no port 0 and no wildcard.
fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

fn one_of<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    format!("one of {}", names.join(", "))
}

/// Returns the description of a kind for findings.
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
