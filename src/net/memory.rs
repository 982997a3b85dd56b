//! Account of the memory and the connections that callers make a process hold.
//!
//! It addresses crowds that send large bodies, stop short of their end, send heads without an
//! end, leave connections idle or do not read their answers. Memory is reserved before it is
//! read into. A large body is reserved whole, so that bodies that are being read never wait for
//! each other; what finds no room waits, and whoever makes the least progress for what it holds
//! is closed.

use std::net::IpAddr;

use crate::prelude::*;

/// Largest holding that may use the whole account, in bytes. Larger ones leave a part to
/// ordinary requests, whose bodies have a few KB.
pub const SMALL: usize = 64 << 10;

/// Memory of a connection, in bytes: its task, and the buffers of the HTTP library. Measured:
/// 15 KB for an idle one.
pub const CONNECTION: usize = 16 << 10;

/// Largest memory of a connection while its heads are read, which divides the account into
/// connections, in bytes.
const BUSY_CONNECTION: usize = 32 << 10;

/// Memory of a request in progress, in bytes: its head, and the buffers of its answer on the way
/// from the upstream to the caller.
pub const REQUEST: usize = 48 << 10;

/// Memory of a process that serves nobody, in MB.
const OWN_MB: usize = 8;

/// Descriptors for files, listeners and the store.
const RESERVED_DESCRIPTORS: usize = 200;

/// Time that a holding gets for progress before it may be closed for another.
const GRACE: Millis = Millis(1_000);

/// Time for which nobody to close is searched for after a search found nobody: it looks at all
/// holders, and a crowd that waits asks all the time.
const SEARCH_GAP: Millis = Millis(20);

/// Time over which progress is averaged, in milliseconds.
const RATE_WINDOW: f64 = 1_000.0;

common! { key
/// Ports at which a connection arrives; each has a number of connections of its own.
pub enum Class {
    /// Those for callers.
    Callers,
    /// Those for other processes of the system and for operators.
    Internal,
}
}

common! { key
/// What a holder does with its memory.
pub enum Use {
    /// A connection without a request.
    Idle,
    /// A connection that has sent a part of a head.
    Head,
    /// A connection with a request in progress, or the whole body of one.
    Running,
    /// A body that is being read.
    Body,
    /// An answer that the caller has not read yet.
    Answer,
}
}

impl Use {
    /// Returns true when the holder may be closed to make room for others.
    fn may_end(self) -> bool {
        self != Use::Running
    }
}

common! { key
/// Size of an account.
pub struct Size {
    /// Memory, in bytes.
    pub bytes: usize,
    /// Most connections of callers.
    pub callers: usize,
    /// Most connections of other processes and operators.
    pub internal: usize,
}
}

impl Size {
    /// Returns the size for a machine: half of the memory that the process does not need itself,
    /// as freed memory is not all used again, and of the descriptors three eighths for callers and
    /// a quarter for internal ports. The rest is left for upstreams.
    pub fn of_machine(memory_mb: usize, max_fds: usize) -> Size {
        let bytes = (memory_mb.saturating_sub(OWN_MB) << 20) / 2;
        let fds = max_fds.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = bytes / BUSY_CONNECTION;
        Size {
            bytes,
            callers: (fds * 3 / 8).min(connections / 2).max(8),
            internal: (fds / 4).min(connections / 4).max(8),
        }
    }

    /// Returns the memory for all large holdings together.
    pub fn large(&self) -> usize {
        self.bytes / 4 * 3
    }

    /// Returns the memory for the large holdings of one source.
    pub fn source_large(&self) -> usize {
        self.large() / 4 * 3
    }

    /// Returns the memory for all holdings of one source.
    fn source_bytes(&self) -> usize {
        self.bytes / 8 * 7
    }

    /// Returns the most connections of a class.
    fn connections(&self, class: Class) -> usize {
        match class {
            Class::Callers => self.callers,
            Class::Internal => self.internal,
        }
    }
}

/// Recent progress, in bytes, which decays.
#[derive(Clone, Copy, Debug)]
struct Rate {
    bytes: f64,
    at: Millis,
}

impl Rate {
    fn value(&self, now: Millis) -> f64 {
        self.bytes * (-(now.since(self.at).0 as f64) / RATE_WINDOW).exp()
    }

    fn add(&mut self, now: Millis, bytes: usize) {
        self.bytes = self.value(now) + bytes as f64;
        self.at = now;
    }
}

/// One who holds memory: a connection, a body or an answer.
#[derive(Clone, Debug)]
pub struct Holder {
    class: Class,
    source: IpAddr,
    /// Connection of a body or an answer.
    parent: Option<Key<Holder>>,
    purpose: Use,
    bytes: usize,
    since: Millis,
    rate: Rate,
    is_closing: bool,
}

impl Holder {
    fn large(&self) -> usize {
        if self.bytes > SMALL { self.bytes } else { 0 }
    }
}

