//! The set in force, its order, and what was refused.

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

/// Refusals remembered.
const MAX_REFUSED: usize = 16;

/// Replies remembered, since peers that are behind mostly share a base.
const MAX_REPLIES: usize = 4;

common! { value
/// A set that was refused, and why.
#[derive(serde::Serialize)]
pub struct Refusal {
    /// Digest over its texts.
    pub digest: String,
    /// Result code, as `E` and a number.
    pub code: String,
    /// What is wrong with it.
    pub detail: String,
}
}

common! { value
/// Two contents of one revision.
#[derive(serde::Serialize)]
pub struct Conflict {
    /// The revision.
    pub revision: u64,
    /// Digest of the content in force.
    pub in_force: String,
    /// Digest of the other content.
    pub other: String,
}
}

common! { key
/// What became of a set that was offered.
pub enum Outcome {
    /// It is in force now.
    Activated,
    /// It was in force already.
    Unchanged,
    /// It is older than the set in force.
    LowerRevision,
    /// It has the revision of the set in force but the smaller digest.
    SmallerDigest,
}
}

/// The set in force.
///
/// # Invariants
///
/// The stamp only grows while the process lives.
#[derive(Clone, Debug, Default)]
pub struct ActiveSet {
    set: Option<Arc<TableSet>>,
    history: History,
    refused: VecDeque<Refusal>,
    conflict: Option<Conflict>,
    lower: Option<Stamp>,
    replies: Vec<(Stamp, Arc<FetchReply>)>,
}

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
    /// The set in force.
    pub fn set(&self) -> Option<&Arc<TableSet>> {
        self.set.as_ref()
    }

    /// Stamp of the set in force; the default when there is none.
    pub fn stamp(&self) -> Stamp {
        self.set
            .as_ref()
            .map(|set| set.stamp.clone())
            .unwrap_or_default()
    }

    /// True when `stamp` is above the set in force and was not refused.
    pub fn wants(&self, stamp: &Stamp) -> bool {
        let above = self.set.as_ref().is_none_or(|set| *stamp > set.stamp);
        above && !stamp.digest.is_empty() && !self.is_refused(&stamp.digest)
    }

    /// Offers a valid set, which comes into force if it is greater.
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

    /// Notes that a peer holds other content of the revision in force.
    ///
    /// True when this conflict was not known.
    pub fn note_conflict(&mut self, stamp: &Stamp) -> bool {
        let Some(held) = &self.set else {
            return false;
        };
        let same = stamp.revision == held.stamp.revision;
        if !same || stamp.digest >= held.stamp.digest || stamp.digest.is_empty() {
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

    /// Remembers a refusal; false when it was known.
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

    /// True when the set with this digest was refused.
    pub fn is_refused(&self, digest: &str) -> bool {
        self.refused.iter().any(|r| r.digest == digest)
    }

    /// Sets that were refused, latest last.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.refused.iter()
    }

    /// Number of former sets that can be rebuilt.
    pub fn history(&self) -> usize {
        self.history.len()
    }

    /// Conflict about the revision in force.
    pub fn conflict(&self) -> Option<&Conflict> {
        self.conflict.as_ref()
    }

    /// Stamp of the last set that was ignored because its revision is lower.
    pub fn lower(&self) -> Option<&Stamp> {
        self.lower.as_ref()
    }

    /// The set in force for a peer that holds `base`: a delta if one can be made.
    pub fn reply(&mut self, base: &Stamp) -> Arc<FetchReply> {
        if let Some((_, reply)) = self.replies.iter().find(|(held, _)| held == base) {
            return reply.clone();
        }
        let reply = Arc::new(self.make_reply(base));
        if self.replies.len() >= MAX_REPLIES {
            self.replies.remove(0);
        }
        self.replies.push((base.clone(), reply.clone()));
        reply
    }

    fn make_reply(&self, base: &Stamp) -> FetchReply {
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

    /// The texts that a reply stands for: whole, or its delta applied to the
    /// set in force, which must be its base.
    pub fn texts(&self, base: &Stamp, reply: &FetchReply) -> Result<(String, String), Error> {
        if reply.delta.is_empty() {
            return Ok((reply.routes.clone(), reply.pools.clone()));
        }
        let invalid = |detail: &str| Error::new(Code::ProtocolInvalid, detail);
        let set = self.set.as_ref().filter(|set| set.stamp == *base);
        let set = set.ok_or_else(|| invalid("delta from a base that is not held"))?;
        let texts = delta::apply(&docs(set), &reply.delta);
        let texts: [String; 2] = texts
            .and_then(|texts| texts.try_into().ok())
            .ok_or_else(|| invalid("delta does not fit its base"))?;
        let [routes, pools] = texts;
        Ok((routes, pools))
    }
}
