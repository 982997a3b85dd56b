//! Structured logs: slog to the terminal or as JSON lines on standard error.

use slog::Drain;
use slog::Logger;

use crate::common;

common! { key
/// How log records are written.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text for a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}
}

/// A logger for the process `name`.
pub fn logger(name: &str, format: Format) -> Logger {
    let root = match format {
        Format::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), slog::o!())
        }
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), slog::o!())
        }
    };
    root.new(slog::o!("process" => name.to_string()))
}

/// A logger that drops every record, for tests and benchmarks.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
