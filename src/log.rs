//! Structured logs, written with slog as text or as JSON lines.

use slog::Drain;
use slog::Logger;

use crate::common;
use crate::error::Error;

common! { key
/// Format of log records.
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text a record, for people.
    #[default]
    Text,
    /// One JSON object a line, for programs.
    Json,
}
}

/// Returns a logger of the process `name` that writes to standard error.
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

/// Returns a logger of the process `name` that writes JSON lines to `output`.
///
/// Writes to `output` must not block, as they are made by the thread that logs.
pub fn json_logger(name: &str, output: impl std::io::Write + Send + 'static) -> Logger {
    let drain = slog_json::Json::default(output);
    let root = Logger::root(std::sync::Mutex::new(drain).fuse(), slog::o!());
    root.new(slog::o!("process" => name.to_string()))
}

/// Returns a logger that drops every record, for tests and benchmarks.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

common! { key
/// Part of the system that a log record comes from.
pub enum Component {
    /// Start, stop and signals of a process.
    Process,
    /// Settings of a process.
    Config,
    /// Tables and their distribution between processes.
    Table,
    /// Live list and failure detection.
    Member,
    /// Transfer of weights.
    Rollout,
    /// Load orders to the engine.
    Load,
    /// Choice of an upstream for a request.
    Route,
    /// Queues of waiting requests.
    Sched,
    /// Limits of organisations, and overload control.
    Limit,
    /// Calls that run at most once.
    Once,
    /// Admission of requests by an agent, and its drain.
    Gate,
    /// Network connections.
    Net,
    /// Calls to the platform: configuration service and live list.
    Platform,
    /// Requests to the admin address.
    Admin,
}
}

impl Component {
    /// Every component.
    pub const ALL: &'static [Component] = &[
        Component::Process,
        Component::Config,
        Component::Table,
        Component::Member,
        Component::Rollout,
        Component::Load,
        Component::Route,
        Component::Sched,
        Component::Limit,
        Component::Once,
        Component::Gate,
        Component::Net,
        Component::Platform,
        Component::Admin,
    ];

    /// Returns the text before `: ` in each message of the component.
    pub const fn prefix(self) -> &'static str {
        match self {
            Component::Process => "process",
            Component::Config => "config",
            Component::Table => "table",
            Component::Member => "member",
            Component::Rollout => "rollout",
            Component::Load => "load",
            Component::Route => "route",
            Component::Sched => "sched",
            Component::Limit => "limit",
            Component::Once => "once",
            Component::Gate => "gate",
            Component::Net => "net",
            Component::Platform => "platform",
            Component::Admin => "admin",
        }
    }
}

/// Returns a logger that starts each message with the prefix of `component`.
pub fn component(log: &Logger, component: Component) -> Logger {
    let drain = PrefixDrain {
        prefix: component.prefix(),
        inner: log.clone(),
    };
    Logger::root(drain, slog::o!())
}

/// Drain that puts a prefix before each message and passes the record to `inner`.
struct PrefixDrain {
    prefix: &'static str,
    inner: Logger,
}

impl Drain for PrefixDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let origin = slog::RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let prefix = self.prefix;
        let message = record.msg();
        Drain::log(
            &self.inner,
            &slog::Record::new(
                &origin,
                &format_args!("{prefix}: {message}"),
                slog::BorrowedKV(&record.kv()),
            ),
            values,
        )
    }
}

/// Adds the result code and detail of an error to a record.
///
/// The code has a key of its own, so that records can be selected by it.
impl slog::KV for Error {
    fn serialize(&self, _: &slog::Record<'_>, out: &mut dyn slog::Serializer) -> slog::Result {
        out.emit_u32("code", self.code.number())?;
        out.emit_str("detail", &self.detail)
    }
}
