//! Messages between the entries and agents on prepared machines, as protocol
//! buffers: datagrams over UDP, and changes of the replica over HTTP.
//!
//! Clocks of VMs differ, so messages state ages and times left instead of points
//! in time.

use crate::gate::crash_table::Crash;
use crate::gate::crash_table::Progress;
use crate::gate::crash_table::Report;
use crate::member::registry::Holding;
use crate::prelude::*;
use crate::retry::Refusal;
use crate::rollout::manifest::Digest;
use crate::rollout::pieces::PieceDigests;
use crate::rollout::versions::Dating;
use crate::rollout::versions::NamedVersion;
use crate::rollout::versions::Naming;
use crate::route::admission::Counts;
use crate::route::admission::KindId;
use crate::route::estimate::Summary;
use crate::route::rate_share::Statement;
use crate::route::work::Load;
use crate::table::packing;
use crate::table::packing::Packed;
use crate::table::packing::Packer;
use crate::table::replica::Delta;
use crate::table::replica::Doc;
use crate::table::replica::Position;
use crate::table::replica::Replica;

/// State of a process, which it sends to others many times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Name of the sender's VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// True for an entry, false for an agent.
    #[prost(bool, tag = "2")]
    pub entry: bool,
    /// Availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address of the sender's VM.
    #[prost(string, tag = "4")]
    pub ip: String,
    /// When the sender started, in Unix milliseconds.
    #[prost(fixed64, tag = "5")]
    pub born: u64,
    /// Revision up to which the sender's replica is complete.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// Calls in progress of an entry, by upstream.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<LoadDoc>,
    /// State of an agent's runner; none while the runner does not answer.
    #[prost(message, optional, tag = "9")]
    pub status: Option<StatusDoc>,
    /// Other processes that the sender knows.
    #[prost(message, repeated, tag = "10")]
    pub peers: Vec<PeerDoc>,
    /// True when the sender asks for a datagram in return.
    #[prost(bool, tag = "12")]
    pub hello: bool,
    /// True when the sender is an entry that reads the store and can be relied on
    /// for its changes.
    #[prost(bool, tag = "14")]
    pub reads: bool,
    /// Time for which the store has answered the sender without an outage, in
    /// milliseconds; 0 when it does not read.
    #[prost(uint64, tag = "15")]
    pub served_for: u64,
    /// Requests that an entry refused shortly before.
    #[prost(message, repeated, tag = "13")]
    pub refused: Vec<RefusedDoc>,
    /// Versions of weights that the operator named lately.
    #[prost(message, repeated, tag = "16")]
    pub named: Vec<NamedDoc>,
    /// Longest time until the next datagram to the receiver, in milliseconds; 0 when
    /// the sender does not say.
    #[prost(uint32, tag = "17")]
    pub interval: u32,
    /// Changes of the replica after `since`; none when nothing has changed or they do
    /// not fit.
    #[prost(message, optional, tag = "18")]
    pub changes: Option<DeltaDoc>,
    /// Revision that a replica must have reached for `changes` to complete it.
    #[prost(uint64, tag = "19")]
    pub since: u64,
    /// What the sender has seen of requests that may crash upstreams.
    #[prost(message, repeated, tag = "20")]
    pub suspects: Vec<SuspectDoc>,
    /// The end of an agent's runner; none unless it has ended shortly before.
    #[prost(message, optional, tag = "21")]
    pub ended: Option<EndDoc>,
    /// Limits that an entry has read in answers of upstreams.
    #[prost(message, repeated, tag = "22")]
    pub limits: Vec<LimitDoc>,
    /// Like `changes`, with packed values. Earlier releases would take these for removals,
    /// so they are not in `changes`.
    #[prost(message, optional, tag = "23")]
    pub packed: Option<DeltaDoc>,
    /// Era of the store to which `revision` belongs.
    #[prost(uint64, tag = "24")]
    pub era: u64,
    /// Requests that an entry was offered and has admitted lately, by kind.
    #[prost(message, repeated, tag = "25")]
    pub kinds: Vec<KindDoc>,
    /// The same of all entries of the sender's zone, for entries of other zones.
    #[prost(message, repeated, tag = "26")]
    pub zone_kinds: Vec<KindDoc>,
    /// What an entry has observed of the cost of requests.
    #[prost(message, repeated, tag = "27")]
    pub estimates: Vec<SummaryDoc>,
}

