//! Pulls in progress and what their ends mean.

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

/// Time for which a source without anything useful is left alone.
///
/// Asking again at once costs messages and finds the same state.
const REST: Millis = Millis(40);

/// Factor by which a source of corrupt content is avoided longer than a stalled one.
const CORRUPT_FACTOR: u64 = 8;

/// A pull in progress.
#[derive(Debug)]
pub struct Pull {
    pub(super) source: Source,
    /// Stripe, for a pull that brings content into the zone.
    pub(super) stripe: Option<usize>,
    pub(super) items: Vec<usize>,
    /// Chunk that the source sends, once known.
    pub(super) sends: Option<usize>,
    pub(super) reserved: u64,
    pub(super) wait: Millis,
    pub(super) started: bool,
    pub(super) asked: Millis,
    pub(super) progress: Millis,
}

impl Planner {
    /// Changes the wanted version and stops every pull of the old one.
    pub(super) fn retarget(&mut self, now: Millis, target: Option<Digest>, out: &mut Vec<Action>) {
        if self.target == target {
            return;
        }
        for id in self.pulls.keys().copied().collect::<Vec<_>>() {
            self.remove(id);
            out.push(Action::Cancel(id));
        }
        self.target = target;
        self.manifest = None;
        self.refused = false;
        self.ready = false;
        self.stripes.clear();
        self.items = Items::default();
        self.rank(now);
        let Some(digest) = target else {
            return;
        };
        match self.store.get(digest).cloned() {
            Some(bytes) => self.read(now, digest, &bytes, out),
            None => {
                let length = (manifest::MAX_BYTES as u64).min(self.store.bound() / 4);
                self.items = Items::new(&[Chunk { digest, length }], &self.store);
            }
        }
    }

    /// Reads the manifest of the wanted version and starts on its chunks.
    fn read(&mut self, now: Millis, digest: Digest, bytes: &[u8], out: &mut Vec<Action>) {
        let parsed = Manifest::parse(bytes, digest);
        match parsed.and_then(|m| self.store.pin(&m).map(|()| m)) {
            Ok(manifest) => {
                self.items = Items::new(manifest.chunks(), &self.store);
                self.manifest = Some(manifest);
                for stripe in &mut self.stripes {
                    stripe.restart(now);
                }
                self.finish(out);
            }
            Err(error) => self.refuse(digest, error, out),
        }
    }

    fn refuse(&mut self, digest: Digest, error: Error, out: &mut Vec<Action>) {
        self.refused = true;
        self.items = Items::default();
        out.push(Action::Refused(digest, error));
    }

    /// Replaces the list of live members.
    pub(super) fn roster(&mut self, now: Millis, members: Vec<Member>, out: &mut Vec<Action>) {
        let mut peers = Arena::default();
        let mut names = indexmap::IndexMap::new();
        std::mem::swap(&mut peers, &mut self.peers);
        std::mem::swap(&mut names, &mut self.names);
        let mut gone: Vec<Key<Peer>> = names.values().copied().collect();
        for member in members {
            let known = names.get(&member.name).copied();
            let same = known.filter(|k| peers.get(*k).is_some_and(|p| p.member == member));
            let name = member.name.clone();
            let key = same.unwrap_or_else(|| peers.insert(Peer::new(member)));
            gone.retain(|k| *k != key);
            self.names.insert(name, key);
        }
        for (id, pull) in &self.pulls {
            if matches!(pull.source, Source::Peer(key) if gone.contains(&key)) {
                out.push(Action::Cancel(*id));
            }
        }
        self.peers = peers;
        for id in self.ids_of(&gone) {
            self.remove(id);
        }
        for key in gone {
            self.peers.remove(key);
        }
        self.rank(now);
    }

    fn ids_of(&self, sources: &[Key<Peer>]) -> Vec<u64> {
        let from = |pull: &Pull| matches!(pull.source, Source::Peer(k) if sources.contains(&k));
        let ids = self.pulls.iter().filter(|(_, pull)| from(pull));
        ids.map(|(id, _)| *id).collect()
    }