/// What is held for one source.
#[derive(Clone, Copy, Debug, Default)]
struct SourceSums {
    bytes: usize,
    large: usize,
    connections: [usize; 2],
    /// Times from which somebody to close for it is searched for again, for small and for large
    /// holdings.
    next_search: [Millis; 2],
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The memory is reserved.
    Granted,
    /// There is no room until this holder has been closed.
    Close(Key<Holder>),
    /// There is no room now, and nobody to close.
    Wait,
}

/// Memory and connections of a process, and who holds them.
#[derive(Clone, Debug)]
pub struct Account {
    size: Size,
    holders: Arena<Holder>,
    bytes: usize,
    large: usize,
    /// Bytes of holders that are being closed.
    closing: usize,
    connections: [usize; 2],
    sources: IndexMap<IpAddr, SourceSums>,
    /// Times from which somebody to close is searched for again, for small and for large
    /// holdings.
    next_search: [Millis; 2],
}

impl Account {
    /// Creates an account in which nothing is held.
    pub fn new(size: Size) -> Account {
        Account {
            size,
            holders: Arena::default(),
            bytes: 0,
            large: 0,
            closing: 0,
            connections: [0; 2],
            sources: IndexMap::new(),
            next_search: [Millis(0); 2],
        }
    }

    /// Returns the size.
    pub fn size(&self) -> Size {
        self.size
    }

    /// Changes the size. What is held stays held.
    pub fn set_size(&mut self, size: Size) {
        self.size = size;
    }

