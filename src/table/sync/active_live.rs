//! The live list in use: a hint, which may go back.

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

/// The live list in use.
///
/// Its stamp is the platform's index and the digest of the text. A reader
/// that sees the platform's list change to other content gives it an index
/// above the one in use, so that a list that went back spreads as well.
#[derive(Clone, Debug, Default)]
pub struct ActiveLive {
    stamp: Stamp,
    text: Arc<str>,
    live: Arc<Live>,
    history: History,
    /// What this process last read from the platform.
    last_read: Option<(u64, String)>,
    reply: Option<(Stamp, Arc<FetchReply>)>,
}

fn doc(text: &str) -> [Doc<'_>; 1] {
    [Doc {
        table: "live",
        text,
    }]
}

impl ActiveLive {
    /// The list.
    pub fn live(&self) -> &Arc<Live> {
        &self.live
    }

    /// Identity of the list; the default when there is none.
    pub fn stamp(&self) -> &Stamp {
        &self.stamp
    }

    /// Takes a reading of the platform; true when the list in use changed.
    ///
    /// A platform that repeats what it said before tells nothing new: a stale
    /// replica does not undo what came from peers meanwhile.
    pub fn read(&mut self, reading: &Reading, parse: &ParseLive) -> Result<bool> {
        let digest = util::digest(reading.text.as_bytes());
        let seen = Some((reading.index, digest.clone()));
        if self.last_read == seen {
            return Ok(false);
        }
        self.last_read = seen;
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

    /// Takes a peer's reply; true when the list in use changed.
    pub fn take(&mut self, base: &Stamp, reply: &FetchReply, parse: &ParseLive) -> Result<bool> {
        let stamp = Stamp {
            revision: reply.revision,
            digest: reply.digest.clone(),
        };
        if stamp <= self.stamp {
            return Ok(false);
        }
        let text = self.text_of(base, reply)?;
        if util::digest(text.as_bytes()) != stamp.digest {
            return Err(Error::new(
                Code::ProtocolInvalid,
                "live list has another digest",
            ));
        }
        let live = parse(&text)?;
        self.replace(stamp, text.into(), live);
        Ok(true)
    }

    fn text_of(&self, base: &Stamp, reply: &FetchReply) -> Result<String> {
        if reply.delta.is_empty() {
            return Ok(reply.live.clone());
        }
        let invalid = |detail: &str| Error::new(Code::ProtocolInvalid, detail);
        if *base != self.stamp {
            return Err(invalid("delta from a base that is not held"));
        }
        delta::apply(&doc(&self.text), &reply.delta)
            .and_then(|texts| texts.into_iter().next())
            .ok_or_else(|| invalid("delta does not fit its base"))
    }

    fn replace(&mut self, stamp: Stamp, text: Arc<str>, live: Arc<Live>) {
        assert!(stamp > self.stamp, "live list keeps its stamp");
        if !self.stamp.digest.is_empty() {
            self.history
                .push(self.stamp.clone(), &doc(&self.text), &doc(&text));
        }
        self.stamp = stamp;
        self.text = text;
        self.live = live;
        self.reply = None;
    }

    /// The list for a peer that holds `base`: a delta if one can be made.
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
