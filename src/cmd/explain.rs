//! `chervilquay explain`: shows which route and upstreams a request gets, and why.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr as _;

use crate::cmd::explain_config;
use crate::cmd::output;
use crate::cmd::output::Format;
use crate::platform::config;
use crate::platform::settings;
use crate::table::TableSet;
use crate::table::check;
use crate::table::doc::Upstream;
use crate::table::matcher;
use crate::table::matcher::Query;

/// Explain which route, pool and upstreams a request gets. Exits with 1 when no route matches or no
/// upstream can take the request.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "explain",
    example = "chervilquay explain --routes routes.yaml --pools pools.yaml --method POST \\\n    --header 'x-work: session-plan' --organisation harbour-club /v1/completions"
)]
pub struct Args {
    /// path of the request, a query string is left out
    #[argh(positional)]
    pub path: String,
    /// routes table
    #[argh(option)]
    pub routes: Option<PathBuf>,
    /// pools table
    #[argh(option)]
    pub pools: Option<PathBuf>,
    /// configuration document of prepared machines, in place of the tables
    #[argh(option)]
    pub config: Option<PathBuf>,
    /// settings of a prepared machine, which name the regions of the zones
    #[argh(option)]
    pub machine: Option<PathBuf>,
    /// host of the request, with a configuration document
    #[argh(option, default = "String::new()")]
    pub host: String,
    /// HTTP method, GET by default
    #[argh(option, default = "String::from(\"GET\")")]
    pub method: String,
    /// header of the request as 'name: value'; may be repeated
    #[argh(option)]
    pub header: Vec<String>,
    /// organisation of the caller
    #[argh(option, default = "String::new()")]
    pub organisation: String,
    /// zone of the entry; upstreams of this zone come first
    #[argh(option, default = "String::new()")]
    pub zone: String,
    /// text, json or yaml
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Route, pool and upstreams that a request gets under some tables.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Explanation {
    /// Revision of the tables.
    pub revision: u64,
    /// Name of the route that the request gets; none when no route matches.
    pub route: Option<String>,
    /// Name of the route's pool.
    pub pool: Option<String>,
    /// Model and digest of the pool; none for a pool without a model version.
    pub version: Option<String>,
    /// Class, repetition and deadline of the route, and limits of the organisation.
    pub terms: Vec<String>,
    /// Routes that the request does not get.
    pub other_routes: Vec<Refusal>,
    /// Upstreams that may get the request, those of the entry's zone first.
    pub candidates: Vec<Candidate>,
    /// Upstreams of the pool that may not get it.
    pub refused: Vec<Refusal>,
}

/// An upstream that may get the request.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Candidate {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// RPC address of its agent.
    pub rpc: String,
}

/// A route or upstream that the request does not get.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Refusal {
    /// Name.
    pub name: String,
    /// Why the request does not get it.
    pub reason: String,
}

/// Reads the tables and prints the explanation; findings of the tables are an error.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Json, Format::Yaml])?;
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
    };
    if let Some(path) = &args.config {
        return run_config(args, &read(path)?);
    }
    let paths = args.routes.as_ref().zip(args.pools.as_ref());
    let (routes_path, pools_path) =
        paths.ok_or_else(|| eyre::eyre!("name --routes and --pools, or --config"))?;
    let (routes, pools) = (read(routes_path)?, read(pools_path)?);
    let Ok(set) = TableSet::parse(&routes, &pools) else {
        let names = (
            routes_path.display().to_string(),
            pools_path.display().to_string(),
        );
        let findings = check::set((&names.0, &routes), (&names.1, &pools));
        for finding in &findings {
            eprintln!("{finding}");
        }
        eyre::bail!("the tables would be refused");
    };
    let headers = headers(&args.header)?;
    let request = Request {
        method: &args.method,
        path: args.path.split('?').next().unwrap_or_default(),
        headers: &headers,
        organisation: &args.organisation,
        zone: &args.zone,
    };
    let explanation = explain(&set, request);
    let text = match args.format {
        Format::Text => plain(&explanation),
        format => output::render(&explanation, format)?,
    };
    output::print(&text)?;
    Ok(output::exit_code(!explanation.candidates.is_empty()))
}

/// Prints the explanation of a request by a configuration document.
fn run_config(args: &Args, text: &str) -> eyre::Result<ExitCode> {
    let routing = config::decode(text.as_bytes()).map_err(|e| eyre::eyre!("{e}"))?;
    let machine = args.machine.as_deref().map(settings::load);
    let machine = machine.transpose().map_err(|e| eyre::eyre!("{e}"))?;
    let zones = machine.map_or_else(indexmap::IndexMap::new, |m| m.zones);
    let (host, organisation) = (&args.host, &args.organisation);
    let path = args.path.split('?').next().unwrap_or_default();
    let found = explain_config::explain(&routing, host, path, organisation, &zones);
    let text = match args.format {
        Format::Text => explain_config::plain(&found),
        format => output::render(&found, format)?,
    };
    output::print(&text)?;
    Ok(output::exit_code(found.servable))
}

