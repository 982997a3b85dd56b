//! Checks of the two tables: every fault with its location.
//!
//! [`TableSet::parse`](crate::table::TableSet::parse) accepts a set only when these
//! checks find nothing, so that operators see before publication exactly what
//! the processes refuse.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::error::Code;
use crate::error::Result;
use crate::table::doc;
use crate::table::doc::PoolsDoc;
use crate::table::doc::RoutesDoc;
use crate::util;
use crate::yaml::Finding;
use crate::yaml::Findings;
use crate::yaml::Node;
use crate::yaml::Schema;
use crate::yaml::schema::ANY;
use crate::yaml::schema::Field;
use crate::yaml::schema::Kind;
use crate::yaml::schema::NAME;
use crate::yaml::schema::NAME_OR_EMPTY;
use crate::yaml::schema::Rule;
use crate::yaml::schema::optional;
use crate::yaml::schema::required;
use crate::yaml::tree::Entry;
use crate::yaml::tree::Place;

/// Longest deadline of a route; longer work is better split by its caller.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Longest drain of a pool, one day.
const MAX_DRAIN_S: u64 = 86_400;

/// Largest weight of an organisation's fair share.
const MAX_SHARE: u64 = 10_000;

/// Highest rate of one organisation; 40 times the design peak of 24,000/s.
const MAX_REQUESTS_S: f64 = 1_000_000.0;

/// Most upstreams that may be out of service or must serve.
const MAX_UPSTREAMS: u64 = 100_000;

const PATH: Rule = Rule::new(
    "a path that begins with '/', without space, '?' or '#'",
    |text| text.starts_with('/') && !text.contains([' ', '\t', '?', '#']),
);

const METHOD: Rule = Rule::new("an HTTP method in capitals", |text| {
    !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_uppercase())
});

const HEADER: Rule = Rule::new("a header name", |text| {
    http::HeaderName::from_bytes(text.as_bytes()).is_ok()
});

const DIGEST: Rule = Rule {
    expected: "sha256: and 64 lower-case hex digits, or nothing",
    holds: |text| text.is_empty() || util::is_digest(text),
    code: Some(Code::DigestFormat),
};

const REVISION: Field = required("revision", Kind::Whole(1, u64::MAX));

/// Fields of a route.
pub const ROUTE: &[Field] = &[
    required("path", Kind::Text(PATH)),
    optional("methods", Kind::List(&Kind::Text(METHOD), 0)),
    optional("headers", Kind::Map(HEADER, &Kind::Text(ANY))),
    optional("organisations", Kind::List(&Kind::Text(NAME), 0)),
    required("pool", Kind::Text(NAME)),
    optional("class", Kind::Word(&["short", "long", "auto"])),
    optional("repeat", Kind::Word(&["safe", "never"])),
    optional("deadline_ms", Kind::Whole(1, MAX_DEADLINE_MS)),
];

/// Fields of an organisation.
pub const ORGANISATION: &[Field] = &[
    optional("share", Kind::Whole(1, MAX_SHARE)),
    optional(
        "requests_s",
        Kind::Optional(&Kind::Number(0.0, MAX_REQUESTS_S)),
    ),
];

/// Fields of an upstream.
pub const UPSTREAM: &[Field] = &[
    required("rpc", Kind::Address),
    required("zone", Kind::Text(NAME)),
    optional("region", Kind::Text(NAME_OR_EMPTY)),
    optional("drain", Kind::Bool),
];

/// Fields of a pool.
pub const POOL: &[Field] = &[
    optional("kind", Kind::Word(&["engine", "service"])),
    optional("model", Kind::Text(NAME_OR_EMPTY)),
    optional("digest", Kind::Text(DIGEST)),
    required("upstreams", Kind::Map(NAME, &Kind::Fields(UPSTREAM))),
    optional("max_out", Kind::Whole(1, MAX_UPSTREAMS)),
    optional("min_serving", Kind::Whole(0, MAX_UPSTREAMS)),
    optional("drain_s", Kind::Whole(0, MAX_DRAIN_S)),
];

/// The routes table.
pub const ROUTES: Schema = table(&[
    REVISION,
    required("routes", Kind::Map(NAME, &Kind::Fields(ROUTE))),
    optional(
        "organisations",
        Kind::Map(NAME, &Kind::Fields(ORGANISATION)),
    ),
]);

/// The pools table.
pub const POOLS: Schema = table(&[
    REVISION,
    required("pools", Kind::Map(NAME, &Kind::Fields(POOL))),
]);

