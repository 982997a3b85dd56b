//! Formats and exit codes that the commands share.

use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;

use crate::common;

/// Exit code of a command that succeeded and found no fault.
pub const EXIT_OK: u8 = 0;

/// Exit code of a command that ran and found a fault in what it examined.
pub const EXIT_FINDINGS: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of a command that could not run.
pub const EXIT_FAILED: u8 = 3;

common! { key
/// Format of a command's output.
#[derive(Default)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// Markdown table.
    Markdown,
    /// JSON, for programs.
    Json,
    /// YAML, for programs and people.
    Yaml,
}
}

impl FromStr for Format {
    type Err = String;

    fn from_str(word: &str) -> Result<Format, String> {
        match word {
            "text" => Ok(Format::Text),
            "markdown" => Ok(Format::Markdown),
            "json" => Ok(Format::Json),
            "yaml" => Ok(Format::Yaml),
            _ => Err("expected text, markdown, json or yaml".to_string()),
        }
    }
}

/// Writes to standard output; it is no error when the reader, such as `head`, has ended.
pub fn print(text: &str) -> eyre::Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other?),
    }
}

/// Renders a value as JSON or YAML, with a final newline.
pub fn render(value: &impl serde::Serialize, format: Format) -> eyre::Result<String> {
    let mut text = match format {
        Format::Yaml => serde_saphyr::to_string(value)?,
        _ => serde_json::to_string_pretty(value)?,
    };
    if !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}

/// Returns the exit code of a command that ran: whether it found no fault.
pub fn exit_code(is_ok: bool) -> ExitCode {
    ExitCode::from(if is_ok { EXIT_OK } else { EXIT_FINDINGS })
}

/// Returns an error unless the command has this output format.
pub fn check_format(format: Format, allowed: &[Format]) -> eyre::Result<()> {
    eyre::ensure!(
        allowed.contains(&format),
        "the command has no format {format:?}"
    );
    Ok(())
}
