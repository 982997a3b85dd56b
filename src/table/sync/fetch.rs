//! Fetches of tables and live list from peers that hold greater ones.

use std::net::SocketAddr;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::table::Stamp;
use crate::table::set::set_digest;
use crate::table::sync::Action;
use crate::table::sync::Core;
use crate::table::sync::FETCH_TIMEOUT;
use crate::table::sync::FetchKind;
use crate::table::sync::Source;
use crate::time::Millis;

/// Peers remembered that hold something greater.
const MAX_OFFERS: usize = 4;

/// Time after which a delta is asked of another peer.
///
/// Deltas are small. At 3 s, 2% of lost messages kept a change from the last
/// of 400 processes for 9.7 s. A delta that comes later is still taken.
const DELTA_TIMEOUT: Millis = Millis(750);

/// A fetch without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    call: u64,
    to: SocketAddr,
    sent: Millis,
    limit: Millis,
}

/// Peers that hold something greater, and the fetch in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetches {
    open: Option<Open>,
    offers: Vec<(SocketAddr, Stamp)>,
    /// A delta did not fit: ask for the whole text.
    whole: bool,
}

impl Fetches {
    /// True when a fetch is in progress.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Forgets everything, after a pause.
    pub fn clear(&mut self) {
        *self = Fetches::default();
    }

    fn add(&mut self, from: SocketAddr, stamp: Stamp) {
        if let Some(offer) = self.offers.iter_mut().find(|(addr, _)| *addr == from) {
            offer.1 = stamp;
            return;
        }
        if self.offers.len() >= MAX_OFFERS {
            self.offers.remove(0);
        }
        self.offers.push((from, stamp));
    }

    /// The peer with the greatest offer, the latest of equal ones.
    fn best(&self) -> Option<SocketAddr> {
        let best = self.offers.iter().max_by(|a, b| a.1.cmp(&b.1));
        best.map(|(addr, _)| *addr)
    }
}

impl Core {
    fn wants(&self, kind: FetchKind, stamp: &Stamp) -> bool {
        match kind {
            FetchKind::Tables => self.hold.wants(stamp),
            FetchKind::Live => !stamp.digest.is_empty() && stamp > self.live.stamp(),
        }
    }

    /// A peer holds `stamp`; fetches it if it is greater.
    pub(super) fn consider(
        &mut self,
        now: Millis,
        kind: FetchKind,
        from: SocketAddr,
        stamp: Stamp,
        out: &mut Vec<Action>,
    ) {
        if !self.wants(kind, &stamp) {
            return;
        }
        let fetch = &mut self.fetches[kind as usize];
        fetch.add(from, stamp);
        self.fetch(now, kind, out);
    }

    /// Starts the next fetch, unless one is in progress.
    fn fetch(&mut self, now: Millis, kind: FetchKind, out: &mut Vec<Action>) {
        let mut fetch = std::mem::take(&mut self.fetches[kind as usize]);
        fetch.offers.retain(|(_, stamp)| self.wants(kind, stamp));
        if fetch.open.is_none()
            && let Some(to) = fetch.best()
        {
            let call = self.call();
            let base = match kind {
                _ if fetch.whole => Stamp::default(),
                FetchKind::Tables => self.hold.stamp(),
                FetchKind::Live => self.live.stamp().clone(),
            };
            let limit = if base.digest.is_empty() {
                FETCH_TIMEOUT
            } else {
                DELTA_TIMEOUT
            };
            fetch.open = Some(Open {
                call,
                to,
                sent: now,
                limit,
            });
            self.counters.fetches += 1;
            self.detector.on_sent(now, to);
            out.push(Action::Fetch {
                call,
                to,
                kind,
                base,
            });
        }
        self.fetches[kind as usize] = fetch;
    }

    /// Gives up a fetch that has timed out and asks the next peer.
    pub(super) fn expire_fetch(&mut self, now: Millis, kind: FetchKind, out: &mut Vec<Action>) {
        let Some(open) = self.fetches[kind as usize].open else {
            return;
        };
        if now.since(open.sent) > open.limit {
            self.fetch_failed(now, kind, open.to, out);
        }
    }

