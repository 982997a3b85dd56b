//! Chooses an upstream by the requests that this entry has in flight.

use std::net::SocketAddr;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;

use crate::prelude::*;
use crate::table::doc::Pool;

/// Requests in flight by upstream name; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Flights {
    counts: Arc<Mutex<IndexMap<String, usize>>>,
}

/// One request in flight; dropping it ends the count.
#[derive(Debug)]
pub struct Flight {
    flights: Flights,
    name: String,
}

/// The upstream of one attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name in the pools table.
    pub name: String,
    /// RPC address of its agent.
    pub rpc: SocketAddr,
}

impl Flights {
    /// The upstream with the fewest requests in flight, own zone first, that
    /// is not draining and not among `tried`.
    pub fn pick(&self, pool: &Pool, zone: &str, tried: &[String]) -> Option<Target> {
        let counts = self.lock();
        let open = pool
            .upstreams
            .iter()
            .filter(|(name, upstream)| !upstream.drain && !tried.contains(name));
        let best = open.min_by_key(|(name, upstream)| {
            let count = counts.get(*name).copied().unwrap_or(0);
            (upstream.zone != zone, count)
        });
        best.map(|(name, upstream)| Target {
            name: name.clone(),
            rpc: upstream.rpc,
        })
    }

    /// Counts a request to `name` until the returned value is dropped.
    pub fn begin(&self, name: &str) -> Flight {
        *self.lock().entry(name.to_string()).or_default() += 1;
        Flight {
            flights: self.clone(),
            name: name.to_string(),
        }
    }

    /// Counts, for operators.
    pub fn dump(&self) -> Value {
        json!(*self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<String, usize>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut counts = self.flights.lock();
        if let Some(count) = counts.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.name);
            }
        }
    }
}
