//! Answers pulls of other agents by sending chunks to them.

use std::pin::Pin;

use async_stream::try_stream;
use smol::channel;
use smol::channel::Receiver;
use smol::stream::Stream;
use tonic::Status;

use crate::agent::transfer::Reply;
use crate::agent::transfer::Transfer;
use crate::net::rpc::to_status;
use crate::prelude::*;
use crate::proto;
use crate::proto::ChunkPart;
use crate::rollout::Digest;

/// Most chunks that a pull may name; further ones are ignored.
const MAX_WANTED: usize = 1_024;

/// Longest time for which a pull may wait here; longer waits are cut to it.
const MAX_WAIT: Millis = Millis(10_000);

/// Stream of the parts of one chunk.
pub type PartStream = Pin<Box<dyn Stream<Item = std::result::Result<ChunkPart, Status>> + Send>>;

/// A pull of another agent that waits or is answered; dropping it frees its place in the
/// queue, or its slot.
struct PendingUpload {
    transfer: Transfer,
    id: u64,
    reply: Receiver<Reply>,
    is_sending: bool,
}

impl Drop for PendingUpload {
    fn drop(&mut self) {
        let mut state = self.transfer.lock();
        state.waiters.remove(&self.id);
        state.uploads.remove_pull(self.id);
        // A reply that was not received yet has taken a slot as well.
        let is_untaken = matches!(self.reply.try_recv(), Ok(Reply::Send(..)));
        if self.is_sending || is_untaken {
            let mut answers = Vec::new();
            let state = &mut *state;
            state
                .uploads
                .finish_send(state.planner.store(), &mut answers);
            state.send_replies(answers);
        }
    }
}

impl Transfer {
    /// Waits until a chunk that `request` wants is held and a slot is free, and streams it.
    ///
    /// The error is `ChunkMissing` when none is held in time or too many pulls wait.
    pub async fn chunk(
        &self,
        request: proto::ChunkRequest,
    ) -> std::result::Result<PartStream, Status> {
        let wanted = wanted_prefixes(&request).map_err(|e| to_status(&e))?;
        let wait = Millis(request.wait_ms).min(MAX_WAIT);
        let mut upload = self.queue_upload(wanted, wait);
        match upload.reply.recv().await {
            Ok(Reply::Send(digest, bytes)) => {
                upload.is_sending = true;
                Ok(Box::pin(stream_parts(upload, digest, bytes)))
            }
            Ok(Reply::Unavailable) | Err(_) => {
                let detail = "nothing of what is wanted";
                Err(to_status(&Error::new(Code::ChunkMissing, detail)))
            }
        }
    }

    /// Adds a pull to those that wait.
    fn queue_upload(&self, wanted: Vec<u64>, wait: Millis) -> PendingUpload {
        let (sender, reply) = channel::bounded(1);
        let now = self.shared.clock.now();
        let mut answers = Vec::new();
        let mut state = self.lock();
        let state = &mut *state;
        let store = state.planner.store();
        let id = state
            .uploads
            .add_pull(now, wanted, wait, store, &mut answers);
        state.waiters.insert(id, sender);
        state.send_replies(answers);
        PendingUpload {
            transfer: self.clone(),
            id,
            reply,
            is_sending: false,
        }
    }
}

/// Prefixes of the digests of the chunks that a request wants; it names one chunk by its
/// digest, or several by their prefixes.
fn wanted_prefixes(request: &proto::ChunkRequest) -> Result<Vec<u64>> {
    if request.digest.is_empty() {
        let first = request.wanted.iter().take(MAX_WANTED);
        return Ok(first.copied().collect());
    }
    let digest: Digest = request.digest.parse()?;
    Ok(vec![digest.prefix()])
}

/// Streams a chunk in parts, at the rate of the link; the first part names its digest.
fn stream_parts(
    upload: PendingUpload,
    digest: Digest,
    bytes: Bytes,
) -> impl Stream<Item = std::result::Result<ChunkPart, Status>> {
    try_stream! {
        let settings = &upload.transfer.shared.settings;
        let length = bytes.len();
        for start in (0..length).step_by(settings.part_bytes) {
            let end = (start + settings.part_bytes).min(length);
            settings.links.pace_upload(end - start).await;
            let name = if start == 0 { digest.to_string() } else { String::new() };
            yield ChunkPart {
                offset: start as u64,
                length: length as u64,
                data: bytes[start..end].to_vec(),
                digest: name,
            };
        }
    }
}
