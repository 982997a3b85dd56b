//! The operators' client.

use std::process::ExitCode;

use chervilquay::cmd;

fn main() -> eyre::Result<ExitCode> {
    cmd::run(argh::from_env())
}
