//! `chervilquay explain`: which route and upstreams a request gets, and why.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr as _;

use crate::cmd::output;
use crate::cmd::output::Format;
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
    pub routes: PathBuf,
    /// pools table
    #[argh(option)]
    pub pools: PathBuf,
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

/// What becomes of a request.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Explanation {
    /// Revision of the tables.
    pub revision: u64,
    /// Route that the request gets.
    pub route: Option<String>,
    /// Pool of the route.
    pub pool: Option<String>,
    /// Model and digest of the pool.
    pub version: Option<String>,
    /// Class, repetition, deadline and limits.
    pub terms: Vec<String>,
    /// Routes that it does not get.
    pub other_routes: Vec<Refusal>,
    /// Upstreams that may take it, those of the entry's zone first.
    pub candidates: Vec<Candidate>,
    /// Upstreams that may not.
    pub refused: Vec<Refusal>,
}

/// An upstream that may take the request.
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
    /// Why not.
    pub reason: String,
}

/// Reads the tables and prints the explanation.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Json, Format::Yaml])?;
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
    };
    let (routes, pools) = (read(&args.routes)?, read(&args.pools)?);
    let Ok(set) = TableSet::parse(&routes, &pools) else {
        let names = (
            args.routes.display().to_string(),
            args.pools.display().to_string(),
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
    let found = explain(&set, request);
    let text = match args.format {
        Format::Text => plain(&found),
        format => output::render(&found, format)?,
    };
    output::print(&text)?;
    Ok(output::exit_code(!found.candidates.is_empty()))
}

fn headers(lines: &[String]) -> eyre::Result<Vec<(String, String)>> {
    let split = |line: &String| {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| eyre::eyre!("header {line:?} is not 'name: value'"))?;
        Ok((name.trim().to_ascii_lowercase(), value.trim().to_string()))
    };
    lines.iter().map(split).collect()
}

/// The parts of a request that decide where it goes.
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

/// Explains what becomes of a request under the tables in `set`.
pub fn explain(set: &TableSet, request: Request<'_>) -> Explanation {
    let query = Query {
        method: request.method,
        path: request.path,
        organisation: request.organisation,
    };
    let header = |name: &str| {
        let name = name.to_ascii_lowercase();
        let found = request.headers.iter().find(|(held, _)| *held == name);
        found.map(|(_, value)| value.clone())
    };
    let mut found = Explanation {
        revision: set.stamp.revision,
        route: None,
        pool: None,
        version: None,
        terms: Vec::new(),
        other_routes: Vec::new(),
        candidates: Vec::new(),
        refused: Vec::new(),
    };
    let winner = matcher::find(&set.routes, query, header).map(|(name, _)| name);
    for (name, route) in &set.routes.routes {
        if Some(name.as_str()) == winner {
            continue;
        }
        let reason = match matcher::mismatch(route, query, header) {
            Some(part) => format!("its {part} does not match"),
            None => format!("matches, but {} is more specific", winner.unwrap_or("-")),
        };
        found.other_routes.push(Refusal {
            name: name.clone(),
            reason,
        });
    }
    if let Some(name) = winner {
        place(set, name, request, &mut found);
    }
    found
}

/// Fills in pool, terms and upstreams of the route `name`.
fn place(set: &TableSet, name: &str, request: Request<'_>, found: &mut Explanation) {
    let route = &set.routes.routes[name];
    let pool = &set.pools.pools[&route.pool];
    found.route = Some(name.to_string());
    found.pool = Some(route.pool.clone());
    if !pool.digest.is_empty() {
        found.version = Some(format!("{} {}", pool.model, pool.digest));
    }
    found.terms.push(format!("class {}", route.class.as_str()));
    let repeat = format!("{:?}", route.repeat).to_lowercase();
    found.terms.push(format!("repeat {repeat}"));
    found
        .terms
        .push(format!("deadline {} ms", route.deadline_ms));
    if let Some(limits) = set.routes.organisations.get(request.organisation) {
        found.terms.push(format!("share {}", limits.share));
        if let Some(rate) = limits.requests_s {
            found.terms.push(format!("at most {rate} requests/s"));
        }
    }
    for (name, upstream) in &pool.upstreams {
        match refusal(upstream) {
            Some(reason) => found.refused.push(Refusal {
                name: name.clone(),
                reason: reason.to_string(),
            }),
            None => found.candidates.push(Candidate {
                name: name.clone(),
                zone: upstream.zone.clone(),
                rpc: upstream.rpc.to_string(),
            }),
        }
    }
    // The sort is stable, so upstreams of one zone keep the table's order.
    let zone = request.zone;
    found.candidates.sort_by_key(|held| held.zone != zone);
}

/// Why the tables keep an upstream from new work.
fn refusal(upstream: &Upstream) -> Option<&'static str> {
    upstream.drain.then_some("the table says drain")
}

fn plain(found: &Explanation) -> String {
    let mut lines = vec![format!("revision {}", found.revision)];
    match (&found.route, &found.pool) {
        (Some(route), Some(pool)) => {
            lines.push(format!("route {route} ({})", found.terms.join(", ")));
            lines.push(format!("pool {pool}"));
        }
        _ => lines.push("no route matches (E4001)".to_string()),
    }
    if let Some(version) = &found.version {
        lines.push(format!("version {version}"));
    }
    for held in &found.candidates {
        lines.push(format!(
            "  candidate {} at {} in {}",
            held.name, held.rpc, held.zone
        ));
    }
    if found.route.is_some() && found.candidates.is_empty() {
        lines.push("  no candidate (E4006)".to_string());
    }
    for held in &found.refused {
        lines.push(format!("  refused {}: {}", held.name, held.reason));
    }
    if !found.other_routes.is_empty() {
        lines.push("other routes".to_string());
    }
    for held in &found.other_routes {
        lines.push(format!("  {}: {}", held.name, held.reason));
    }
    lines.join("\n") + "\n"
}