impl Datagram {
    /// Returns how far the sender's replica is complete.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Sets the changes of the replica after the revision `since`.
    pub fn set_changes(&mut self, changes: Option<DeltaDoc>, since: u64) {
        self.since = if changes.is_some() { since } else { 0 };
        let is_packed = changes.as_ref().is_some_and(DeltaDoc::is_packed);
        (self.changes, self.packed) = match is_packed {
            true => (None, changes),
            false => (changes, None),
        };
    }
}

/// Requests of one kind at an entry, decayed over time.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct KindDoc {
    /// Hash of the names of the pool and of the route.
    #[prost(fixed64, tag = "1")]
    pub route: u64,
    /// Hash of the name of the pool.
    #[prost(fixed64, tag = "2")]
    pub pool: u64,
    /// Rank of the requests; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Requests that arrived, in tenths.
    #[prost(uint32, tag = "4")]
    pub offered: u32,
    /// Requests that were sent to an upstream, in tenths.
    #[prost(uint32, tag = "5")]
    pub admitted: u32,
    /// Objective of the route, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub objective: u32,
}

impl KindDoc {
    /// Encodes the counts of a kind.
    pub fn new(kind: KindId, counts: &Counts) -> KindDoc {
        KindDoc {
            route: kind.route,
            pool: kind.pool,
            rank: u32::from(kind.rank),
            offered: (counts.offered * 10.0).round() as u32,
            admitted: (counts.admitted * 10.0).round() as u32,
            objective: counts.objective as u32,
        }
    }

    /// Decodes the counts of a kind.
    pub fn to_counts(self) -> (KindId, Counts) {
        let kind = KindId {
            route: self.route,
            pool: self.pool,
            rank: self.rank.min(u32::from(u8::MAX)) as u8,
        };
        let counts = Counts {
            offered: f64::from(self.offered) / 10.0,
            admitted: f64::from(self.admitted) / 10.0,
            objective: f64::from(self.objective),
        };
        (kind, counts)
    }
}

/// A version of weights that the operator named.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NamedDoc {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Longest time for which it can have been named, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age: u64,
    /// True when it may have been named much later than that, as nobody read the store.
    #[prost(bool, tag = "4")]
    pub earliest: bool,
}

/// A refused request, which may come again at another entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RefusedDoc {
    /// First eight bytes of its fingerprint.
    #[prost(fixed64, tag = "1")]
    pub print: u64,
    /// Time since its first attempt arrived, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age: u32,
    /// Time until its caller gives up, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub left: u32,
}

/// Calls of an entry to one upstream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadDoc {
    /// Hash of the upstream's id.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Calls in progress.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
    /// Predicted time for reading the prompts of the calls without a first event
    /// yet, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
    /// Calls without a first event.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Output still expected of calls with a first event, in units of 8 tokens.
    #[prost(uint32, tag = "5")]
    pub left: u32,
    /// Output expected of calls without a first event, in units of 8 tokens.
    #[prost(uint32, tag = "6")]
    pub fresh: u32,
    /// Expected number of calls that end soon, in sixteenths; see [`Load::soon`].
    #[prost(uint32, tag = "7")]
    pub soon: u32,
    /// Memory that the calls may need, in units of 64 tokens, rounded up; 0 when the
    /// sender does not state what is left.
    #[prost(uint32, tag = "8")]
    pub memory: u32,
}

/// Tokens in a unit of [`LoadDoc::left`] and [`LoadDoc::memory`], and part of a call in one of
/// [`LoadDoc::soon`].
const LEFT_UNIT: f64 = 8.0;
const MEMORY_UNIT: f64 = 64.0;
const SOON_UNIT: f64 = 1.0 / 16.0;

