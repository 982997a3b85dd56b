//! `chervilquay check`: checks settings and tables before they are used.

use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use crate::cmd::output;
use crate::cmd::output::Format;
use crate::common;
use crate::config::AgentSettings;
use crate::config::EntrySettings;
use crate::config::check as settings;
use crate::error::Code;
use crate::platform::config_check;
use crate::platform::settings as platform;
use crate::table::check as table;
use crate::yaml::Finding;
use crate::yaml::Findings;
use crate::yaml::Node;
use crate::yaml::tree::Place;

/// Check settings and tables. Exits with 0 when nothing is wrong, 1 when there are findings.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "chervilquay check routes.yaml pools.yaml",
    note = "The kind of each file is seen from its top-level fields. A routes and a pools table\ngiven together are also checked against each other."
)]
pub struct Args {
    /// files to check
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// kind of the files: entry, agent, routes, pools, machine (the settings of a
    /// prepared machine) or config (the configuration of prepared machines)
    #[argh(option)]
    pub kind: Option<Kind>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

common! { key
/// Kind of a file.
pub enum Kind {
    /// Settings of an entry.
    Entry,
    /// Settings of an agent.
    Agent,
    /// Routes table.
    Routes,
    /// Pools table.
    Pools,
    /// Settings that the platform gives to a prepared machine.
    Machine,
    /// Configuration document of prepared machines.
    Config,
}
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(word: &str) -> Result<Kind, String> {
        match word {
            "entry" => Ok(Kind::Entry),
            "agent" => Ok(Kind::Agent),
            "routes" => Ok(Kind::Routes),
            "pools" => Ok(Kind::Pools),
            "machine" => Ok(Kind::Machine),
            "config" => Ok(Kind::Config),
            _ => Err("expected entry, agent, routes, pools, machine or config".to_string()),
        }
    }
}

/// Checks the files and prints the findings; a file that cannot be read is a finding.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Json])?;
    eyre::ensure!(!args.files.is_empty(), "no file was named");
    let mut texts = Vec::new();
    let mut findings = Vec::new();
    for path in &args.files {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => texts.push((file, text)),
            Err(e) => findings.push(unreadable(&file, &e.to_string())),
        }
    }
    findings.extend(check(&texts, args.kind));
    output::print(&report(&findings, args.files.len(), args.format)?)?;
    Ok(output::exit_code(findings.is_empty()))
}

/// Returns all findings of these files, each given by its name and text.
///
/// One routes and one pools table are also checked against each other. With several of
/// a kind it is not known which belong together, so each is checked alone.
pub fn check(files: &[(String, String)], kind: Option<Kind>) -> Vec<Finding> {
    let kinds: Vec<Option<Kind>> = files
        .iter()
        .map(|(file, text)| kind.or_else(|| detect(file, text)))
        .collect();
    let only_file = |wanted| {
        let mut found = (0..files.len()).filter(|&i| kinds[i] == Some(wanted));
        let first = found.next()?;
        found.next().is_none().then_some(first)
    };
    let pair = only_file(Kind::Routes).zip(only_file(Kind::Pools));
    let mut findings = Vec::new();
    for (index, (file, text)) in files.iter().enumerate() {
        match (kinds[index], pair) {
            (Some(Kind::Routes), Some((routes, pools))) => {
                assert_eq!(routes, index, "the pair's routes table is this file");
                let other = &files[pools];
                findings.extend(table::set((file, text), (&other.0, &other.1)));
            }
            (Some(Kind::Pools), Some(_)) => {}
            (kind, _) => findings.extend(check_alone(file, text, kind)),
        }
    }
    findings
}

/// Returns the findings of one file, without a check against other files.
fn check_alone(file: &str, text: &str, kind: Option<Kind>) -> Vec<Finding> {
    match kind {
        Some(Kind::Entry) => settings::read::<EntrySettings>(file, text)
            .err()
            .unwrap_or_default(),
        Some(Kind::Agent) => settings::read::<AgentSettings>(file, text)
            .err()
            .unwrap_or_default(),
        Some(Kind::Routes) => table::routes(file, text),
        Some(Kind::Pools) => table::pools(file, text),
        Some(Kind::Machine) => check_machine(file, text),
        Some(Kind::Config) => config_check::check(file, text),
        None => report_unknown(file, text),
    }
}

/// Detects the kind of a file from its top-level fields, else from its name.
fn detect(file: &str, text: &str) -> Option<Kind> {
    if text.lines().any(|line| line.starts_with("node_name=")) {
        return Some(Kind::Machine);
    }
    if config_check::is_config(text) {
        return Some(Kind::Config);
    }
    let by_field = [
        ("routes", Kind::Routes),
        ("pools", Kind::Pools),
        ("http", Kind::Entry),
        ("upstream", Kind::Agent),
        ("origin", Kind::Agent),
    ];
    if let Ok(tree) = Node::parse(text) {
        let found = by_field.iter().find(|(name, _)| tree.get(name).is_some());
        if let Some((_, kind)) = found {
            return Some(*kind);
        }
    }
    let by_name = [
        ("routes", Kind::Routes),
        ("pools", Kind::Pools),
        ("entry", Kind::Entry),
        ("agent", Kind::Agent),
    ];
    let name = file.rsplit('/').next().unwrap_or(file);
    let found = by_name.iter().find(|(word, _)| name.contains(word));
    found.map(|(_, kind)| *kind)
}

/// Returns the findings of the settings of a prepared machine.
fn check_machine(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Findings::new(file);
    for fault in platform::faults(text) {
        let place = Place {
            line: fault.line,
            ..Place::START
        };
        let code = Code::SettingsField;
        findings.add(place, &fault.field, code, fault.expected, fault.found);
    }
    findings.list
}

/// Returns the finding of a file whose kind cannot be detected, or that is not YAML.
fn report_unknown(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Findings::new(file);
    match Node::parse(text) {
        Ok(node) => {
            let expected = "a routes or pools table, or settings of entry or agent";
            let found = node.value.describe();
            let code = Code::SettingsField;
            findings.add(node.place, "document", code, expected, found);
        }
        Err((place, message)) => {
            let code = Code::SettingsSyntax;
            findings.add(place, "document", code, "valid YAML", message);
        }
    }
    findings.list
}

/// Returns the finding of a file that cannot be read.
fn unreadable(file: &str, message: &str) -> Finding {
    let mut findings = Findings::new(file);
    let code = Code::SettingsRead;
    findings.add(Place::START, "document", code, "a readable file", message);
    findings.list.remove(0)
}

fn report(findings: &[Finding], files: usize, format: Format) -> eyre::Result<String> {
    if format == Format::Json {
        return output::render(&findings, format);
    }
    let mut text = String::new();
    for finding in findings {
        text.push_str(&format!("{finding}\n"));
    }
    text.push_str(&format!("{} findings in {files} files\n", findings.len()));
    Ok(text)
}
