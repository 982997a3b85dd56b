//! `chervilquay trace`: collects the log lines of one request from several processes.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::WrapErr;

use crate::report::trace;

/// Lines of one request in the order of their time, and what ended it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} 9c41d07be2a35f68 front-a-1.log front-a-2.log"
)]
pub struct Args {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files of the processes
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Prints the lines, and the cause of the request's end; the exit code is 1 when no line names the request.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    let mut text = String::new();
    for path in &args.files {
        let part = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        text.push_str(&part);
        text.push('\n');
    }
    let lines = trace::lines(&text, &args.request);
    for line in &lines {
        println!("{} {} {}", line.timestamp, line.process, line.record);
    }
    println!("{}", trace::cause(&lines));
    Ok(ExitCode::from(u8::from(lines.is_empty())))
}