impl LoadDoc {
    /// Encodes the load of an upstream.
    pub fn new(upstream: u64, load: &Load) -> LoadDoc {
        LoadDoc {
            upstream,
            calls: load.calls,
            unread: load.unread_ms as u32,
            waiting: load.waiting,
            left: (load.left / LEFT_UNIT).round() as u32,
            fresh: (load.fresh / LEFT_UNIT).round() as u32,
            soon: (load.soon / SOON_UNIT).round() as u32,
            memory: (load.memory / MEMORY_UNIT).ceil() as u32,
        }
    }

    /// Returns the hash of the upstream's id, and the load.
    pub fn to_load(&self) -> (u64, Load) {
        let load = Load {
            calls: self.calls,
            waiting: self.waiting.min(self.calls),
            unread_ms: f64::from(self.unread),
            left: f64::from(self.left) * LEFT_UNIT,
            fresh: f64::from(self.fresh) * LEFT_UNIT,
            soon: f64::from(self.soon) * SOON_UNIT,
            memory: f64::from(self.memory) * MEMORY_UNIT,
        };
        (self.upstream, load)
    }

    /// Returns the figures whose change is told at once; the others change all the time.
    pub fn key(&self) -> (u64, u32, u32) {
        (self.upstream, self.calls, self.unread)
    }
}

/// Observations of an entry on one group of requests; see [`Summary`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SummaryDoc {
    /// The group.
    #[prost(fixed64, tag = "1")]
    pub group: u64,
    /// Number of the latest observation among all of the entry.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Weight of all observations, in sixteenths.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Weight of those with a caller's estimate, in sixteenths.
    #[prost(uint32, tag = "4")]
    pub hinted: u32,
    /// First bucket with a share.
    #[prost(uint32, tag = "5")]
    pub first: u32,
    /// Shares of the buckets, relative to the largest as 255.
    #[prost(bytes = "vec", tag = "6")]
    pub shares: Vec<u8>,
    /// Means, variances and covariance of logarithms, in hundredths.
    #[prost(sint32, repeated, tag = "7")]
    pub logs: Vec<i32>,
}

impl SummaryDoc {
    /// Encodes the observations on a group.
    pub fn new(summary: &Summary) -> SummaryDoc {
        SummaryDoc {
            group: summary.group,
            number: summary.number,
            weight: summary.weight,
            hinted: summary.hinted,
            first: summary.first,
            shares: summary.shares.clone(),
            logs: summary.logs.clone(),
        }
    }

    /// Returns the observations.
    pub fn to_summary(&self) -> Summary {
        Summary {
            group: self.group,
            number: self.number,
            weight: self.weight,
            hinted: self.hinted,
            first: self.first,
            shares: self.shares.clone(),
            logs: self.logs.clone(),
        }
    }
}

/// State of a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusDoc {
    /// Id of the runner's incarnation.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Models that it holds.
    #[prost(message, repeated, tag = "2")]
    pub holdings: Vec<HoldingDoc>,
    /// True while it loads weights and takes no requests.
    #[prost(bool, tag = "3")]
    pub busy: bool,
    /// Requests that run or wait.
    #[prost(uint32, tag = "4")]
    pub calls: u32,
    /// Time that work takes now, in percent of the usual.
    #[prost(uint32, tag = "5")]
    pub pace: u32,
    /// Age of these figures, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub age: u32,
    /// Version of which the agent can serve every piece; 0 for none.
    #[prost(uint64, tag = "9")]
    pub complete: u64,
    /// Time until the runner is to load another version, in milliseconds; none
    /// when no load is planned.
    #[prost(uint32, optional, tag = "10")]
    pub turn: Option<u32>,
    /// Time for which the runner is still cold, in milliseconds; none when it is not.
    #[prost(uint32, optional, tag = "11")]
    pub cold: Option<u32>,
    /// Tokens in its memory that cannot be evicted; none when it does not say.
    #[prost(uint32, optional, tag = "12")]
    pub used: Option<u32>,
}

/// A model that a runner holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HoldingDoc {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Layers that are loaded; none when the runner did not say.
    #[prost(uint32, optional, tag = "3")]
    pub layers: Option<u32>,
}

/// A process that the sender knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerDoc {
    /// Name of its VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// True for an entry.
    #[prost(bool, tag = "2")]
    pub entry: bool,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address of its VM.
    #[prost(string, tag = "4")]
    pub ip: String,
}

