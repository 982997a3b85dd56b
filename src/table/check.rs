//! Checks of the two tables, which find every fault with its location.
//!
//! [`TableSet::parse`](crate::table::TableSet::parse) accepts a set only when these
//! checks find nothing. Operators can run them before they publish a set, and see
//! exactly what the processes would refuse.

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

/// Longest deadline of a route, one hour; callers should split longer work.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Longest drain time of a pool, one day.
const MAX_DRAIN_S: u64 = 86_400;

/// Largest weight of an organisation in fair sharing.
const MAX_SHARE: u64 = 10_000;

/// Highest request rate of one organisation, per second: 40 times the design
/// peak of 24,000/s.
const MAX_REQUESTS_S: f64 = 1_000_000.0;

/// Largest value of `max_out` and `min_serving`, in upstreams.
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

const REVISION: Field = required("revision", Kind::Integer(1, u64::MAX));

/// Fields of a route; the same as those of [`doc::Route`].
pub const ROUTE: &[Field] = &[
    required("path", Kind::Text(PATH)),
    optional("methods", Kind::List(&Kind::Text(METHOD), 0)),
    optional("headers", Kind::Map(HEADER, &Kind::Text(ANY))),
    optional("organisations", Kind::List(&Kind::Text(NAME), 0)),
    required("pool", Kind::Text(NAME)),
    optional("class", Kind::OneOf(&["short", "long", "auto"])),
    optional("repeat", Kind::OneOf(&["safe", "never"])),
    optional("deadline_ms", Kind::Integer(1, MAX_DEADLINE_MS)),
];

/// Fields of an organisation; the same as those of [`doc::Organisation`].
pub const ORGANISATION: &[Field] = &[
    optional("share", Kind::Integer(1, MAX_SHARE)),
    optional(
        "requests_s",
        Kind::Optional(&Kind::Number(0.0, MAX_REQUESTS_S)),
    ),
];

/// Fields of an upstream; the same as those of [`doc::Upstream`].
pub const UPSTREAM: &[Field] = &[
    required("rpc", Kind::Address),
    required("zone", Kind::Text(NAME)),
    optional("region", Kind::Text(NAME_OR_EMPTY)),
    optional("drain", Kind::Bool),
];

/// Fields of a pool; the same as those of [`doc::Pool`].
pub const POOL: &[Field] = &[
    optional("kind", Kind::OneOf(&["engine", "service"])),
    optional("model", Kind::Text(NAME_OR_EMPTY)),
    optional("digest", Kind::Text(DIGEST)),
    required("upstreams", Kind::Map(NAME, &Kind::Fields(UPSTREAM))),
    optional("max_out", Kind::Integer(1, MAX_UPSTREAMS)),
    optional("min_serving", Kind::Integer(0, MAX_UPSTREAMS)),
    optional("drain_s", Kind::Integer(0, MAX_DRAIN_S)),
];

/// Schema of the routes table.
pub const ROUTES: Schema = table(&[
    REVISION,
    required("routes", Kind::Map(NAME, &Kind::Fields(ROUTE))),
    optional(
        "organisations",
        Kind::Map(NAME, &Kind::Fields(ORGANISATION)),
    ),
]);

/// Schema of the pools table.
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

/// Checks a routes document on its own and returns its faults in order of location.
pub fn routes(file: &str, text: &str) -> Vec<Finding> {
    parse_routes(file, text).findings
}

/// Checks a pools document on its own and returns its faults in order of location.
pub fn pools(file: &str, text: &str) -> Vec<Finding> {
    parse_pools(file, text).findings
}

/// Result of reading one document. `doc` is set only if there are no findings.
struct Checked<T> {
    findings: Vec<Finding>,
    tree: Option<Node>,
    doc: Option<T>,
}

