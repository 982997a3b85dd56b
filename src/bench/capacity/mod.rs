//! Capacity: slopes of real code over at least four sizes, and the sums per role.

pub mod measure;
pub mod messages;
pub mod requests;
pub mod roles;
pub mod slope;
pub mod tables;

pub use slope::Point;
pub use slope::Slope;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// How long and how often each point is measured.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Least time of one sample, in milliseconds.
    pub sample_ms: u64,
    /// Samples of a point; the lowest one counts.
    pub samples: usize,
    /// Divides the sizes, for quick runs.
    pub shrink: usize,
}

impl Default for Effort {
    fn default() -> Effort {
        Effort {
            sample_ms: 20,
            samples: 5,
            shrink: 1,
        }
    }
}

/// Measures one slope.
type Measure = fn(Effort) -> Result<Slope>;

/// Every slope by name, with what measures it.
///
/// Memory comes first: it is read from the growth of the process, which what
/// other measurements have freed would hide.
const SLOPES: &[(&str, Measure)] = &[
    ("table.memory", tables::memory),
    ("route.memory", tables::route_memory),
    ("live.memory", tables::live_memory),
    ("once.memory", requests::ledger_memory),
    ("table.parse", tables::parse),
    ("table.bytes", tables::bytes),
    ("route.parse", tables::route_parse),
    ("live.parse", tables::live_parse),
    ("sync.tick", tables::sync_tick),
    ("sync.delta", tables::delta),
    ("route.match", requests::matcher),
    ("route.pick", requests::pick),
    ("route.tick", requests::tick),
    ("sched.queue", requests::queue),
    ("limit.admit", requests::admit),
    ("limit.tick", requests::limit_tick),
    ("once.claim", requests::claim),
    ("digest", messages::digest),
    ("notice.bytes", messages::notice_bytes),
    ("notice.code", messages::notice_code),
    ("frame.code", messages::frame_code),
    ("metric.emit", messages::metric),
];

/// Names of the slopes.
pub fn names() -> impl Iterator<Item = &'static str> {
    SLOPES.iter().map(|(name, _)| *name)
}

/// Measures the slopes whose names start with `prefix`.
pub fn run(prefix: &str, effort: Effort) -> Result<Vec<Slope>> {
    let chosen = SLOPES.iter().filter(|(name, _)| name.starts_with(prefix));
    let slopes: Vec<Slope> = chosen
        .map(|(name, measure)| {
            let slope = measure(effort)?;
            assert_eq!(*name, slope.name, "slope is listed under its name");
            Ok(slope)
        })
        .collect::<Result<_>>()?;
    if slopes.is_empty() {
        let detail = format!("no slope {prefix:?}");
        return Err(Error::new(Code::BenchFailed, detail));
    }
    Ok(slopes)
}