/// The limit that an upstream names for the requests of all entries.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LimitDoc {
    /// Hash of the upstream's id.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Requests a second; none when it names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// The end of a runner's process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndDoc {
    /// Id of the runner's incarnation.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Time since it was noticed, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age: u32,
}

/// What one process has seen of a signature of requests that may crash upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectDoc {
    /// The signature.
    #[prost(fixed64, tag = "1")]
    pub signature: u64,
    /// True for a part of prompts, false for a whole request.
    #[prost(bool, tag = "2")]
    pub part: bool,
    /// Crashes that the sender has noticed.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<CrashDoc>,
    /// Time since the last event of an answer, in milliseconds; none when there was none.
    #[prost(uint32, optional, tag = "4")]
    pub answered: Option<u32>,
    /// Crashes that the sender has heard of, when there are several.
    #[prost(message, repeated, tag = "5")]
    pub heard: Vec<CrashDoc>,
    /// Time since an answer last ended whole, in milliseconds; none when none has.
    #[prost(uint32, optional, tag = "6")]
    pub finished: Option<u32>,
}

/// A crash of an upstream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CrashDoc {
    /// Hash of the upstream's id.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Time since it was noticed, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age: u32,
    /// How much it counts, for releases that do not read `progress`.
    #[prost(uint32, tag = "3")]
    pub points: u32,
    /// How far the upstream had come with the request: 1 had sent nothing, 2 the head of an
    /// answer, 3 an event of it; 0 when an earlier release does not say.
    #[prost(uint32, tag = "4")]
    pub progress: u32,
    /// True when requests with the signature were answered shortly before.
    #[prost(bool, tag = "5")]
    pub sound: bool,
}

/// Changes of the replica after a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeltaDoc {
    /// True when this is the whole content, so that other keys do not exist.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// Revision up to which the changes are complete.
    #[prost(uint64, tag = "2")]
    pub upto: u64,
    /// Changed keys.
    #[prost(message, repeated, tag = "3")]
    pub docs: Vec<KeyDoc>,
    /// Rest of the grace period for missing registrations at the sender, in
    /// milliseconds; 0 unless the store has just returned.
    #[prost(uint32, tag = "4")]
    pub left: u32,
    /// Versions of weights that were named, as the sender dates them.
    #[prost(message, repeated, tag = "5")]
    pub named: Vec<NamedDoc>,
    /// Era of the store to which the revisions belong.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// One key of the replica.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyDoc {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value; none when it was removed, or is in `packed`.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
    /// Its value in packed form.
    #[prost(message, optional, tag = "4")]
    pub packed: Option<PackedDoc>,
}

/// A value in packed form; see [`Packed`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PackedDoc {
    /// Revision of the value that it was compressed against; 0 for none.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Length of the value, in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// The compressed value.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
}

impl PackedDoc {
    fn new(packed: Packed) -> PackedDoc {
        PackedDoc {
            base: packed.base,
            length: packed.length as u64,
            bytes: packed.bytes,
        }
    }

    fn into_packed(self) -> Packed {
        Packed {
            base: self.base,
            length: self.length as usize,
            bytes: self.bytes,
        }
    }
}

/// Digests of the pieces of a version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DigestsDoc {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Digest of each piece, as `sha256:` and 64 hexadecimal digits.
    #[prost(string, repeated, tag = "3")]
    pub pieces: Vec<String>,
}

impl DigestsDoc {
    /// Encodes the digests of a version.
    pub fn new(digests: &PieceDigests) -> DigestsDoc {
        DigestsDoc {
            model: digests.model.clone(),
            version: digests.version,
            pieces: digests.pieces.iter().map(Digest::to_string).collect(),
        }
    }

    /// Returns the digests; fails with [`Code::ManifestCorrupt`] when they cannot be
    /// decoded or are those of another model or version.
    pub fn to_digests(&self, model: &str, version: u64) -> Result<PieceDigests> {
        if self.model != model || self.version != version || self.pieces.is_empty() {
            let detail = format!("digests of {} {}", self.model, self.version);
            return Err(Error::new(Code::ManifestCorrupt, detail));
        }
        let pieces = self.pieces.iter().map(|text| text.parse::<Digest>());
        Ok(PieceDigests {
            model: self.model.clone(),
            version,
            pieces: pieces.collect::<Result<Vec<Digest>>>()?,
        })
    }
}