/// Checks a routes and a pools document, each on its own and against each other.
///
/// Each argument is a file name and its text.
pub fn set(routes: (&str, &str), pools: (&str, &str)) -> Vec<Finding> {
    match parse_set(routes, pools) {
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Parses a routes and a pools document. Returns all faults if there are any.
///
/// Each argument is a file name and its text.
pub fn parse_set(
    routes: (&str, &str),
    pools: (&str, &str),
) -> std::result::Result<(RoutesDoc, PoolsDoc), Vec<Finding>> {
    let checked_routes = parse_routes(routes.0, routes.1);
    let checked_pools = parse_pools(pools.0, pools.1);
    let mut findings = checked_routes.findings;
    findings.extend(checked_pools.findings);
    if let (Some(routes_tree), Some(pools_tree)) = (&checked_routes.tree, &checked_pools.tree) {
        findings.extend(check_pair(routes.0, routes_tree, pools.0, pools_tree));
    }
    match (checked_routes.doc, checked_pools.doc) {
        (Some(routes), Some(pools)) if findings.is_empty() => Ok((routes, pools)),
        _ => {
            assert!(!findings.is_empty(), "a refused set has a finding");
            Err(findings)
        }
    }
}

fn parse_routes(file: &str, text: &str) -> Checked<RoutesDoc> {
    parse_checked(file, text, ROUTES, doc::parse_routes, check_routes)
}

fn parse_pools(file: &str, text: &str) -> Checked<PoolsDoc> {
    parse_checked(file, text, POOLS, doc::parse_pools, check_pools)
}

/// Checks the document against its schema and rules, then parses it with serde.
///
/// An error of serde that the schema does not cover becomes a finding at the
/// start of the document.
fn parse_checked<T>(
    file: &str,
    text: &str,
    schema: Schema,
    parse: fn(&str) -> Result<T>,
    rules: fn(&Node, &mut Findings),
) -> Checked<T> {
    let mut findings = Findings::new(file);
    if text.len() > doc::MAX_VALUE_BYTES {
        let expected = format!("at most {} bytes", doc::MAX_VALUE_BYTES);
        let found = text.len().to_string();
        let code = Code::TableTooLarge;
        findings.add(Place::START, "document", code, expected, found);
        return Checked {
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
    Checked {
        findings: findings.sorted(),
        tree,
        doc,
    }
}

/// Checks that no two routes match the same requests.
fn check_routes(tree: &Node, findings: &mut Findings) {
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

/// Returns a text of what a route matches, which is equal for equal patterns.
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

/// Returns the texts of a list of scalars; empty for any other node.
fn scalars(node: Option<&Node>) -> Vec<String> {
    match node.map(|n| &n.value) {
        Some(crate::yaml::Value::List(items)) => {
            items.iter().filter_map(|i| i.value.scalar()).collect()
        }
        _ => Vec::new(),
    }
}

/// Checks the rules of each pool, and that upstreams are unique among all pools.
fn check_pools(tree: &Node, findings: &mut Findings) {
    let mut names = IndexMap::new();
    let mut addresses = IndexMap::new();
    for pool in pools_of(tree) {
        let path = format!("pools.{}", pool.key);
        if pool.node.text("kind") != "service" {
            check_engine(pool, &path, findings);
        }
        check_serving(pool, &path, findings);
        for upstream in upstreams_of(pool) {
            let path = format!("{path}.upstreams.{}", upstream.key);
            check_unique(upstream, &path, &mut names, &mut addresses, findings);
        }
    }
}

fn upstreams_of(pool: &Entry) -> &[Entry] {
    pool.node.get("upstreams").map_or(&[], Node::entries)
}

/// Checks that a pool of engines names a model and the digest of its manifest.
fn check_engine(pool: &Entry, path: &str, findings: &mut Findings) {
    for field in ["model", "digest"] {
        let present = pool.node.entry(field);
        let is_empty = present.is_none_or(|e| e.node.value.scalar().is_none_or(|t| t.is_empty()));
        if is_empty {
            let place = present.map_or(pool.place, |e| e.node.place);
            let expected = format!("the {field} of a pool of engines");
            let path = format!("{path}.{field}");
            let code = Code::FieldMissing;
            findings.add(place, &path, code, expected, "nothing");
        }
    }
}

/// Checks that `min_serving` is less than the number of upstreams, since a
/// rollout takes at least one of them out of service.
fn check_serving(pool: &Entry, path: &str, findings: &mut Findings) {
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

/// Checks that names and addresses of upstreams are unique: an agent finds its
/// pool by its own name, and two upstreams at one address would be one process.
fn check_unique<'a>(
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

/// Finds the faults of a pair of tables: unequal revisions, and routes whose
/// pool does not exist.
fn check_pair(routes_file: &str, routes: &Node, pools_file: &str, pools: &Node) -> Vec<Finding> {
    let (routes_revision, pools_revision) = (routes.text("revision"), pools.text("revision"));
    if routes_revision != pools_revision {
        let mut findings = Findings::new(pools_file);
        let place = pools.get("revision").map_or(Place::START, |n| n.place);
        let expected = format!("revision {routes_revision:?} as in {routes_file}");
        let found = format!("{pools_revision:?}");
        findings.add(place, "revision", Code::SetIncomplete, expected, found);
        // Only one of the two tables has been published so far, so their names
        // are not compared.
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
