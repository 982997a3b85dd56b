//! Answers pulls of other agents.

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

/// Most chunks that a pull may name; more are ignored.
const MAX_WANTED: usize = 1_024;

/// Longest time that a pull may wait here, whatever it asks for.
const MAX_WAIT: Millis = Millis(10_000);

/// Parts of one chunk.
pub type PartStream = Pin<Box<dyn Stream<Item = std::result::Result<ChunkPart, Status>> + Send>>;

/// A pull of another agent; dropping it frees its place.
struct Ticket {
    transfer: Transfer,
    id: u64,
    reply: Receiver<Reply>,
    sending: bool,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.transfer.lock();
        state.waiters.remove(&self.id);
        state.uploads.remove_pull(self.id);
        // A reply that was not taken has a slot as well.
        let untaken = matches!(self.reply.try_recv(), Ok(Reply::Send(..)));
        if self.sending || untaken {
            let mut answers = Vec::new();
            let state = &mut *state;
            state
                .uploads
                .finish_send(state.planner.store(), &mut answers);
            state.answer(answers);
        }
    }
}

impl Transfer {
    /// Waits until a chunk that `request` wants is held and its turn has come, and streams it.
    pub async fn chunk(
        &self,
        request: proto::ChunkRequest,
    ) -> std::result::Result<PartStream, Status> {
        let wanted = wanted(&request).map_err(|e| to_status(&e))?;
        let wait = Millis(request.wait_ms).min(MAX_WAIT);
        let mut ticket = self.ticket(wanted, wait);
        match ticket.reply.recv().await {
            Ok(Reply::Send(digest, bytes)) => {
                ticket.sending = true;
                Ok(Box::pin(parts(ticket, digest, bytes)))
            }
            Ok(Reply::Unavailable) | Err(_) => {
                let detail = "nothing of what is wanted";
                Err(to_status(&Error::new(Code::ChunkMissing, detail)))
            }
        }
    }

    fn ticket(&self, wanted: Vec<u64>, wait: Millis) -> Ticket {
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
        state.answer(answers);
        Ticket {
            transfer: self.clone(),
            id,
            reply,
            sending: false,
        }
    }
}

fn wanted(request: &proto::ChunkRequest) -> Result<Vec<u64>> {
    if request.digest.is_empty() {
        let most = request.wanted.iter().take(MAX_WANTED);
        return Ok(most.copied().collect());
    }
    let digest: Digest = request.digest.parse()?;
    Ok(vec![digest.prefix()])
}

fn parts(
    ticket: Ticket,
    digest: Digest,
    bytes: Bytes,
) -> impl Stream<Item = std::result::Result<ChunkPart, Status>> {
    try_stream! {
        let settings = &ticket.transfer.shared.settings;
        let length = bytes.len();
        for start in (0..length).step_by(settings.part_bytes) {
            let end = (start + settings.part_bytes).min(length);
            settings.links.leave(end - start).await;
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
