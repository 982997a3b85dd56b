//! Pulls in progress, and what follows from their results.

use crate::arena::Arena;
use crate::arena::Key;
use crate::error::Error;
use crate::rollout::manifest;
use crate::rollout::manifest::Chunk;
use crate::rollout::manifest::Digest;
use crate::rollout::manifest::Manifest;
use crate::rollout::plan::Action;
use crate::rollout::plan::Member;
use crate::rollout::plan::Peer;
use crate::rollout::plan::Planner;
use crate::rollout::plan::Source;
use crate::rollout::plan::item::Items;
use crate::rollout::plan::stripe::Stripe;
use crate::rollout::store::Blob;
use crate::time::Millis;

/// Time for which no pull is started from a source that held none of the wanted chunks.
///
/// Another pull at once would cost messages and most likely bring nothing either.
const EMPTY_PAUSE: Millis = Millis(40);

/// Factor by which a source that sent wrong content is avoided longer than one that
/// stalled.
const CORRUPT_FACTOR: u64 = 8;

/// A pull in progress.
#[derive(Debug)]
pub struct Pull {
    pub(super) source: Source,
    /// Stripe that the pull brings into the zone; none for a pull inside the zone.
    pub(super) stripe: Option<usize>,
    /// Indices of the chunks that the source may send.
    pub(super) items: Vec<usize>,
    /// Index of the chunk that the source sends, once known.
    pub(super) sending: Option<usize>,
    /// Bytes reserved in the store.
    pub(super) reserved: u64,
    /// Time for which the pull may wait at its source.
    pub(super) wait: Millis,
    /// True once bytes have arrived.
    pub(super) receiving: bool,
    pub(super) started_at: Millis,
    /// When bytes last arrived, or the pull started.
    pub(super) progress_at: Millis,
}

impl Planner {
    /// Changes the wanted version and cancels all pulls of the old one.
    pub(super) fn set_target(
        &mut self,
        now: Millis,
        target: Option<Digest>,
        out: &mut Vec<Action>,
    ) {
        if self.target == target {
            return;
        }
        for id in self.pulls.keys().copied().collect::<Vec<_>>() {
            self.remove_pull(id);
            out.push(Action::Cancel(id));
        }
        self.target = target;
        self.manifest = None;
        self.is_refused = false;
        self.is_ready = false;
        self.stripes.clear();
        self.items = Items::default();
        self.rank_members(now);
        let Some(digest) = target else {
            return;
        };
        match self.store.get(digest).cloned() {
            Some(bytes) => self.read_manifest(now, digest, &bytes, out),
            None => {
                let length = (manifest::MAX_BYTES as u64).min(self.store.capacity() / 4);
                self.items = Items::new(&[Chunk { digest, length }], &self.store);
            }
        }
    }

    /// Reads the manifest of the wanted version, whose chunks are wanted from now on.
    fn read_manifest(&mut self, now: Millis, digest: Digest, bytes: &[u8], out: &mut Vec<Action>) {
        let parsed = Manifest::parse(bytes, digest);
        match parsed.and_then(|m| self.store.pin(&m).map(|()| m)) {
            Ok(manifest) => {
                self.items = Items::new(manifest.chunks(), &self.store);
                self.manifest = Some(manifest);
                for stripe in &mut self.stripes {
                    stripe.restart(now);
                }
                self.report_if_ready(out);
            }
            Err(error) => self.refuse(digest, error, out),
        }
    }

    /// Reports that the wanted version cannot be fetched.
    fn refuse(&mut self, digest: Digest, error: Error, out: &mut Vec<Action>) {
        self.is_refused = true;
        self.items = Items::default();
        out.push(Action::Refused(digest, error));
    }

    /// Replaces the list of live members and cancels pulls from those that are gone.
    pub(super) fn set_members(&mut self, now: Millis, members: Vec<Member>, out: &mut Vec<Action>) {
        let mut peers = Arena::default();
        let mut keys = indexmap::IndexMap::new();
        std::mem::swap(&mut peers, &mut self.peers);
        std::mem::swap(&mut keys, &mut self.peer_keys);
        let mut gone: Vec<Key<Peer>> = keys.values().copied().collect();
        for member in members {
            let known = keys.get(&member.name).copied();
            let unchanged = known.filter(|k| peers.get(*k).is_some_and(|p| p.member == member));
            let name = member.name.clone();
            let key = unchanged.unwrap_or_else(|| peers.insert(Peer::new(member)));
            gone.retain(|k| *k != key);
            self.peer_keys.insert(name, key);
        }
        for (id, pull) in &self.pulls {
            if matches!(pull.source, Source::Peer(key) if gone.contains(&key)) {
                out.push(Action::Cancel(*id));
            }
        }
        self.peers = peers;
        for id in self.pulls_from(&gone) {
            self.remove_pull(id);
        }
        for key in gone {
            self.peers.remove(key);
        }
        self.rank_members(now);
    }