    /// Returns the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self, class: Class) -> usize {
        self.connections[class as usize]
    }

    /// Returns what a holder holds.
    pub fn held(&self, key: Key<Holder>) -> usize {
        self.holders.get(key).map_or(0, |h| h.bytes)
    }

    /// Adds a connection from `source`, or says which one must be closed before.
    ///
    /// Beyond the number of connections, the one that has been idle longest is closed, rather
    /// than the new one.
    pub fn connect(
        &mut self,
        now: Millis,
        class: Class,
        source: IpAddr,
    ) -> std::result::Result<Key<Holder>, Verdict> {
        let most = self.size.connections(class);
        let sums = self.sources.get(&source).copied().unwrap_or_default();
        let is_source_full = sums.connections[class as usize] >= (most / 4 * 3).max(1);
        if is_source_full || self.connections(class) >= most {
            let idle = self.holders.iter().filter(|(_, h)| {
                let is_idle = matches!(h.purpose, Use::Idle | Use::Head);
                is_idle
                    && !h.is_closing
                    && h.parent.is_none()
                    && h.class == class
                    && (!is_source_full || h.source == source)
            });
            let oldest = idle.min_by_key(|(_, h)| h.since);
            return Err(self.close(oldest.map(|(key, _)| key)));
        }
        let key = self.add(now, class, source, None, Use::Idle);
        self.connections[class as usize] += 1;
        self.sources.entry(source).or_default().connections[class as usize] += 1;
        match self.reserve(now, key, CONNECTION) {
            Verdict::Granted => Ok(key),
            verdict => {
                self.remove(key);
                Err(verdict)
            }
        }
    }

    /// Returns the connection of a body or an answer.
    fn connection_of(&self, key: Key<Holder>) -> Key<Holder> {
        self.holders.get(key).and_then(|h| h.parent).unwrap_or(key)
    }

    /// Adds a body, an answer or a request of the same connection as `parent`, which holds
    /// nothing yet.
    pub fn begin(&mut self, now: Millis, parent: Key<Holder>, purpose: Use) -> Key<Holder> {
        let parent = self.connection_of(parent);
        let held = self.holders.get(parent).map(|h| (h.class, h.source));
        let nowhere = IpAddr::from([0, 0, 0, 0]);
        let (class, source) = held.unwrap_or((Class::Internal, nowhere));
        self.add(now, class, source, Some(parent), purpose)
    }

    fn add(
        &mut self,
        now: Millis,
        class: Class,
        source: IpAddr,
        parent: Option<Key<Holder>>,
        purpose: Use,
    ) -> Key<Holder> {
        self.holders.insert(Holder {
            class,
            source,
            parent,
            purpose,
            bytes: 0,
            since: now,
            rate: Rate {
                bytes: 0.0,
                at: now,
            },
            is_closing: false,
        })
    }

    /// Raises what a holder holds to `total` bytes, or says who must be closed before; a holder
    /// that holds more keeps it.
    pub fn reserve(&mut self, now: Millis, key: Key<Holder>, total: usize) -> Verdict {
        let Some(holder) = self.holders.get(key) else {
            return Verdict::Wait;
        };
        let Some(added) = total.checked_sub(holder.bytes).filter(|a| *a > 0) else {
            return Verdict::Granted;
        };
        let large = if total > SMALL {
            total - holder.large()
        } else {
            0
        };
        let source = holder.source;
        let sums = self.sources.get(&source).copied().unwrap_or_default();
        let is_source_full = sums.bytes + added > self.size.source_bytes()
            || (large > 0 && sums.large + large > self.size.source_large());
        let is_full = self.bytes + added > self.size.bytes
            || (large > 0 && self.large + large > self.size.large());
        if !is_full && !is_source_full {
            self.set_bytes(key, total);
            return Verdict::Granted;
        }
        let kind = usize::from(large > 0);
        let gap = if is_source_full {
            sums.next_search[kind]
        } else {
            self.next_search[kind]
        };
        if self.closing >= added || now < gap {
            return Verdict::Wait;
        }
        let of_source = is_source_full.then_some(source);
        let victim = self.worst(now, key, large > 0, of_source);
        if victim.is_none() {
            let next = now.plus(SEARCH_GAP);
            match self.sources.get_mut(&source).filter(|_| is_source_full) {
                Some(sums) => sums.next_search[kind] = next,
                None => self.next_search[kind] = next,
            }
        }
        self.close(victim)
    }

    /// Returns who makes the least progress for what it holds, among those whose closing makes
    /// room for `key`.
    fn worst(
        &self,
        now: Millis,
        key: Key<Holder>,
        is_large: bool,
        source: Option<IpAddr>,
    ) -> Option<Key<Holder>> {
        let own = self.holders.get(key).and_then(|h| h.parent);
        let score = |holder: &Holder| {
            // An answer makes progress as its connection is written to.
            let writer = holder.parent.filter(|_| holder.purpose == Use::Answer);
            let writer = writer.and_then(|parent| self.holders.get(parent));
            writer.unwrap_or(holder).rate.value(now) / holder.bytes as f64
        };
        let candidates = self.holders.iter().filter(|(other, h)| {
            *other != key
                && Some(*other) != own
                && !h.is_closing
                && h.purpose.may_end()
                && h.bytes > 0
                && (!is_large || h.bytes > SMALL)
                && source.is_none_or(|s| h.source == s)
                && (h.purpose == Use::Idle || now.since(h.since) >= GRACE)
        });
        let least = candidates.min_by(|(_, a), (_, b)| {
            let order = score(a).total_cmp(&score(b));
            order.then(b.bytes.cmp(&a.bytes))
        });
        let (victim, holder) = least?;
        // What is left of an answer lies in the buffers of its connection.
        let connection = holder.parent.filter(|_| holder.purpose == Use::Answer);
        Some(connection.unwrap_or(victim))
    }

    /// Marks a holder as closing.
    fn close(&mut self, victim: Option<Key<Holder>>) -> Verdict {
        let Some((key, holder)) = victim.and_then(|k| Some((k, self.holders.get_mut(k)?))) else {
            return Verdict::Wait;
        };
        holder.is_closing = true;
        let mut freed = holder.bytes;
        for (_, child) in self.holders.iter_mut() {
            if child.parent == Some(key) && !child.is_closing {
                child.is_closing = true;
                freed += child.bytes;
            }
        }
        self.closing += freed;
        Verdict::Close(key)
    }

    /// Lowers what a holder holds to `total` bytes.
    pub fn lower(&mut self, key: Key<Holder>, total: usize) {
        if self.held(key) > total {
            self.set_bytes(key, total);
        }
    }

    /// Records bytes that a holder has received, or that its peer has read.
    pub fn record_progress(&mut self, now: Millis, key: Key<Holder>, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.rate.add(now, bytes);
        }
    }

    /// Sets what a holder does from now on.
    pub fn set_use(&mut self, now: Millis, key: Key<Holder>, purpose: Use) {
        if let Some(holder) = self.holders.get_mut(key)
            && holder.purpose != purpose
        {
            holder.purpose = purpose;
            holder.since = now;
        }
    }

    /// Removes a holder and what it holds.
    pub fn remove(&mut self, key: Key<Holder>) {
        self.set_bytes(key, 0);
        let Some(holder) = self.holders.remove(key) else {
            return;
        };
        let Some(sums) = self.sources.get_mut(&holder.source) else {
            return;
        };
        if holder.parent.is_none() {
            self.connections[holder.class as usize] -= 1;
            sums.connections[holder.class as usize] -= 1;
        }
        if sums.bytes == 0 && sums.connections == [0; 2] {
            self.sources.swap_remove(&holder.source);
        }
    }

    /// Sets what a holder holds, with all sums.
    fn set_bytes(&mut self, key: Key<Holder>, total: usize) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let (bytes, large) = (holder.bytes, holder.large());
        holder.bytes = total;
        let new_large = holder.large();
        if holder.is_closing {
            self.closing = (self.closing + total).saturating_sub(bytes);
        }
        self.bytes = self.bytes + total - bytes;
        self.large = self.large + new_large - large;
        let sums = self.sources.entry(holder.source).or_default();
        sums.bytes = sums.bytes + total - bytes;
        sums.large = sums.large + new_large - large;
    }
}