    /// Computes ranks anew, after a change of version or members.
    fn rank(&mut self, now: Millis) {
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
                stripe.inherit(old);
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

    /// Takes a pull out of all accounts.
    pub(super) fn remove(&mut self, id: u64) -> Option<Pull> {
        let pull = self.pulls.swap_remove(&id)?;
        self.items.unask(&pull.items);
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

    /// The source of a pull has chosen; the other chunks it named are free again.
    pub(super) fn started(&mut self, now: Millis, id: u64, digest: Digest, out: &mut Vec<Action>) {
        self.progress(now, id);
        let Some(pull) = self.pulls.get(&id) else {
            return;
        };
        let matches = |i: &usize| self.items.chunk(*i).digest == digest;
        let Some(index) = pull.items.iter().copied().find(matches) else {
            // What was not asked for is refused when it is whole, with its source.
            return;
        };
        let sent = |(other, p): (&u64, &Pull)| *other != id && p.sends == Some(index);
        if self.items.is_held(index) || self.pulls.iter().any(sent) {
            self.stats.doubled += 1;
            self.remove(id);
            out.push(Action::Cancel(id));
            return;
        }
        if let Some(pull) = self.pulls.get_mut(&id) {
            let rest: Vec<_> = pull.items.iter().copied().filter(|i| *i != index).collect();
            pull.items = vec![index];
            pull.sends = Some(index);
            self.items.unask(&rest);
        }
    }

    /// A pull ended with whole content, which may still be the wrong content.
    pub(super) fn arrived(&mut self, now: Millis, id: u64, whole: Blob, out: &mut Vec<Action>) {
        let Some(pull) = self.remove(id) else {
            return;
        };
        let matches = |i: &usize| self.items.chunk(*i).digest == whole.digest();
        let Some(index) = pull.items.iter().copied().find(matches) else {
            self.stats.corrupt += 1;
            self.punish(now, &pull, CORRUPT_FACTOR);
            return;
        };
        self.praise(&pull);
        if self.items.is_held(index) {
            self.stats.wasted += whole.length();
            return;
        }
        if self.manifest.is_none() {
            let (digest, bytes) = (whole.digest(), whole.bytes().clone());
            self.stop_all(out);
            self.store.insert(whole);
            self.read(now, digest, &bytes, out);
            return;
        }
        if pull.stripe.is_none() {
            // Someone else brings the stripe into the zone after all.
            let count = self.stripes.len();
            self.stripes[index % count].acting.0 = Millis(0);
        }
        self.accept(now, index, whole, out);
    }

    /// Stores a wanted chunk.
    fn accept(&mut self, now: Millis, index: usize, whole: Blob, out: &mut Vec<Action>) {
        let chunk = self.items.chunk(index);
        assert_eq!(chunk.digest, whole.digest(), "chunk with a wrong digest");
        if chunk.length != whole.length() {
            let detail = format!("{} has {} bytes", chunk.digest, whole.length());
            let error = Error::new(crate::error::Code::ChunkLength, detail);
            self.stop_all(out);
            self.refuse(self.target.unwrap_or(chunk.digest), error, out);
            return;
        }
        let length = whole.length();
        if !self.store.insert(whole) {
            return;
        }
        self.stats.accepted += length;
        self.items.hold(index);
        let count = self.stripes.len();
        self.stripes[index % count].news = now;
        self.stop_needless(out);
        self.finish(out);
    }

    /// Stops pulls that can bring nothing new any more.
    fn stop_needless(&mut self, out: &mut Vec<Action>) {
        let items = &self.items;
        let needless = |pull: &Pull| pull.items.iter().all(|i| items.is_held(*i));
        let done = self.pulls.iter().filter(|(_, pull)| needless(pull));
        for id in done.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.remove(id);
            out.push(Action::Cancel(id));
        }
    }

    fn stop_all(&mut self, out: &mut Vec<Action>) {
        for id in self.pulls.keys().copied().collect::<Vec<_>>() {
            self.remove(id);
            out.push(Action::Cancel(id));
        }
    }

    /// Reports the version when its last chunk is held.
    fn finish(&mut self, out: &mut Vec<Action>) {
        let Some(manifest) = &self.manifest else {
            return;
        };
        if self.ready || !self.items.whole() {
            return;
        }
        assert!(self.store.holds(manifest), "version is not whole");
        self.ready = true;
        out.push(Action::Ready(manifest.digest()));
    }

    fn praise(&mut self, pull: &Pull) {
        if let Source::Peer(key) = pull.source
            && let Some(peer) = self.peers.get_mut(key)
        {
            peer.succeed();
        }
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            stripe.misses = 0;
        }
    }

    /// Avoids the source of a pull that broke, stalled or brought wrong content.
    fn punish(&mut self, now: Millis, pull: &Pull, factor: u64) {
        match pull.source {
            Source::Peer(key) => {
                let first = Millis(self.settings.avoid_time.0 * factor);
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.strike(now, first);
                }
            }
            Source::Origin => self.back_off(now, pull),
        }
    }

    /// Keeps the stripe from the origin for a while, with jitter against bursts.
    fn back_off(&mut self, now: Millis, pull: &Pull) {
        let base = self.settings.takeover.0 / 4;
        let span = Millis(base + self.rng.u64(..=base));
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            stripe.backoff = now.plus(span);
        }
    }

    /// The source has nothing of what was asked now.
    pub(super) fn nothing(&mut self, now: Millis, id: u64) {
        let Some(pull) = self.remove(id) else {
            return;
        };
        self.miss(now, &pull);
        match pull.source {
            Source::Origin => self.back_off(now, &pull),
            Source::Peer(key) => {
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.rest(now.plus(REST));
                }
                if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
                    stripe.hear(now, key);
                }
            }
        }
    }

    /// A pull broke.
    pub(super) fn failed(&mut self, now: Millis, id: u64) {
        let Some(pull) = self.remove(id) else {
            return;
        };
        self.miss(now, &pull);
        self.punish(now, &pull, 1);
    }

    fn miss(&mut self, now: Millis, pull: &Pull) {
        let takeover = self.settings.takeover;
        if let Some(stripe) = pull.stripe.and_then(|s| self.stripes.get_mut(s)) {
            let reach = stripe.reach(now, takeover);
            stripe.miss(reach);
        }
    }

    /// Gives up pulls without progress.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        let stall = self.settings.stall_timeout;
        let late = now.since(self.ticked) > Millis(stall.0 / 2);
        self.ticked = now;
        if late {
            // This process was paused; what its sources did meanwhile is unknown.
            self.pulls.values_mut().for_each(|pull| pull.progress = now);
            return;
        }
        let over = |pull: &Pull| {
            let wait = if pull.started { Millis(0) } else { pull.wait };
            now.since(pull.progress) > stall.plus(wait)
        };
        let ids: Vec<_> = self
            .pulls
            .iter()
            .filter(|(_, p)| over(p))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.stats.stalled += 1;
            self.failed(now, id);
            out.push(Action::Cancel(id));
        }
    }
}
