//! `chervilquay report`: prints benchmark results as a table and draws a plot.

use std::io::Read as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr as _;

use crate::report::Rows;
use crate::report::plot;
use crate::report::plot::Axes;

/// Print the result lines of `bench` as a Markdown table, and draw one column over another.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(
    subcommand,
    name = "report",
    example = "chervilquay bench capacity --format json | chervilquay report - \\\n    --svg parse.svg --x size --y micros --by slope"
)]
pub struct Args {
    /// files with result lines; '-' for standard input
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// file for a plot; needs --x and --y
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// column on the horizontal axis
    #[argh(option, default = "String::new()")]
    pub x: String,
    /// column on the vertical axis
    #[argh(option, default = "String::new()")]
    pub y: String,
    /// column that names the series, policy by default
    #[argh(option, default = "String::from(\"policy\")")]
    pub by: String,
}

/// Prints the table of all files' result lines, and writes the plot if one was asked for.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    eyre::ensure!(
        !args.files.is_empty(),
        "no file given; '-' reads standard input"
    );
    let mut text = String::new();
    for path in &args.files {
        text.push_str(&read(path)?);
        text.push('\n');
    }
    let rows = Rows::parse(&text)?;
    print!("{}", rows.markdown());
    if let Some(path) = &args.svg {
        eyre::ensure!(
            !args.x.is_empty() && !args.y.is_empty(),
            "--svg needs --x and --y"
        );
        let axes = Axes {
            x: &args.x,
            y: &args.y,
        };
        let svg = plot::svg(axes, &rows.series(&args.x, &args.y, &args.by))?;
        std::fs::write(path, svg).wrap_err_with(|| path.display().to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the text of a file, or of standard input for `-`.
fn read(path: &Path) -> eyre::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}