impl DeltaDoc {
    /// Encodes changes and the rest of the grace period.
    pub fn new(delta: Delta, left: Millis) -> DeltaDoc {
        let key = |doc: Doc| KeyDoc {
            key: doc.key.to_string(),
            revision: doc.revision,
            value: doc.value,
            packed: None,
        };
        DeltaDoc {
            era: delta.era,
            whole: delta.full,
            upto: delta.upto,
            docs: delta.docs.into_iter().map(key).collect(),
            left: left.0 as u32,
            named: Vec::new(),
        }
    }

    /// Adds the versions that were named, with their ages at `now`.
    pub fn with_named(
        mut self,
        now: Millis,
        named: impl Iterator<Item = NamedVersion>,
    ) -> DeltaDoc {
        self.named = named.map(|n| NamedDoc::new(now, &n)).collect();
        self
    }

    /// Packs the large values of `delta`, whose encoding this is, for a receiver that is
    /// complete at `revision`. Values that `replica` has from then serve as bases.
    pub fn pack(&mut self, delta: &Delta, revision: u64, replica: &Replica, packer: &mut Packer) {
        for (key, doc) in self.docs.iter_mut().zip(&delta.docs) {
            let base = match delta.full {
                true => None,
                false => replica.value_at(&doc.key, revision),
            };
            if let Some(packed) = packer.pack(delta.era, doc, base.as_ref()) {
                key.value = None;
                key.packed = Some(PackedDoc::new(packed));
            }
        }
    }

    /// Returns true when it has packed values.
    pub fn is_packed(&self) -> bool {
        self.docs.iter().any(|key| key.packed.is_some())
    }

    /// Unpacks the packed values against those of `replica`. Fails with
    /// [`Code::ProtocolInvalid`] when it lacks a base.
    pub fn unpack(&mut self, replica: &Replica) -> Result<()> {
        for key in &mut self.docs {
            let Some(packed) = key.packed.take() else {
                continue;
            };
            let packed = packed.into_packed();
            let held = replica.value_at(&key.key, packed.base);
            let base = match held {
                _ if packed.base == 0 => Bytes::new(),
                Some((revision, value)) if revision == packed.base => value,
                _ => {
                    let detail = format!("no value of {} at {}", key.key, packed.base);
                    return Err(Error::new(Code::ProtocolInvalid, detail));
                }
            };
            key.value = Some(packing::unpack(&packed, &base)?);
        }
        Ok(())
    }

    /// Returns the versions, dated by the receiver's clock.
    pub fn to_named(&self, now: Millis) -> Vec<NamedVersion> {
        self.named.iter().map(|doc| doc.to_named(now)).collect()
    }

    /// Returns the changes if they complete a replica at `revision`, whose last
    /// complete revision at the sender was `since`.
    pub fn completes(self, since: u64, revision: u64) -> Option<DeltaDoc> {
        let is_next = since <= revision && revision < self.upto;
        (revision > 0 && is_next && !self.whole).then_some(self)
    }

    /// Returns the rest of the grace period, when the fetch took `took`.
    ///
    /// All of `took` is subtracted, though the message was made within it:
    /// processes that fetch from each other would otherwise prolong the grace
    /// period without end.
    pub fn grace_left(&self, took: Millis) -> Millis {
        Millis(u64::from(self.left)).since(took)
    }

    /// Returns the changes of the replica.
    pub fn into_delta(self) -> Delta {
        let doc = |key: KeyDoc| Doc {
            key: key.key.into(),
            revision: key.revision,
            value: key.value,
        };
        Delta {
            era: self.era,
            full: self.whole,
            upto: self.upto,
            docs: self.docs.into_iter().map(doc).collect(),
        }
    }
}

impl NamedDoc {
    /// Encodes a named version, with its age at `now`.
    pub fn new(now: Millis, named: &NamedVersion) -> NamedDoc {
        NamedDoc {
            model: named.model.clone(),
            version: named.version,
            age: now.since(named.naming.at).0,
            earliest: named.naming.dating != Dating::Exact,
        }
    }

