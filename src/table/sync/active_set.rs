//! The table set in force, and the sets that were refused.

use std::collections::VecDeque;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::prelude::Arc;
use crate::proto::FetchReply;
use crate::table::Stamp;
use crate::table::TableSet;
use crate::table::delta;
use crate::table::delta::Doc;
use crate::table::delta::History;

/// Maximum number of refusals kept.
const MAX_REFUSED: usize = 16;

/// Maximum number of replies kept for reuse: most peers that are behind hold the
/// same set.
const MAX_REPLIES: usize = 4;

common! { value
/// A set that was refused, and the reason.
#[derive(serde::Serialize)]
pub struct Refusal {
    /// Digest of the set.
    pub digest: String,
    /// Result code, as `E` and a number.
    pub code: String,
    /// Description of the first fault.
    pub detail: String,
}
}

common! { value
/// Two sets that were published with the same revision.
#[derive(serde::Serialize)]
pub struct Conflict {
    /// The revision.
    pub revision: u64,
    /// Digest of the set in force, the greater of the two.
    pub in_force: String,
    /// Digest of the other set.
    pub other: String,
}
}

common! { key
/// Result of offering a set.
pub enum Outcome {
    /// It has come into force.
    Activated,
    /// It was in force already.
    Unchanged,
    /// It was ignored, as its revision is lower than that in force.
    LowerRevision,
    /// It was ignored: it has the revision in force, and a smaller digest.
    SmallerDigest,
}
}

/// The table set in force at this process.
///
/// # Invariants
///
/// The stamp only grows while the process runs.
#[derive(Clone, Debug, Default)]
pub struct ActiveSet {
    set: Option<Arc<TableSet>>,
    history: History,
    refused: VecDeque<Refusal>,
    /// Conflict about the revision in force.
    conflict: Option<Conflict>,
    /// Last stamp that was ignored for its lower revision.
    lower: Option<Stamp>,
    /// Replies for the set in force, by the stamp that the peer holds.
    replies: Vec<(Stamp, Arc<FetchReply>)>,
}

/// Returns the documents that deltas of a set are made for.
fn docs(set: &TableSet) -> [Doc<'_>; 2] {
    [
        Doc {
            table: "routes",
            text: &set.routes_text,
        },
        Doc {
            table: "pools",
            text: &set.pools_text,
        },
    ]
}

impl ActiveSet {
    /// Returns the set in force; `None` before the first.
    pub fn set(&self) -> Option<&Arc<TableSet>> {
        self.set.as_ref()
    }

    /// Returns the stamp of the set in force; the default when there is none.
    pub fn stamp(&self) -> Stamp {
        self.set
            .as_ref()
            .map(|set| set.stamp.clone())
            .unwrap_or_default()
    }

    /// Returns true when the set with this stamp should be fetched: it is greater
    /// than the set in force and was not refused.
    pub fn wants(&self, stamp: &Stamp) -> bool {
        let is_newer = self.set.as_ref().is_none_or(|set| *stamp > set.stamp);
        is_newer && !stamp.digest.is_empty() && !self.is_refused(&stamp.digest)
    }

    /// Offers a valid set, which comes into force if its stamp is greater. Of two
    /// sets with the same revision all processes choose the greater digest.
    pub fn offer(&mut self, set: Arc<TableSet>) -> Outcome {
        let Some(held) = self.set.clone() else {
            self.replace(set);
            return Outcome::Activated;
        };
        if set.stamp == held.stamp {
            return Outcome::Unchanged;
        }
        if set.stamp.revision < held.stamp.revision {
            self.lower = Some(set.stamp.clone());
            return Outcome::LowerRevision;
        }
        if set.stamp.revision == held.stamp.revision {
            let digest = std::cmp::max(&set.stamp.digest, &held.stamp.digest);
            let other = std::cmp::min(&set.stamp.digest, &held.stamp.digest);
            self.conflict = Some(Conflict {
                revision: held.stamp.revision,
                in_force: digest.clone(),
                other: other.clone(),
            });
            if set.stamp < held.stamp {
                return Outcome::SmallerDigest;
            }
        }
        self.replace(set);
        Outcome::Activated
    }

    /// Replaces the set in force and keeps the old texts for deltas.
    fn replace(&mut self, set: Arc<TableSet>) {
        if let Some(held) = &self.set {
            assert!(
                set.stamp > held.stamp,
                "tables would go back from {:?} to {:?}",
                held.stamp,
                set.stamp
            );
            self.history
                .push(held.stamp.clone(), &docs(held), &docs(&set));
        }
        let revision = set.stamp.revision;
        if self
            .conflict
            .as_ref()
            .is_some_and(|c| c.revision < revision)
        {
            self.conflict = None;
        }
        self.replies.clear();
        self.set = Some(set);
    }

