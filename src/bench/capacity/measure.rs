//! Time and memory of one operation.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use crate::bench::capacity::Effort;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;

/// Bytes that the copies of one point should take up together.
///
/// Memory is read from the kernel by pages, so a point must span many of them.
const MEMORY_TARGET: usize = 16 << 20;

/// Microseconds for one run of `operation`; the lowest of several samples.
///
/// The machine is shared, and other work only ever adds time.
pub fn time<T>(effort: Effort, mut operation: impl FnMut() -> T) -> f64 {
    let least = Duration::from_millis(effort.sample_ms);
    let mut runs = 1_u32;
    let mut best = f64::INFINITY;
    let mut samples = 0;
    while samples < effort.samples {
        let begin = Instant::now();
        for _ in 0..runs {
            black_box(operation());
        }
        let took = begin.elapsed();
        if took < least {
            runs = runs.saturating_mul(2);
            continue;
        }
        samples += 1;
        best = best.min(took.as_secs_f64() * 1e6 / f64::from(runs));
    }
    best
}

/// Resident memory of this process, in bytes.
pub fn resident() -> Result<usize> {
    let bad = |detail: String| Error::new(Code::BenchFailed, detail);
    let text = std::fs::read_to_string("/proc/self/status").map_err(|e| bad(e.to_string()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    let kib = kib.ok_or_else(|| bad("no VmRSS".to_string()))?;
    Ok(kib << 10)
}

/// KiB that one value takes up, from many copies that are held at once.
///
/// The copies are never freed: the allocator would give their memory to those of
/// the next point, and the process would not grow.
pub fn memory<T>(guess: usize, mut make: impl FnMut() -> T) -> Result<f64> {
    let copies = (MEMORY_TARGET / guess.max(1)).clamp(8, 100_000);
    let mut held = Vec::with_capacity(copies);
    // The first copies fill what the allocator has free already.
    for _ in 0..copies / 4 {
        held.push(make());
    }
    let before = resident()?;
    for _ in copies / 4..copies {
        held.push(make());
    }
    let after = resident()?;
    std::mem::forget(held);
    let counted = copies - copies / 4;
    Ok(after.saturating_sub(before) as f64 / counted as f64 / 1024.0)
}
