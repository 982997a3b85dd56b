//! Writes the frames of an answer that an agent streams to an entry.

use hyper::body::Incoming;
use smol::channel::Sender;

use crate::agent::Agent;
use crate::agent::admission;
use crate::agent::serve::is_end_to_end;
use crate::agent::ticketed;
use crate::once::Answer;
use crate::once::Fingerprint;
use crate::prelude::*;
use crate::proto;
use crate::proto::frame::Kind as FrameKind;
use crate::util;

/// Channel to the gRPC stream of one attempt.
pub type FrameSender = Sender<std::result::Result<proto::Frame, tonic::Status>>;

/// Numbers and sends the frames of one answer.
pub struct FrameWriter {
    fingerprint: Fingerprint,
    request: String,
    attempt: u32,
    seq: u64,
    length: u64,
    sender: FrameSender,
}

impl FrameWriter {
    /// Creates a writer for the answer to `request`.
    pub fn new(request: &proto::ServeRequest, sender: FrameSender) -> FrameWriter {
        FrameWriter {
            fingerprint: ticketed::fingerprint(request),
            request: request.request.clone(),
            attempt: request.attempt,
            seq: 0,
            length: 0,
            sender,
        }
    }

    /// Fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Sends status and headers of the upstream's answer, with the agent's load.
    pub async fn send_head(
        &mut self,
        agent: &Agent,
        response: &http::Response<Incoming>,
    ) -> Result<()> {
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| is_end_to_end(name.as_str()))
            .map(|(name, value)| proto::Header {
                name: name.to_string(),
                value: value.as_bytes().to_vec(),
            })
            .collect();
        let head = proto::Head {
            status: u32::from(response.status().as_u16()),
            headers,
            load: Some(agent.queue.load()),
        };
        self.send(FrameKind::Head(head)).await
    }

    /// Sends a whole answer from the ledger.
    pub async fn send_recorded(&mut self, agent: &Agent, answer: &Answer) -> Result<()> {
        for kind in recorded_kinds(agent, answer) {
            self.send(kind).await?;
        }
        Ok(())
    }

    /// Sends part of the body.
    pub async fn send_data(&mut self, data: Bytes) -> Result<()> {
        self.length += data.len() as u64;
        self.send(FrameKind::Data(data.to_vec())).await
    }

    /// Sends the last frame of a complete answer, with the service time of the request.
    pub async fn send_done(&mut self, took: Millis) -> Result<()> {
        let done = proto::Done {
            length: self.length,
            run_ms: took.0,
        };
        self.send(FrameKind::Done(done)).await
    }

    /// Sends the last frame of a failed answer.
    ///
    /// When the upstream broke off, the crash is recorded and admission closes.
    pub async fn send_error(&mut self, agent: &Agent, error: Error) {
        // Once a frame has been sent the request has run, whatever the error says.
        let run = match (error.run, self.seq) {
            (Run::NotRun, 0) => proto::Run::NotRun,
            (_, 0) => proto::Run::Unknown,
            _ => proto::Run::Partial,
        };
        let crashed = error.code == Code::UpstreamLost;
        let attempt = u64::from(self.attempt) ^ util::stable_hash([self.request.as_str()]);
        if crashed {
            // Admission stays closed until the engine's state has been read again.
            agent.loaded.invalidate();
        }
        let fail = proto::Fail {
            code: error.code.number(),
            run: run.into(),
            detail: error.detail,
            retry_after_ms: error.retry.unwrap_or_default().0,
            revision: agent.node.in_force.stamp().revision,
            crashed: crashed && admission::record_crash(agent, self.fingerprint, attempt),
        };
        let _ = self.send(FrameKind::Fail(fail)).await;
    }

    /// Numbers a frame and sends it.
    async fn send(&mut self, kind: FrameKind) -> Result<()> {
        let frame = proto::Frame {
            request: self.request.clone(),
            attempt: self.attempt,
            seq: self.seq,
            kind: Some(kind),
        };
        self.seq += 1;
        self.sender.send(Ok(frame)).await.map_err(|_| {
            Error::new(Code::Cancelled, "the entry has closed the stream").with_run(Run::Unknown)
        })
    }
}

/// Largest part of a recorded answer in one frame, in bytes.
const PART_BYTES: usize = 256 << 10;

/// Contents of the frames of an answer from the ledger.
fn recorded_kinds(agent: &Agent, answer: &Answer) -> Vec<FrameKind> {
    let headers = answer.headers.iter().map(|(name, value)| proto::Header {
        name: name.clone(),
        value: value.clone(),
    });
    let head = proto::Head {
        status: u32::from(answer.status),
        headers: headers.collect(),
        load: Some(agent.queue.load()),
    };
    let parts = answer.body.chunks(PART_BYTES);
    let data = parts.map(|part| FrameKind::Data(part.to_vec()));
    let done = FrameKind::Done(proto::Done {
        length: answer.body.len() as u64,
        ..proto::Done::default()
    });
    [FrameKind::Head(head)]
        .into_iter()
        .chain(data)
        .chain([done])
        .collect()
}

/// Frames of an answer from the ledger, for [`proto::ResolveReply`].
pub fn recorded_frames(agent: &Agent, answer: &Answer) -> Vec<proto::Frame> {
    let kinds = recorded_kinds(agent, answer).into_iter();
    let frames = kinds.zip(0..).map(|(kind, seq)| proto::Frame {
        seq,
        kind: Some(kind),
        ..proto::Frame::default()
    });
    frames.collect()
}
