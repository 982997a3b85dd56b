//! `chervilquay scenario`: runs scripted scenarios on simulated processes.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr as _;

use crate::cmd::output;
use crate::cmd::output::Format;
use crate::scenario;
use crate::scenario::Report;

/// Run scripted scenarios. Exits with 1 when an expectation or an invariant does not hold.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "scenario",
    example = "chervilquay scenario scenarios/*.yaml"
)]
pub struct Args {
    /// scenario files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// seed of random choices, instead of the one in the files
    #[argh(option)]
    pub seed: Option<u64>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Runs the files in turn; the exit code is 1 when one of them failed.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    output::check_format(args.format, &[Format::Text, Format::Json])?;
    eyre::ensure!(!args.files.is_empty(), "no file was named");
    let mut reports = Vec::new();
    for path in &args.files {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).wrap_err(format!("cannot read {file}"))?;
        let mut parsed = scenario::parse(&file, &text)?;
        parsed.seed = args.seed.unwrap_or(parsed.seed);
        reports.push(scenario::run(&parsed)?);
    }
    let text = match args.format {
        Format::Text => plain(&reports),
        format => output::render(&reports, format)?,
    };
    output::print(&text)?;
    let is_ok = reports.iter().all(|report| report.failures.is_empty());
    Ok(output::exit_code(is_ok))
}

/// Returns the reports as text for people.
fn plain(reports: &[Report]) -> String {
    let mut text = String::new();
    for report in reports {
        let word = if report.failures.is_empty() {
            "ok  "
        } else {
            "FAIL"
        };
        let (name, checked) = (&report.name, report.checked);
        text.push_str(&format!("{word} {name} ({checked} checks)\n"));
        for failure in &report.failures {
            text.push_str(&format!("     {failure}\n"));
        }
    }
    text
}