    /// Returns the version, dated by the receiver's clock.
    ///
    /// The time that the message took is not subtracted: a version would be dated
    /// earlier with each process that passes it on. If a message was slow, the
    /// next one corrects the date.
    pub fn to_named(&self, now: Millis) -> NamedVersion {
        NamedVersion {
            model: self.model.clone(),
            version: self.version,
            naming: Naming {
                at: now.since(Millis(self.age)),
                dating: if self.earliest {
                    Dating::Earliest
                } else {
                    Dating::Exact
                },
            },
        }
    }
}

impl RefusedDoc {
    /// Encodes a refusal, with its times relative to `now`.
    pub fn new(now: Millis, refused: &Refusal) -> RefusedDoc {
        RefusedDoc {
            print: refused.fingerprint,
            age: now.since(refused.first_arrival).0 as u32,
            left: refused.deadline.since(now).0 as u32,
        }
    }

    /// Returns the refusal, with its times by the receiver's clock.
    pub fn to_refusal(&self, now: Millis) -> Refusal {
        Refusal {
            fingerprint: self.print,
            first_arrival: now.since(Millis(u64::from(self.age))),
            deadline: now.plus(Millis(u64::from(self.left))),
        }
    }
}

impl LimitDoc {
    /// Encodes what an answer said of the limit, with its time relative to `now`.
    pub fn new(now: Millis, upstream: u64, stated: &Statement) -> LimitDoc {
        LimitDoc {
            upstream,
            rate: stated.rate,
            age: now.since(stated.at).0 as u32,
        }
    }
}

impl CrashDoc {
    /// Encodes a crash, with its time relative to `now`.
    fn new(now: Millis, crash: &Crash) -> CrashDoc {
        CrashDoc {
            upstream: crash.upstream,
            age: now.since(crash.at).0 as u32,
            points: crash.points(),
            progress: crash.progress.number(),
            sound: crash.sound,
        }
    }

    /// Returns the crash, with its time by the receiver's clock.
    fn to_crash(self, now: Millis) -> Crash {
        let (progress, sound) = Crash::decode_progress(self.progress, self.sound, self.points);
        Crash {
            upstream: self.upstream,
            at: now.since(Millis(u64::from(self.age))),
            progress,
            sound,
        }
    }

    /// True when the upstream had begun to answer.
    pub fn is_begun(&self) -> bool {
        self.to_crash(Millis(0)).progress == Progress::Head
    }
}

impl SuspectDoc {
    /// Encodes what was seen of a signature, with its times relative to `now`.
    pub fn new(now: Millis, report: &Report) -> SuspectDoc {
        let docs = |crashes: &[Crash]| crashes.iter().map(|c| CrashDoc::new(now, c)).collect();
        SuspectDoc {
            signature: report.signature,
            part: report.is_part,
            crashes: docs(&report.crashes),
            answered: report.answered.map(|at| now.since(at).0 as u32),
            finished: report.finished.map(|at| now.since(at).0 as u32),
            heard: docs(&report.heard),
        }
    }

    /// Returns what was seen, with its times by the receiver's clock.
    pub fn to_report(&self, now: Millis) -> Report {
        let crashes = |docs: &[CrashDoc]| docs.iter().map(|doc| doc.to_crash(now)).collect();
        Report {
            signature: self.signature,
            is_part: self.part,
            crashes: crashes(&self.crashes),
            heard: crashes(&self.heard),
            answered: self.answered.map(|age| now.since(Millis(u64::from(age)))),
            finished: self.finished.map(|age| now.since(Millis(u64::from(age)))),
        }
    }
}

impl HoldingDoc {
    /// Encodes a model that a runner holds.
    pub fn new(holding: &Holding) -> HoldingDoc {
        HoldingDoc {
            model: holding.model.clone(),
            version: holding.version,
            layers: holding.layers,
        }
    }

    /// Returns the model that the runner holds.
    pub fn to_holding(&self) -> Holding {
        Holding {
            model: self.model.clone(),
            version: self.version,
            layers: self.layers,
        }
    }
}