    fn fetch_failed(
        &mut self,
        now: Millis,
        kind: FetchKind,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        self.detector.on_failure(now, from);
        let fetch = &mut self.fetches[kind as usize];
        fetch.open = None;
        fetch.whole = false;
        fetch.offers.retain(|(addr, _)| *addr != from);
        self.fetch(now, kind, out);
    }

    /// Takes the end of a fetch.
    ///
    /// A reply that is late or arrives twice is taken for its content: it is
    /// checked by digest and ordered by stamp like any other.
    pub(super) fn on_fetched(&mut self, now: Millis, reply: Fetched, out: &mut Vec<Action>) {
        let Fetched {
            call,
            from,
            kind,
            base,
            reply,
        } = reply;
        let fetch = &mut self.fetches[kind as usize];
        let current = fetch.open.is_some_and(|open| open.call == call);
        let Some(reply) = reply else {
            if current {
                self.fetch_failed(now, kind, from, out);
            }
            return;
        };
        self.heard(now, from);
        if current {
            self.fetches[kind as usize].open = None;
        }
        let taken = match kind {
            FetchKind::Tables => self.take_set(now, from, &base, &reply, out),
            FetchKind::Live => self.take_live(now, from, &base, &reply, out),
        };
        if current {
            let fetch = &mut self.fetches[kind as usize];
            let retry_whole = taken.is_err() && !base.digest.is_empty();
            fetch.whole = retry_whole;
            if taken.is_err() && !retry_whole {
                fetch.offers.retain(|(addr, _)| *addr != from);
            }
        }
        if let Err(error) = taken {
            self.report(error.code, format!("{from}: {}", error.detail), out);
        }
        self.fetch(now, kind, out);
    }

    fn take_set(
        &mut self,
        now: Millis,
        from: SocketAddr,
        base: &Stamp,
        reply: &FetchReply,
        out: &mut Vec<Action>,
    ) -> Result<()> {
        let stamp = Stamp {
            revision: reply.revision,
            digest: reply.digest.clone(),
        };
        let held = self.hold.stamp();
        if stamp.revision < held.revision && !stamp.digest.is_empty() {
            self.note_lower(&stamp, &format!("peer {from}"), out);
        }
        if !self.hold.wants(&stamp) {
            self.forget_offer(FetchKind::Tables, from);
            return Ok(());
        }
        if !reply.delta.is_empty() && *base != held {
            // Another set came into force while this one was on its way.
            return Ok(());
        }
        let (routes, pools) = self.hold.texts(base, reply)?;
        if set_digest(&routes, &pools) != stamp.digest {
            return Err(Error::new(
                Code::ProtocolInvalid,
                format!("texts have another digest than revision {}", stamp.revision),
            ));
        }
        self.counters.deltas += u64::from(!reply.delta.is_empty());
        self.counters.wholes += u64::from(reply.delta.is_empty());
        match (self.settings.parsers.set)(&routes, &pools) {
            Ok(set) => self.offer(now, set, Source::Peer(from), out),
            Err(error) => self.refuse(&stamp.digest, error, out),
        }
        Ok(())
    }

    fn take_live(
        &mut self,
        now: Millis,
        from: SocketAddr,
        base: &Stamp,
        reply: &FetchReply,
        out: &mut Vec<Action>,
    ) -> Result<()> {
        if !reply.delta.is_empty() && *base != *self.live.stamp() {
            return Ok(());
        }
        let parse = self.settings.parsers.live.clone();
        if self.live.take(base, reply, &parse)? {
            self.live_changed(now, Some(from), out);
        } else {
            self.forget_offer(FetchKind::Live, from);
        }
        Ok(())
    }

    /// Drops what a peer offered when it turns out not to hold it any more.
    fn forget_offer(&mut self, kind: FetchKind, from: SocketAddr) {
        let fetch = &mut self.fetches[kind as usize];
        fetch.offers.retain(|(addr, _)| *addr != from);
    }
}

/// The end of a fetch, as in [`super::Event::Fetched`].
pub(super) struct Fetched {
    pub call: u64,
    pub from: SocketAddr,
    pub kind: FetchKind,
    pub base: Stamp,
    pub reply: Option<Arc<FetchReply>>,
}
