//! Result codes, and the error type of the library.

use std::fmt;

use crate::common;
use crate::time::Millis;

/// Result alias of the library.
pub type Result<T> = std::result::Result<T, Error>;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        common! { key
        /// Numbered result code; docs/codes.md lists them all.
        pub enum Code { $($(#[$doc])* #[doc = $text] $name = $number,)* }
        }

        impl Code {
            /// Every code, in the order of the numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the code with this number, or none for an unknown number.
            pub fn from_number(number: u32) -> Option<Code> {
                match number { $($number => Some(Code::$name),)* _ => None }
            }

            /// Returns the HTTP status of an answer to a caller with this code.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the meaning of the code in one line.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the name of the variant.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    SettingsRead = 1001, 500, "settings file cannot be read";
    SettingsSyntax = 1002, 500, "settings are not valid YAML";
    SettingsField = 1003, 500, "settings field is missing, unknown or out of range";
    ListenFailed = 1004, 500, "address cannot be listened on";
    CommandUsage = 1005, 500, "command line is wrong";
    TableSyntax = 2001, 500, "table is not valid YAML";
    FieldUnknown = 2002, 500, "table has an unknown field";
    FieldMissing = 2003, 500, "table lacks a required field";
    FieldRange = 2004, 500, "table value is out of range";
    JoinMissing = 2005, 500, "route names a pool that the pools table lacks";
    RevisionLower = 2006, 500, "revision is lower than the one in force";
    RevisionConflict = 2007, 500, "same revision with other content";
    SetIncomplete = 2008, 500, "routes and pools carry different revisions";
    NameDuplicate = 2009, 500, "name stands twice in a table";
    DigestFormat = 2010, 500, "digest is not sha256: and 64 hex digits";
    TableTooLarge = 2011, 500, "table is larger than 1 MB";
    ManifestCorrupt = 3001, 502, "manifest does not match its digest or is malformed";
    ChunkCorrupt = 3002, 502, "chunk does not match its digest";
    ChunkLength = 3003, 502, "chunk has another length than its manifest entry";
    ChunkMissing = 3004, 404, "source does not hold the chunk";
    SourceStalled = 3005, 504, "source made no progress within its time-out";
    OriginUnavailable = 3006, 502, "origin cannot be reached";
    LoadFailed = 3007, 502, "engine failed to load the version";
    FenceOld = 3008, 409, "order carries an old fencing number";
    MessageOversized = 3009, 413, "message is larger than allowed";
    StagingFull = 3010, 507, "version does not fit the staging memory";
    RouteUnknown = 4001, 404, "no route matches the request";
    RequestMalformed = 4002, 400, "request is malformed";
    BodyTooLarge = 4003, 413, "request body is larger than allowed";
    LimitExceeded = 4004, 429, "organisation is over its limit";
    Overloaded = 4005, 503, "system is overloaded";
    NoUpstream = 4006, 503, "no upstream can take the request now";
    DeadlineExceeded = 4007, 504, "deadline has passed";
    UpstreamLost = 4008, 502, "upstream failed while it ran the request";
    RequestBlocked = 4009, 422, "request crashed upstreams and is blocked";
    TicketRequired = 4010, 428, "idempotency key is not a ticket of this system";
    TicketInvalid = 4011, 400, "ticket is malformed or forged";
    OutcomeUnknown = 4012, 502, "whether the call ran is not known";
    VersionMismatch = 4013, 503, "upstream does not hold the requested version";
    UpstreamLeaving = 4014, 503, "upstream is leaving";
    UpstreamBusy = 4015, 503, "upstream has no room";
    AnswerMismatch = 4016, 502, "answer came from other weights than requested";
    Cancelled = 4017, 499, "caller has gone";
    RevisionOld = 4018, 503, "sender's table revision is old";
    // A barred call was not dispatched and never will be.
    KeyBarred = 4019, 409, "ticket is barred and was not run";
    TicketExpired = 4020, 410, "ticket has expired or its upstream has restarted";
    HeaderTooSlow = 4021, 408, "request head or body arrived too slowly";
    EntryLeaving = 4022, 503, "entry is draining";
    TablesMissing = 4023, 503, "no tables are in force yet";
    KeyUnknown = 4024, 401, "key belongs to no organisation";
    PlatformUnavailable = 5001, 503, "platform cannot be reached";
    RpcFailed = 5002, 502, "call to another process failed";
    ProtocolInvalid = 5003, 502, "message of another process is invalid";
    EngineUnavailable = 5004, 502, "engine cannot be reached";
    Internal = 5005, 500, "unexpected state";
    ConnectionRefused = 5006, 502, "no process listens at the address";
    ScenarioFailed = 6001, 500, "scenario's expectation does not hold";
    PromiseBroken = 6002, 500, "invariant does not hold";
    BenchFailed = 6003, 500, "benchmark could not be run";
}

impl Code {
    /// Returns the number of the code, which never changes.
    pub const fn number(self) -> u32 {
        self as u32
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}

common! { key
/// Whether an upstream ran a request that ended in an error.
#[derive(Default)]
pub enum Run {
    /// The upstream may have run it.
    #[default]
    Unknown,
    /// No upstream ran it or will run it, so that it can be sent again safely.
    NotRun,
    /// An upstream ran it in part; the caller has received part of the answer.
    Partial,
}
}

impl Run {
    /// Returns the word for it in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Run::Unknown => "unknown",
            Run::NotRun => "not_run",
            Run::Partial => "partial",
        }
    }
}

common! { value
/// An error with its result code, and whether and when a caller may retry.
pub struct Error {
    /// Result code.
    pub code: Code,
    /// What happened, as text for people.
    pub detail: String,
    /// Whether an upstream ran the request.
    pub run: Run,
    /// Time after which the caller may retry, if one was set.
    pub retry: Option<Millis>,
}
}

impl Error {
    /// Creates an error of a request that was not run, without a time for a retry.
    pub fn new(code: Code, detail: impl Into<String>) -> Error {
        Error {
            code,
            detail: detail.into(),
            run: Run::NotRun,
            retry: None,
        }
    }

    /// Returns the error with `run` in place of its former state.
    pub fn with_run(mut self, run: Run) -> Error {
        self.run = run;
        self
    }

    /// Returns the error with the time after which the caller may retry.
    pub fn with_retry(mut self, after: Millis) -> Error {
        self.retry = Some(after);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code, self.code.text(), self.detail)
    }
}

impl std::error::Error for Error {}
