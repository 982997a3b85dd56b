//! The live list in use. It is only a hint, and may go back to an older state.

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::member::Live;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::table::Stamp;
use crate::table::delta;
use crate::table::delta::Doc;
use crate::table::delta::History;
use crate::table::sync::ParseLive;
use crate::table::sync::Reading;
use crate::util;

/// The live list in use at this process.
///
/// Its stamp is the platform's index and the digest of the text. When a reader
/// sees the platform's list change, it gives the list an index above the one in
/// use, so that a list that went back reaches the other processes as well.
#[derive(Clone, Debug, Default)]
pub struct ActiveLive {
    stamp: Stamp,
    text: Arc<str>,
    live: Arc<Live>,
    history: History,
    /// Index and digest that this process last read from the platform.
    last_read: Option<(u64, String)>,
    /// Last reply, with the stamp that the peer held.
    reply: Option<(Stamp, Arc<FetchReply>)>,
}

/// Returns the document that deltas of the list are made for.
fn doc(text: &str) -> [Doc<'_>; 1] {
    [Doc {
        table: "live",
        text,
    }]
}

impl ActiveLive {
    /// Returns the list in use; empty before the first.
    pub fn live(&self) -> &Arc<Live> {
        &self.live
    }

    /// Returns the stamp of the list in use; the default when there is none.
    pub fn stamp(&self) -> &Stamp {
        &self.stamp
    }

    /// Applies a value read from the platform. Returns true when the list in use
    /// changed.
    ///
    /// A value equal to the one read before is ignored, so that a replica of the
    /// platform that is behind does not undo what has come from peers since.
    pub fn apply_reading(&mut self, reading: &Reading, parse: &ParseLive) -> Result<bool> {
        let digest = util::digest(reading.text.as_bytes());
        let latest = Some((reading.index, digest.clone()));
        if self.last_read == latest {
            return Ok(false);
        }
        self.last_read = latest;
        if digest == self.stamp.digest {
            return Ok(false);
        }
        let live = parse(&reading.text)?;
        let stamp = Stamp {
            revision: reading.index.max(self.stamp.revision + 1),
            digest,
        };
        self.replace(stamp, reading.text.clone(), live);
        Ok(true)
    }

    /// Applies a peer's reply. Returns true when the list in use changed.
    pub fn apply_reply(
        &mut self,
        base: &Stamp,
        reply: &FetchReply,
        parse: &ParseLive,
    ) -> Result<bool> {
        let stamp = Stamp {
            revision: reply.revision,
            digest: reply.digest.clone(),
        };
        if stamp <= self.stamp {
            return Ok(false);
        }
        let text = self.reply_text(base, reply)?;
        if util::digest(text.as_bytes()) != stamp.digest {
            return Err(Error::new(
                Code::ProtocolInvalid,
                "live list does not match its digest",
            ));
        }
        let live = parse(&text)?;
        self.replace(stamp, text.into(), live);
        Ok(true)
    }

    /// Returns the text in a reply, either whole or from its delta applied to the
    /// list in use, which must have the stamp `base`.
    fn reply_text(&self, base: &Stamp, reply: &FetchReply) -> Result<String> {
        if reply.delta.is_empty() {
            return Ok(reply.live.clone());
        }
        let invalid = |detail: &str| Error::new(Code::ProtocolInvalid, detail);
        if *base != self.stamp {
            return Err(invalid("delta is based on a list that is not in use"));
        }
        delta::apply(&doc(&self.text), &reply.delta)
            .and_then(|texts| texts.into_iter().next())
            .ok_or_else(|| invalid("delta does not fit the list that it is based on"))
    }

    /// Replaces the list in use and keeps the old text for deltas.
    fn replace(&mut self, stamp: Stamp, text: Arc<str>, live: Arc<Live>) {
        assert!(stamp > self.stamp, "stamp of the live list does not grow");
        if !self.stamp.digest.is_empty() {
            self.history
                .push(self.stamp.clone(), &doc(&self.text), &doc(&text));
        }
        self.stamp = stamp;
        self.text = text;
        self.live = live;
        self.reply = None;
    }

    /// Returns the list in use for a peer that holds `base`: as a delta if one can
    /// be made, else as the whole text.
    pub fn reply(&mut self, base: &Stamp) -> Arc<FetchReply> {
        if let Some((held, reply)) = &self.reply
            && held == base
        {
            return reply.clone();
        }
        let mut reply = FetchReply {
            revision: self.stamp.revision,
            digest: self.stamp.digest.clone(),
            ..FetchReply::default()
        };
        match self.delta(base) {
            Some(changes) => reply.delta = changes,
            None => reply.live = self.text.to_string(),
        }
        let reply = Arc::new(reply);
        self.reply = Some((base.clone(), reply.clone()));
        reply
    }

    fn delta(&self, base: &Stamp) -> Option<Vec<crate::proto::Change>> {
        let present = doc(&self.text);
        let texts = self.history.rebuild(base, &present)?;
        delta::between(&doc(texts.first()?), &present)
    }
}
