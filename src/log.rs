//! Structured logs: slog to the terminal or as JSON lines on standard error.

use slog::Drain;
use slog::Logger;

use crate::common;
use crate::error::Error;

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

/// A logger that writes JSON lines to `output`, which must not block.
pub fn json_logger(name: &str, output: impl std::io::Write + Send + 'static) -> Logger {
    let drain = slog_json::Json::default(output);
    let root = Logger::root(std::sync::Mutex::new(drain).fuse(), slog::o!());
    root.new(slog::o!("process" => name.to_string()))
}

/// A logger that drops every record, for tests and benchmarks.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

common! { key
/// Part of the system that a log record comes from.
pub enum Component {
    /// Start, stop and signals of a process.
    Process,
    /// Settings.
    Config,
    /// Tables and their spread.
    Table,
    /// Live list and suspicion.
    Member,
    /// Transfer of weights.
    Rollout,
    /// Orders to the engine.
    Load,
    /// Choice of upstreams.
    Route,
    /// Queues.
    Sched,
    /// Limits and overload.
    Limit,
    /// Calls that may not be repeated.
    Once,
    /// Admission and drain.
    Gate,
    /// Connections.
    Net,
    /// Configuration service and live list.
    Platform,
    /// Admin address.
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

    /// Fixed prefix of the component's records.
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

/// The logger of a component: each message starts with its prefix.
pub fn component(log: &Logger, component: Component) -> Logger {
    let drain = Prefixed {
        prefix: component.prefix(),
        inner: log.clone(),
    };
    Logger::root(drain, slog::o!())
}

struct Prefixed {
    prefix: &'static str,
    inner: Logger,
}

impl Drain for Prefixed {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let head = slog::RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let prefix = self.prefix;
        let message = record.msg();
        Drain::log(
            &self.inner,
            &slog::Record::new(
                &head,
                &format_args!("{prefix}: {message}"),
                slog::BorrowedKV(&record.kv()),
            ),
            values,
        )
    }
}

/// Adds the result code and detail of an error to a record.
///
/// The code is a field of its own, so that records can be selected by it.
impl slog::KV for Error {
    fn serialize(&self, _: &slog::Record<'_>, out: &mut dyn slog::Serializer) -> slog::Result {
        out.emit_u32("code", self.code.number())?;
        out.emit_str("detail", &self.detail)
    }
}