const fn table(fields: &'static [Field]) -> Schema {
    Schema {
        fields,
        syntax: Code::TableSyntax,
        unknown: Code::FieldUnknown,
        missing: Code::FieldMissing,
        range: Code::FieldRange,
        duplicate: Code::NameDuplicate,
    }
}

/// Checks one routes document on its own.
pub fn routes(file: &str, text: &str) -> Vec<Finding> {
    read_routes(file, text).findings
}

/// Checks one pools document on its own.
pub fn pools(file: &str, text: &str) -> Vec<Finding> {
    read_pools(file, text).findings
}

/// A document that was read, with its faults.
struct Read<T> {
    findings: Vec<Finding>,
    tree: Option<Node>,
    doc: Option<T>,
}

/// Checks a pair of documents, also against each other.
pub fn set(routes: (&str, &str), pools: (&str, &str)) -> Vec<Finding> {
    match read_set(routes, pools) {
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Both documents when a pair has no fault, else all faults.
///
/// Each argument is a file name and its text.
pub fn read_set(
    routes: (&str, &str),
    pools: (&str, &str),
) -> std::result::Result<(RoutesDoc, PoolsDoc), Vec<Finding>> {
    let routes_read = read_routes(routes.0, routes.1);
    let pools_read = read_pools(pools.0, pools.1);
    let mut findings = routes_read.findings;
    findings.extend(pools_read.findings);
    if let (Some(left), Some(right)) = (&routes_read.tree, &pools_read.tree) {
        findings.extend(join(routes.0, left, pools.0, right));
    }
    match (routes_read.doc, pools_read.doc) {
        (Some(routes), Some(pools)) if findings.is_empty() => Ok((routes, pools)),
        _ => {
            assert!(!findings.is_empty(), "a refused set has a finding");
            Err(findings)
        }
    }
}

fn read_routes(file: &str, text: &str) -> Read<RoutesDoc> {
    read(file, text, ROUTES, doc::parse_routes, route_rules)
}

fn read_pools(file: &str, text: &str) -> Read<PoolsDoc> {
    read(file, text, POOLS, doc::parse_pools, pool_rules)
}

/// Walks the document along its schema, then lets serde read it.
///
/// Serde's verdict counts too: a fault that the schema does not know of is
/// still a finding, without a location.
fn read<T>(
    file: &str,
    text: &str,
    schema: Schema,
    parse: fn(&str) -> Result<T>,
    rules: fn(&Node, &mut Findings),
) -> Read<T> {
    let mut findings = Findings::new(file);
    if text.len() > doc::MAX_VALUE_BYTES {
        let expected = format!("at most {} bytes", doc::MAX_VALUE_BYTES);
        let found = text.len().to_string();
        let code = Code::TableTooLarge;
        findings.add(Place::START, "document", code, expected, found);
        return Read {
            findings: findings.list,
            tree: None,
            doc: None,
        };
    }
    let tree = schema.read(text, &mut findings);
    if let Some(node) = &tree {
        rules(node, &mut findings);
    }
    let mut doc = None;
    if findings.list.is_empty() {
        match parse(text) {
            Ok(parsed) => doc = Some(parsed),
            Err(e) => findings.add(Place::START, "document", e.code, "a valid table", e.detail),
        }
    }
    Read {
        findings: findings.sorted(),
        tree,
        doc,
    }
}

fn route_rules(tree: &Node, findings: &mut Findings) {
    let mut seen: IndexMap<String, &str> = IndexMap::new();
    for entry in routes_of(tree) {
        let pattern = pattern(&entry.node);
        let Some(first) = seen.get(&pattern) else {
            seen.insert(pattern, &entry.key);
            continue;
        };
        let field = format!("routes.{}", entry.key);
        let expected = "a pattern that no earlier route has";
        let found = format!("the pattern of routes.{first}");
        findings.add(entry.place, &field, Code::FieldRange, expected, found);
    }
}

fn routes_of(tree: &Node) -> &[Entry] {
    tree.get("routes").map_or(&[], Node::entries)
}

fn pools_of(tree: &Node) -> &[Entry] {
    tree.get("pools").map_or(&[], Node::entries)
}

/// What a route matches, in a form that is equal for equal patterns.
fn pattern(route: &Node) -> String {
    let list = |name: &str| {
        let mut items = scalars(route.get(name));
        items.sort();
        items
    };
    let mut headers: Vec<(String, Option<String>)> = route
        .get("headers")
        .map_or(&[][..], Node::entries)
        .iter()
        .map(|e| (e.key.to_ascii_lowercase(), e.node.value.scalar()))
        .collect();
    headers.sort();
    let path = route.text("path");
    format!(
        "{path:?} {:?} {:?} {headers:?}",
        list("methods"),
        list("organisations")
    )
}

fn scalars(node: Option<&Node>) -> Vec<String> {
    match node.map(|n| &n.value) {
        Some(crate::yaml::Value::List(items)) => {
            items.iter().filter_map(|i| i.value.scalar()).collect()
        }
        _ => Vec::new(),
    }
}

fn pool_rules(tree: &Node, findings: &mut Findings) {
    let mut names = IndexMap::new();
    let mut addresses = IndexMap::new();
    for pool in pools_of(tree) {
        let path = format!("pools.{}", pool.key);
        if pool.node.text("kind") != "service" {
            engine_rules(pool, &path, findings);
        }
        serving_rule(pool, &path, findings);
        for upstream in upstreams_of(pool) {
            let path = format!("{path}.upstreams.{}", upstream.key);
            unique(upstream, &path, &mut names, &mut addresses, findings);
        }
    }
}

fn upstreams_of(pool: &Entry) -> &[Entry] {
    pool.node.get("upstreams").map_or(&[], Node::entries)
}

/// Pools of engines name a model and the digest of its manifest.
fn engine_rules(pool: &Entry, path: &str, findings: &mut Findings) {
    for field in ["model", "digest"] {
        let held = pool.node.entry(field);
        let is_empty = held.is_none_or(|e| e.node.value.scalar().is_none_or(|t| t.is_empty()));
        if is_empty {
            let place = held.map_or(pool.place, |e| e.node.place);
            let expected = format!("the {field} of a pool of engines");
            let path = format!("{path}.{field}");
            let code = Code::FieldMissing;
            findings.add(place, &path, code, expected, "nothing");
        }
    }
}

/// A rollout takes one upstream out at least, so fewer than all must be enough.
fn serving_rule(pool: &Entry, path: &str, findings: &mut Findings) {
    let Some(node) = pool.node.get("min_serving") else {
        return;
    };
    let count = upstreams_of(pool).len();
    let least = pool.node.text("min_serving").parse().unwrap_or(0_usize);
    if least > 0 && least >= count {
        let field = format!("{path}.min_serving");
        let expected = format!("fewer than the pool's {count} upstreams");
        let found = least.to_string();
        findings.add(node.place, &field, Code::FieldRange, expected, found);
    }
}

/// An upstream stands in one pool only, since its agent finds its pool by
/// name, and two upstreams behind one address would be one process.
fn unique<'a>(
    upstream: &'a Entry,
    path: &str,
    names: &mut IndexMap<&'a str, String>,
    addresses: &mut IndexMap<String, String>,
    findings: &mut Findings,
) {
    let code = Code::NameDuplicate;
    if let Some(first) = names.get(upstream.key.as_str()) {
        // A second time in the same pool is a duplicate key, which the schema reports.
        if first != path {
            let expected = "an upstream in one pool only";
            let found = format!("the name of {first}");
            findings.add(upstream.place, path, code, expected, found);
        }
    } else {
        names.insert(&upstream.key, path.to_string());
    }
    let Some(node) = upstream.node.get("rpc") else {
        return;
    };
    let address = upstream.node.text("rpc");
    if let Some(first) = addresses.get(&address) {
        let expected = "an address that no other upstream has";
        let found = format!("the address of {first}");
        findings.add(node.place, &format!("{path}.rpc"), code, expected, found);
    } else if !address.is_empty() {
        addresses.insert(address, path.to_string());
    }
}

/// Faults of the pair: unequal revisions, or routes to pools that are not there.
fn join(routes_file: &str, routes: &Node, pools_file: &str, pools: &Node) -> Vec<Finding> {
    let (left, right) = (routes.text("revision"), pools.text("revision"));
    if left != right {
        let mut findings = Findings::new(pools_file);
        let place = pools.get("revision").map_or(Place::START, |n| n.place);
        let expected = format!("revision {left:?} as in {routes_file}");
        let found = format!("{right:?}");
        findings.add(place, "revision", Code::SetIncomplete, expected, found);
        // A half-published pair is not joined: the other half is still to come.
        return findings.list;
    }
    let known: IndexSet<&str> = pools_of(pools).iter().map(|p| p.key.as_str()).collect();
    let mut findings = Findings::new(routes_file);
    for route in routes_of(routes) {
        let Some(node) = route.node.get("pool") else {
            continue;
        };
        let pool = route.node.text("pool");
        if !known.contains(pool.as_str()) {
            let field = format!("routes.{}.pool", route.key);
            let expected = format!("a pool of {pools_file}");
            let found = format!("{pool:?}");
            findings.add(node.place, &field, Code::JoinMissing, expected, found);
        }
    }
    findings.sorted()
}