    /// Records that a peer holds a different set with the revision in force and a
    /// smaller digest. Returns true when this conflict is new.
    pub fn record_conflict(&mut self, stamp: &Stamp) -> bool {
        let Some(held) = &self.set else {
            return false;
        };
        let is_same_revision = stamp.revision == held.stamp.revision;
        if !is_same_revision || stamp.digest >= held.stamp.digest || stamp.digest.is_empty() {
            return false;
        }
        let conflict = Conflict {
            revision: stamp.revision,
            in_force: held.stamp.digest.clone(),
            other: stamp.digest.clone(),
        };
        if self.conflict.as_ref() == Some(&conflict) {
            return false;
        }
        self.conflict = Some(conflict);
        true
    }

    /// Records that the set with this digest is refused. Returns false when it had
    /// been refused before.
    pub fn refuse(&mut self, digest: &str, error: &Error) -> bool {
        if self.is_refused(digest) {
            return false;
        }
        if self.refused.len() >= MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(Refusal {
            digest: digest.to_string(),
            code: error.code.to_string(),
            detail: error.detail.clone(),
        });
        true
    }

    /// Returns true when the set with this digest is among the last refused ones.
    pub fn is_refused(&self, digest: &str) -> bool {
        self.refused.iter().any(|r| r.digest == digest)
    }

    /// Iterates over the sets that were refused, latest last; at most 16.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.refused.iter()
    }

    /// Returns the number of earlier sets from which a delta can be made.
    pub fn history(&self) -> usize {
        self.history.len()
    }

    /// Returns the conflict about the revision in force.
    pub fn conflict(&self) -> Option<&Conflict> {
        self.conflict.as_ref()
    }

    /// Returns the stamp of the last set that was ignored for its lower revision.
    pub fn lower(&self) -> Option<&Stamp> {
        self.lower.as_ref()
    }

    /// Returns the set in force for a peer that holds `base`: as a delta if one can
    /// be made, else as whole texts.
    pub fn reply(&mut self, base: &Stamp) -> Arc<FetchReply> {
        if let Some((_, reply)) = self.replies.iter().find(|(held, _)| held == base) {
            return reply.clone();
        }
        let reply = Arc::new(self.build_reply(base));
        if self.replies.len() >= MAX_REPLIES {
            self.replies.remove(0);
        }
        self.replies.push((base.clone(), reply.clone()));
        reply
    }

    fn build_reply(&self, base: &Stamp) -> FetchReply {
        let Some(set) = &self.set else {
            return FetchReply::default();
        };
        let mut reply = FetchReply {
            revision: set.stamp.revision,
            digest: set.stamp.digest.clone(),
            ..FetchReply::default()
        };
        if let Some(changes) = self.delta(base, set) {
            reply.delta = changes;
        } else {
            reply.routes = set.routes_text.clone();
            reply.pools = set.pools_text.clone();
        }
        reply
    }

    fn delta(&self, base: &Stamp, set: &TableSet) -> Option<Vec<crate::proto::Change>> {
        let texts = self.history.rebuild(base, &docs(set))?;
        let [routes, pools] = &texts[..] else {
            return None;
        };
        let old = [
            Doc {
                table: "routes",
                text: routes,
            },
            Doc {
                table: "pools",
                text: pools,
            },
        ];
        delta::between(&old, &docs(set))
    }

    /// Returns the texts of routes and pools in a reply, either whole or from its
    /// delta applied to the set in force, which must have the stamp `base`.
    pub fn reply_texts(&self, base: &Stamp, reply: &FetchReply) -> Result<(String, String), Error> {
        if reply.delta.is_empty() {
            return Ok((reply.routes.clone(), reply.pools.clone()));
        }
        let invalid = |detail: &str| Error::new(Code::ProtocolInvalid, detail);
        let set = self.set.as_ref().filter(|set| set.stamp == *base);
        let set = set.ok_or_else(|| invalid("delta is based on a set that is not in force"))?;
        let texts = delta::apply(&docs(set), &reply.delta);
        let texts: [String; 2] = texts
            .and_then(|texts| texts.try_into().ok())
            .ok_or_else(|| invalid("delta does not fit the set that it is based on"))?;
        let [routes, pools] = texts;
        Ok((routes, pools))
    }
}
