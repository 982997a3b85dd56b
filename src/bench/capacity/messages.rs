//! Slopes of messages, digests and metrics.

use prost::Message as _;

use crate::bench::capacity::Effort;
use crate::bench::capacity::Slope;
use crate::bench::capacity::measure;
use crate::bench::capacity::tables::points;
use crate::metric::Metric;
use crate::metric::Metrics;
use crate::prelude::*;
use crate::proto;
use crate::util;

const KIB: [usize; 5] = [256, 512, 1_024, 2_048, 4_096];

const ORGANISATIONS: [usize; 5] = [10, 20, 40, 80, 160];

const DATA: [usize; 5] = [64, 256, 1_024, 4_096, 16_384];

const SERIES: [usize; 4] = [8, 16, 32, 48];

/// Time of SHA-256 over a chunk.
pub fn digest(effort: Effort) -> Result<Slope> {
    let points = points(&KIB, effort, |size| {
        let bytes = vec![7_u8; size << 10];
        Ok(measure::time(effort, || util::digest(&bytes)) / 1e3)
    })?;
    Ok(Slope::new("digest", "KiB", "ms", &points))
}

/// A notice with counts of this many organisations.
pub fn notice(organisations: usize) -> proto::Notice {
    let count = |index| proto::Count {
        organisation: format!("organisation-{index}"),
        requests: 1_000,
        cost: 100_000,
    };
    proto::Notice {
        from: "10.1.200.200:7100".to_string(),
        zone: "zone-0".to_string(),
        revision: 1_000_000,
        digest: util::digest("set"),
        live_index: 1_000_000,
        live_digest: util::digest("live"),
        counts: (0..organisations).map(count).collect(),
        ..proto::Notice::default()
    }
}

/// A state reply of an agent in the middle of a rollout.
pub fn state() -> proto::StateReply {
    proto::StateReply {
        name: "runner-1299".to_string(),
        zone: "zone-0".to_string(),
        pool: "assistant".to_string(),
        incarnation: 1 << 60,
        revision: 1_000_000,
        digest: util::digest("version"),
        serving: true,
        load: Some(proto::Load {
            running: 16,
            queued: 64,
            wait_ms: 1_000,
            age_ms: 500,
        }),
        chunks_held: 500,
        chunks_total: 1_000,
        ..proto::StateReply::default()
    }
}

/// Bytes of an encoded notice.
pub fn notice_bytes(effort: Effort) -> Result<Slope> {
    let points = points(&ORGANISATIONS, effort, |size| {
        Ok(notice(size).encoded_len() as f64)
    })?;
    Ok(Slope::new(
        "notice.bytes",
        "organisations",
        "bytes",
        &points,
    ))
}

/// Time to encode and decode a notice.
pub fn notice_code(effort: Effort) -> Result<Slope> {
    let points = points(&ORGANISATIONS, effort, |size| {
        let notice = notice(size);
        Ok(measure::time(effort, || {
            let bytes = notice.encode_to_vec();
            proto::Notice::decode(bytes.as_slice())
        }))
    })?;
    Ok(Slope::new("notice.code", "organisations", "us", &points))
}

/// Time to encode and decode one frame of an answer.
pub fn frame_code(effort: Effort) -> Result<Slope> {
    let points = points(&DATA, effort, |size| {
        let frame = proto::Frame {
            request: "018f0000-0000-7000-8000-000000000000".to_string(),
            attempt: 1,
            seq: 1_000,
            kind: Some(proto::frame::Kind::Data(vec![7; size])),
        };
        Ok(measure::time(effort, || {
            let bytes = frame.encode_to_vec();
            proto::Frame::decode(bytes.as_slice())
        }))
    })?;
    Ok(Slope::new("frame.code", "bytes of data", "us", &points))
}

/// Time to record one outcome while this many codes are held.
pub fn metric(effort: Effort) -> Result<Slope> {
    let points = points(&SERIES, effort, |size| {
        let metrics = Metrics::default();
        for code in Code::ALL.iter().take(size) {
            metrics.outcome(Metric::RequestTotal, Some(*code));
        }
        Ok(measure::time(effort, || {
            metrics.outcome(Metric::RequestTotal, Some(Code::Overloaded));
        }))
    })?;
    Ok(Slope::new("metric.emit", "series", "us", &points))
}
