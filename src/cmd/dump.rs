//! `chervilquay dump`: prints the state of one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;

use crate::cmd::fetch;
use crate::cmd::output;
use crate::cmd::output::Format;
use crate::net::rt;

/// Print the state of one process. Exits with 1 when the process does not answer or has no such
/// field.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "dump",
    example = "chervilquay dump 10.1.0.11:7101 --field tables.revision"
)]
pub struct Args {
    /// admin address of the process
    #[argh(positional)]
    pub addr: SocketAddr,
    /// path of the part to print, such as tables.revision
    #[argh(option)]
    pub field: Option<String>,
    /// json or yaml
    #[argh(option, default = "Format::Json")]
    pub format: Format,
    /// longest wait for the answer, in milliseconds
    #[argh(option, default = "2_000")]
    pub timeout_ms: u64,
}

/// Reads the state of the process and prints it, or the part that was asked for.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Json, Format::Yaml])?;
    let limit = Duration::from_millis(args.timeout_ms);
    let dump = match rt::run(1, fetch::dump(args.addr, limit)) {
        Ok(dump) => dump,
        Err(error) => {
            eprintln!("chervilquay: {error}");
            return Ok(output::exit_code(false));
        }
    };
    let Some(part) = select(&dump, args.field.as_deref()) else {
        let field = args.field.as_deref().unwrap_or_default();
        eprintln!("chervilquay: the dump has no field {field}");
        return Ok(output::exit_code(false));
    };
    output::print(&output::render(part, args.format)?)?;
    Ok(output::exit_code(true))
}

/// Returns the part of a dump at a dotted path, or the whole dump without one.
///
/// Items of a list are addressed by their index, from 0.
pub fn select<'a>(dump: &'a Value, field: Option<&str>) -> Option<&'a Value> {
    let Some(field) = field else {
        return Some(dump);
    };
    field.split('.').try_fold(dump, |value, name| match value {
        Value::Array(items) => items.get(name.parse::<usize>().ok()?),
        _ => value.get(name),
    })
}
