//! Checks of the daemons' settings, which report every fault with its location.

use serde::de::DeserializeOwned;

use crate::config::AgentSettings;
use crate::config::EntrySettings;
use crate::error::Code;
use crate::yaml::Finding;
use crate::yaml::Findings;
use crate::yaml::Node;
use crate::yaml::Schema;
use crate::yaml::schema::ANY;
use crate::yaml::schema::Field;
use crate::yaml::schema::Kind;
use crate::yaml::schema::NAME;
use crate::yaml::schema::NAME_OR_EMPTY;
use crate::yaml::schema::optional;
use crate::yaml::schema::required;
use crate::yaml::tree;

/// Largest request body, in bytes; a message between processes holds 4 MB, so larger
/// bodies could not be sent to an agent.
const MAX_BODY: u64 = 4 << 20;

/// Longest time to wait for a request head.
const MAX_HEAD_MS: u64 = 600_000;

/// Most entries among which the limits of organisations are divided.
const MAX_ENTRIES: u64 = 10_000;

/// Largest staging memory, 1 TiB.
const MAX_STAGING_MB: u64 = 1 << 20;

/// Most requests that run or wait at one upstream.
const MAX_REQUESTS: u64 = 1_000_000;

/// Most idempotency keys of calls that run at most once; each takes about 200 bytes.
const MAX_KEYS: u64 = 1 << 20;

/// Most memory for recorded answers, in MiB.
const MAX_ANSWERS_MB: u64 = 1 << 10;

/// Least memory of a process, in MB: a body of the largest size must fit its account.
const MIN_MEMORY_MB: u64 = 24;

/// Fewest open file descriptors of a process.
const MIN_FDS: u64 = 300;

/// Fields of `node`, which entries and agents share.
pub const NODE: &[Field] = &[
    required("name", Kind::Text(NAME)),
    required("zone", Kind::Text(NAME)),
    optional("region", Kind::Text(NAME_OR_EMPTY)),
    required("rpc", Kind::Address),
    required("admin", Kind::Address),
    required("platform", Kind::List(&Kind::Address, 1)),
    optional("peers", Kind::List(&Kind::Address, 0)),
    optional("log", Kind::OneOf(&["text", "json"])),
    optional("secret", Kind::Text(ANY)),
    optional("memory_mb", Kind::Integer(MIN_MEMORY_MB, MAX_STAGING_MB)),
    optional("max_fds", Kind::Integer(MIN_FDS, MAX_REQUESTS)),
];

/// Schema of the settings of an entry.
pub const ENTRY: Schema = settings(&[
    required("node", Kind::Fields(NODE)),
    required("http", Kind::Address),
    optional("max_body", Kind::Integer(1, MAX_BODY)),
    optional("head_ms", Kind::Integer(1, MAX_HEAD_MS)),
    optional("entries", Kind::Integer(1, MAX_ENTRIES)),
]);

/// Schema of the settings of an agent.
pub const AGENT: Schema = settings(&[
    required("node", Kind::Fields(NODE)),
    required("upstream", Kind::Address),
    required("origin", Kind::Address),
    optional("staging_mb", Kind::Integer(1, MAX_STAGING_MB)),
    optional("max_running", Kind::Integer(1, MAX_REQUESTS)),
    optional("max_queued", Kind::Integer(0, MAX_REQUESTS)),
    optional("max_keys", Kind::Integer(1, MAX_KEYS)),
    optional("answers_mb", Kind::Integer(1, MAX_ANSWERS_MB)),
]);

/// Returns a schema whose faults have the result codes of settings.
const fn settings(fields: &'static [Field]) -> Schema {
    Schema {
        fields,
        syntax: Code::SettingsSyntax,
        unknown: Code::SettingsField,
        missing: Code::SettingsField,
        range: Code::SettingsField,
        duplicate: Code::SettingsField,
    }
}

/// Settings of one kind of daemon.
pub trait Settings: DeserializeOwned {
    /// Schema of the settings.
    const SCHEMA: Schema;
    /// Paths of the addresses on which the process itself listens.
    const LISTEN_PATHS: &'static [&'static str];
}

impl Settings for EntrySettings {
    const SCHEMA: Schema = ENTRY;
    const LISTEN_PATHS: &'static [&'static str] = &["node.rpc", "node.admin", "http"];
}

impl Settings for AgentSettings {
    const SCHEMA: Schema = AGENT;
    const LISTEN_PATHS: &'static [&'static str] = &["node.rpc", "node.admin", "upstream"];
}

/// Parses the settings in `text`, or returns all faults; `file` names it in them.
pub fn read<T: Settings>(file: &str, text: &str) -> Result<T, Vec<Finding>> {
    let mut findings = Findings::new(file);
    if let Some(tree) = T::SCHEMA.read(text, &mut findings) {
        report_duplicates(&tree, T::LISTEN_PATHS, &mut findings);
    }
    if !findings.list.is_empty() {
        return Err(findings.sorted());
    }
    serde_saphyr::from_str(text).map_err(|e| {
        let (place, message) = tree::parse_error(&e);
        let code = Code::SettingsField;
        findings.add(place, "document", code, "valid settings", message);
        findings.list
    })
}

/// Reports an address that two of `paths` have, as the second listener could not start.
fn report_duplicates(tree: &Node, paths: &[&str], findings: &mut Findings) {
    let mut seen: Vec<(&str, String)> = Vec::new();
    for path in paths {
        let Some(node) = path.split('.').try_fold(tree, |node, name| node.get(name)) else {
            continue;
        };
        let Some(address) = node.value.scalar() else {
            continue;
        };
        if let Some((first, _)) = seen.iter().find(|(_, other)| *other == address) {
            let found = format!("the address of {first}");
            let code = Code::SettingsField;
            findings.add(node.place, path, code, "an address of its own", found);
        }
        seen.push((path, address));
    }
}
