//! Fetches of tables and the live list from peers that hold greater stamps.

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

/// Maximum number of peers kept that have offered a greater stamp.
const MAX_OFFERS: usize = 4;

/// Time after which another peer is asked for a delta.
///
/// Deltas are small, so they arrive soon. With 3 s and 2% of messages lost, the
/// last of 400 processes got a change after 9.7 s. A delta that arrives later is
/// still applied.
const DELTA_TIMEOUT: Millis = Millis(750);

/// A fetch that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenFetch {
    call: u64,
    to: SocketAddr,
    sent: Millis,
    timeout: Millis,
}

/// Peers that hold a greater stamp, and the open fetch.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetches {
    open: Option<OpenFetch>,
    /// Latest greater stamp of each peer that has one.
    offers: Vec<(SocketAddr, Stamp)>,
    /// True when a delta did not fit, so that the next fetch asks for whole texts.
    ask_full: bool,
}

impl Fetches {
    /// Returns true while a fetch is open.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Drops the open fetch and all offers, after a pause of this process.
    pub fn clear(&mut self) {
        *self = Fetches::default();
    }

    /// Records that the peer `from` has `stamp`. The oldest offer is dropped if
    /// there are too many.
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

    /// Returns the peer with the greatest stamp, the last added of equal ones.
    fn best(&self) -> Option<SocketAddr> {
        let best = self.offers.iter().max_by(|a, b| a.1.cmp(&b.1));
        best.map(|(addr, _)| *addr)
    }
}

impl Core {
    /// Returns true when the content with `stamp` should be fetched.
    fn wants(&self, kind: FetchKind, stamp: &Stamp) -> bool {
        match kind {
            FetchKind::Tables => self.active.wants(stamp),
            FetchKind::Live => !stamp.digest.is_empty() && stamp > self.live.stamp(),
        }
    }

    /// Handles that the peer `from` holds `stamp`: fetches it if it is greater.
    pub(super) fn on_peer_stamp(
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
        self.start_fetch(now, kind, out);
    }

    /// Starts a fetch from the best peer, unless a fetch is open or none is needed.
    fn start_fetch(&mut self, now: Millis, kind: FetchKind, out: &mut Vec<Action>) {
        let mut fetch = std::mem::take(&mut self.fetches[kind as usize]);
        fetch.offers.retain(|(_, stamp)| self.wants(kind, stamp));
        if fetch.open.is_none()
            && let Some(to) = fetch.best()
        {
            let call = self.new_call();
            let base = match kind {
                _ if fetch.ask_full => Stamp::default(),
                FetchKind::Tables => self.active.stamp(),
                FetchKind::Live => self.live.stamp().clone(),
            };
            let timeout = if base.digest.is_empty() {
                FETCH_TIMEOUT
            } else {
                DELTA_TIMEOUT
            };
            fetch.open = Some(OpenFetch {
                call,
                to,
                sent: now,
                timeout,
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

    /// Ends a fetch that has timed out and asks the next peer.
    pub(super) fn expire_fetch(&mut self, now: Millis, kind: FetchKind, out: &mut Vec<Action>) {
        let Some(open) = self.fetches[kind as usize].open else {
            return;
        };
        if now.since(open.sent) > open.timeout {
            self.fetch_failed(now, kind, open.to, out);
        }
    }

    /// Drops the open fetch and the offer of its peer, and asks the next peer.
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
        fetch.ask_full = false;
        fetch.offers.retain(|(addr, _)| *addr != from);
        self.start_fetch(now, kind, out);
    }

    /// Handles the end of a fetch.
    ///
    /// A reply that is late or repeated is used as well: it is checked by digest
    /// and ordered by stamp like any other.
    pub(super) fn on_fetched(&mut self, now: Millis, fetched: Fetched, out: &mut Vec<Action>) {
        let Fetched {
            call,
            from,
            kind,
            base,
            reply,
        } = fetched;
        let fetch = &mut self.fetches[kind as usize];
        let is_current = fetch.open.is_some_and(|open| open.call == call);
        let Some(reply) = reply else {
            if is_current {
                self.fetch_failed(now, kind, from, out);
            }
            return;
        };
        self.record_progress(now, from);
        if is_current {
            self.fetches[kind as usize].open = None;
        }
        let applied = match kind {
            FetchKind::Tables => self.apply_set_reply(now, from, &base, &reply, out),
            FetchKind::Live => self.apply_live_reply(now, from, &base, &reply, out),
        };
        if is_current {
            let fetch = &mut self.fetches[kind as usize];
            let retry_full = applied.is_err() && !base.digest.is_empty();
            fetch.ask_full = retry_full;
            if applied.is_err() && !retry_full {
                fetch.offers.retain(|(addr, _)| *addr != from);
            }
        }
        if let Err(error) = applied {
            self.report(error.code, format!("{from}: {}", error.detail), out);
        }
        self.start_fetch(now, kind, out);
    }

    /// Checks a table set in a reply and offers it. Returns an error when the reply
    /// does not fit its stamp or base.
    fn apply_set_reply(
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
        let held = self.active.stamp();
        if stamp.revision < held.revision && !stamp.digest.is_empty() {
            self.report_lower(&stamp, &format!("peer {from}"), out);
        }
        if !self.active.wants(&stamp) {
            self.drop_offer(FetchKind::Tables, from);
            return Ok(());
        }
        if !reply.delta.is_empty() && *base != held {
            // Another set came into force after this delta was requested.
            return Ok(());
        }
        let (routes, pools) = self.active.reply_texts(base, reply)?;
        if set_digest(&routes, &pools) != stamp.digest {
            return Err(Error::new(
                Code::ProtocolInvalid,
                format!(
                    "texts do not match the digest of revision {}",
                    stamp.revision
                ),
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

    /// Checks a live list in a reply and uses it if it is greater. Returns an error
    /// when the reply does not fit its stamp or base.
    fn apply_live_reply(
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
        if self.live.apply_reply(base, reply, &parse)? {
            self.live_changed(now, Some(from), out);
        } else {
            self.drop_offer(FetchKind::Live, from);
        }
        Ok(())
    }

    /// Drops the offer of a peer that turned out not to hold a greater stamp.
    fn drop_offer(&mut self, kind: FetchKind, from: SocketAddr) {
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