    /// Numbers of the pulls from these members.
    fn pulls_from(&self, sources: &[Key<Peer>]) -> Vec<u64> {
        let is_from = |pull: &Pull| matches!(pull.source, Source::Peer(k) if sources.contains(&k));
        let ids = self.pulls.iter().filter(|(_, pull)| is_from(pull));
        ids.map(|(id, _)| *id).collect()
    }

    /// Computes all ranks, after a change of the version or of members.
    fn rank_members(&mut self, now: Millis) {
        let old = std::mem::take(&mut self.stripes);
        let Some(target) = self.target else {
            return;
        };
        let peers: Vec<_> = self.peers.iter().map(|(k, p)| (k, &p.member)).collect();
        for index in 0..self.settings.stripes {
            let key = format!("{target}/{index}");
            let jitter = self.rng.u64(..);
            let mut stripe = Stripe::new(now, &key, &self.me, &peers, jitter);
            if let Some(old) = old.get(index) {
                stripe.copy_state(old);
            }
            self.stripes.push(stripe);
        }
        let own = Stripe::new(
            now,
            &format!("{target}/{}", self.me.name),
            &self.me,
            &peers,
            0,
        );
        self.neighbours = own.zone;
    }

    /// Removes a pull and everything that was counted or reserved for it.
    pub(super) fn remove_pull(&mut self, id: u64) -> Option<Pull> {
        let pull = self.pulls.swap_remove(&id)?;
        self.items.remove_request(&pull.items);
        self.store.unreserve(pull.reserved);
        if let Source::Peer(key) = pull.source
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.outstanding -= 1;
        }
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            stripe.outstanding -= 1;
        }
        Some(pull)
    }

    /// Handles the first bytes of a pull, which tell the chunk that its source sends.
    ///
    /// The other chunks of the pull may be named by other pulls again. A duplicate of a
    /// chunk that is held or on its way is cancelled.
    pub(super) fn on_first_bytes(
        &mut self,
        now: Millis,
        id: u64,
        digest: Digest,
        out: &mut Vec<Action>,
    ) {
        self.record_progress(now, id);
        let Some(pull) = self.pulls.get(&id) else {
            return;
        };
        let matches = |i: &usize| self.items.chunk(*i).digest == digest;
        let Some(index) = pull.items.iter().copied().find(matches) else {
            // Content that was not wanted is refused once it is complete.
            return;
        };
        let is_sent = |(other, p): (&u64, &Pull)| *other != id && p.sending == Some(index);
        if self.items.is_held(index) || self.pulls.iter().any(is_sent) {
            self.stats.doubled += 1;
            self.remove_pull(id);
            out.push(Action::Cancel(id));
            return;
        }
        if let Some(pull) = self.pulls.get_mut(&id) {
            let rest: Vec<_> = pull.items.iter().copied().filter(|i| *i != index).collect();
            pull.items = vec![index];
            pull.sending = Some(index);
            self.items.remove_request(&rest);
        }
    }

    /// Handles complete content of a pull, whose digest may be none of the wanted ones.
    pub(super) fn on_arrived(&mut self, now: Millis, id: u64, blob: Blob, out: &mut Vec<Action>) {
        let Some(pull) = self.remove_pull(id) else {
            return;
        };
        let matches = |i: &usize| self.items.chunk(*i).digest == blob.digest();
        let Some(index) = pull.items.iter().copied().find(matches) else {
            self.stats.corrupt += 1;
            self.record_failure(now, &pull, CORRUPT_FACTOR);
            return;
        };
        self.record_success(&pull);
        if self.items.is_held(index) {
            self.stats.wasted += blob.length();
            return;
        }
        if self.manifest.is_none() {
            let (digest, bytes) = (blob.digest(), blob.bytes().clone());
            self.cancel_all(out);
            self.store.insert(blob);
            self.read_manifest(now, digest, &bytes, out);
            return;
        }
        if pull.stripe.is_none() {
            // Another member has brought the stripe into the zone after all.
            let count = self.stripes.len();
            self.stripes[index % count].taken_over.0 = Millis(0);
        }
        self.store_chunk(now, index, blob, out);
    }

    /// Stores a wanted chunk; refuses the version when the length in its manifest is wrong.
    fn store_chunk(&mut self, now: Millis, index: usize, blob: Blob, out: &mut Vec<Action>) {
        let chunk = self.items.chunk(index);
        assert_eq!(chunk.digest, blob.digest(), "chunk with a wrong digest");
        if chunk.length != blob.length() {
            let detail = format!("{} has {} bytes", chunk.digest, blob.length());
            let error = Error::new(crate::error::Code::ChunkLength, detail);
            self.cancel_all(out);
            self.refuse(self.target.unwrap_or(chunk.digest), error, out);
            return;
        }
        let length = blob.length();
        if !self.store.insert(blob) {
            return;
        }
        self.stats.accepted += length;
        self.items.mark_held(index);
        let count = self.stripes.len();
        self.stripes[index % count].last_chunk = now;
        self.cancel_redundant(out);
        self.report_if_ready(out);
    }

    /// Cancels pulls of which all chunks are held by now.
    fn cancel_redundant(&mut self, out: &mut Vec<Action>) {
        let items = &self.items;
        let is_redundant = |pull: &Pull| pull.items.iter().all(|i| items.is_held(*i));
        let done = self.pulls.iter().filter(|(_, pull)| is_redundant(pull));
        for id in done.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.remove_pull(id);
            out.push(Action::Cancel(id));
        }
    }

    /// Cancels all pulls.
    fn cancel_all(&mut self, out: &mut Vec<Action>) {
        for id in self.pulls.keys().copied().collect::<Vec<_>>() {
            self.remove_pull(id);
            out.push(Action::Cancel(id));
        }
    }

    /// Reports the version once its last chunk is held.
    fn report_if_ready(&mut self, out: &mut Vec<Action>) {
        let Some(manifest) = &self.manifest else {
            return;
        };
        if self.is_ready || !self.items.is_complete() {
            return;
        }
        assert!(self.store.holds(manifest), "version is not complete");
        self.is_ready = true;
        out.push(Action::Ready(manifest.digest()));
    }

    /// Clears the failures of a source that has sent wanted content.
    fn record_success(&mut self, pull: &Pull) {
        if let Source::Peer(key) = pull.source
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.reset_failures();
        }
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            stripe.misses = 0;
        }
    }

    /// Avoids the source of a pull that failed, stalled or brought wrong content, for
    /// `factor` times the usual time.
    fn record_failure(&mut self, now: Millis, pull: &Pull, factor: u64) {
        match pull.source {
            Source::Peer(key) => {
                let first = Millis(self.settings.avoid_time.0 * factor);
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.avoid(now, first);
                }
            }
            Source::Origin => self.delay_origin(now, pull),
        }
    }

    /// Keeps the stripe from pulling from the origin for a while.
    ///
    /// The time is partly random, so that members do not come back all at once.
    fn delay_origin(&mut self, now: Millis, pull: &Pull) {
        let base = self.settings.takeover.0 / 4;
        let time = Millis(base + self.rng.u64(..=base));
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            stripe.origin_retry = now.plus(time);
        }
    }

    /// Handles a pull whose source holds none of the wanted chunks.
    pub(super) fn on_unavailable(&mut self, now: Millis, id: u64) {
        let Some(pull) = self.remove_pull(id) else {
            return;
        };
        self.record_miss(now, &pull);
        match pull.source {
            Source::Origin => self.delay_origin(now, &pull),
            Source::Peer(key) => {
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.pause(now.plus(EMPTY_PAUSE));
                }
                if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
                    stripe.record_answer(now, key);
                }
            }
        }
    }

    /// Handles a pull that has failed.
    pub(super) fn on_failed(&mut self, now: Millis, id: u64) {
        let Some(pull) = self.remove_pull(id) else {
            return;
        };
        self.record_miss(now, &pull);
        self.record_failure(now, &pull, 1);
    }

    /// Counts a pull for a stripe that brought nothing.
    fn record_miss(&mut self, now: Millis, pull: &Pull) {
        let takeover = self.settings.takeover;
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            let allowed = stripe.allowed_level(now, takeover);
            stripe.record_miss(allowed);
        }
    }

    /// Cancels pulls without progress.
    pub(super) fn cancel_stalled(&mut self, now: Millis, out: &mut Vec<Action>) {
        let stall = self.settings.stall_timeout;
        let was_paused = now.since(self.last_tick) > Millis(stall.0 / 2);
        self.last_tick = now;
        if was_paused {
            // This process was paused itself, so nothing is known about its sources.
            self.pulls
                .values_mut()
                .for_each(|pull| pull.progress_at = now);
            return;
        }
        let is_stalled = |pull: &Pull| {
            let wait = if pull.receiving { Millis(0) } else { pull.wait };
            now.since(pull.progress_at) > stall.plus(wait)
        };
        let ids: Vec<_> = self
            .pulls
            .iter()
            .filter(|(_, p)| is_stalled(p))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.stats.stalled += 1;
            self.on_failed(now, id);
            out.push(Action::Cancel(id));
        }
    }
}