/// Splits lines such as `name: value`, with the names in lower case.
fn headers(lines: &[String]) -> eyre::Result<Vec<(String, String)>> {
    let split = |line: &String| {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| eyre::eyre!("header {line:?} is not 'name: value'"))?;
        Ok((name.trim().to_ascii_lowercase(), value.trim().to_string()))
    };
    lines.iter().map(split).collect()
}

/// The parts of a request that decide which route and upstreams it gets.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// Headers, names in lower case.
    pub headers: &'a [(String, String)],
    /// Organisation; empty when none is named.
    pub organisation: &'a str,
    /// Zone of the entry; empty when none is named.
    pub zone: &'a str,
}

/// Explains which route and upstreams a request gets under the tables in `set`.
pub fn explain(set: &TableSet, request: Request<'_>) -> Explanation {
    let query = Query {
        method: request.method,
        path: request.path,
        organisation: request.organisation,
    };
    let header = |name: &str| {
        let name = name.to_ascii_lowercase();
        let found = request.headers.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value.clone())
    };
    let mut explanation = Explanation {
        revision: set.stamp.revision,
        route: None,
        pool: None,
        version: None,
        terms: Vec::new(),
        other_routes: Vec::new(),
        candidates: Vec::new(),
        refused: Vec::new(),
    };
    let matched = matcher::find(&set.routes, query, header).map(|(name, _)| name);
    for (name, route) in &set.routes.routes {
        if Some(name.as_str()) == matched {
            continue;
        }
        let reason = match matcher::mismatch(route, query, header) {
            Some(part) => format!("its {part} does not match"),
            None => format!("matches, but {} is more specific", matched.unwrap_or("-")),
        };
        explanation.other_routes.push(Refusal {
            name: name.clone(),
            reason,
        });
    }
    if let Some(name) = matched {
        add_route(set, name, request, &mut explanation);
    }
    explanation
}

/// Adds the pool, the terms and the upstreams of the route `name` to the explanation.
fn add_route(set: &TableSet, name: &str, request: Request<'_>, explanation: &mut Explanation) {
    let route = &set.routes.routes[name];
    let pool = &set.pools.pools[&route.pool];
    explanation.route = Some(name.to_string());
    explanation.pool = Some(route.pool.clone());
    if !pool.digest.is_empty() {
        explanation.version = Some(format!("{} {}", pool.model, pool.digest));
    }
    explanation
        .terms
        .push(format!("class {}", route.class.as_str()));
    let repeat = format!("{:?}", route.repeat).to_lowercase();
    explanation.terms.push(format!("repeat {repeat}"));
    explanation
        .terms
        .push(format!("deadline {} ms", route.deadline_ms));
    if let Some(limits) = set.routes.organisations.get(request.organisation) {
        explanation.terms.push(format!("share {}", limits.share));
        if let Some(rate) = limits.requests_s {
            explanation.terms.push(format!("at most {rate} requests/s"));
        }
    }
    for (name, upstream) in &pool.upstreams {
        match refusal(upstream) {
            Some(reason) => explanation.refused.push(Refusal {
                name: name.clone(),
                reason: reason.to_string(),
            }),
            None => explanation.candidates.push(Candidate {
                name: name.clone(),
                zone: upstream.zone.clone(),
                rpc: upstream.rpc.to_string(),
            }),
        }
    }
    // The sort is stable, so upstreams of one zone keep the table's order.
    let zone = request.zone;
    explanation
        .candidates
        .sort_by_key(|candidate| candidate.zone != zone);
}

/// Returns why the tables keep new requests from an upstream, or none if they do not.
fn refusal(upstream: &Upstream) -> Option<&'static str> {
    upstream.drain.then_some("the table says drain")
}

/// Returns the explanation as text for people.
fn plain(explanation: &Explanation) -> String {
    let mut lines = vec![format!("revision {}", explanation.revision)];
    match (&explanation.route, &explanation.pool) {
        (Some(route), Some(pool)) => {
            lines.push(format!("route {route} ({})", explanation.terms.join(", ")));
            lines.push(format!("pool {pool}"));
        }
        _ => lines.push("no route matches (E4001)".to_string()),
    }
    if let Some(version) = &explanation.version {
        lines.push(format!("version {version}"));
    }
    for candidate in &explanation.candidates {
        lines.push(format!(
            "  candidate {} at {} in {}",
            candidate.name, candidate.rpc, candidate.zone
        ));
    }
    if explanation.route.is_some() && explanation.candidates.is_empty() {
        lines.push("  no candidate (E4006)".to_string());
    }
    for refusal in &explanation.refused {
        lines.push(format!("  refused {}: {}", refusal.name, refusal.reason));
    }
    if !explanation.other_routes.is_empty() {
        lines.push("other routes".to_string());
    }
    for refusal in &explanation.other_routes {
        lines.push(format!("  {}: {}", refusal.name, refusal.reason));
    }
    lines.join("\n") + "\n"
}
