//! Table sets: a routes and a pools document of one revision, with the pool of
//! each route checked to exist.

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::table::check;
use crate::table::doc::Pool;
use crate::table::doc::PoolsDoc;
use crate::table::doc::RoutesDoc;
use crate::table::doc::Upstream;
use crate::util;

common! { value
/// Identity of a table set or live list. Stamps are ordered by revision, then by
/// digest.
#[derive(Default, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Revision that the operator wrote; for the live list the platform's index.
    pub revision: u64,
    /// SHA-256 over the texts; empty when nothing is held.
    pub digest: String,
}
}

/// A valid pair of tables.
///
/// # Invariants
///
/// Both documents have the revision `stamp.revision`, and each route names a
/// pool that exists.
#[derive(Clone, Debug)]
pub struct TableSet {
    /// Identity of the set.
    pub stamp: Stamp,
    /// Text of the routes document, as published.
    pub routes_text: String,
    /// Text of the pools document, as published.
    pub pools_text: String,
    /// The parsed routes document.
    pub routes: RoutesDoc,
    /// The parsed pools document.
    pub pools: PoolsDoc,
}

impl TableSet {
    /// Parses and checks a pair of documents. Returns the first fault if there
    /// are any.
    ///
    /// The result depends on the texts alone, so that all processes accept or
    /// refuse the same sets.
    pub fn parse(routes_text: &str, pools_text: &str) -> Result<TableSet> {
        let pair = check::parse_set(("routes", routes_text), ("pools", pools_text));
        let (routes, pools) = pair.map_err(|findings| Error::from(&findings[0]))?;
        // The checks compare the revisions as text; serde parses them as numbers.
        if routes.revision != pools.revision {
            let detail = format!("routes {}, pools {}", routes.revision, pools.revision);
            return Err(Error::new(Code::SetIncomplete, detail));
        }
        Ok(TableSet {
            stamp: Stamp {
                revision: routes.revision,
                digest: set_digest(routes_text, pools_text),
            },
            routes_text: routes_text.to_string(),
            pools_text: pools_text.to_string(),
            routes,
            pools,
        })
    }

    /// Returns the pool name, the pool and the table entry of the upstream `name`.
    pub fn upstream(&self, name: &str) -> Option<(&str, &Pool, &Upstream)> {
        self.pools.pools.iter().find_map(|(pool_name, pool)| {
            let upstream = pool.upstreams.get(name)?;
            Some((pool_name.as_str(), pool, upstream))
        })
    }
}

/// Returns the digest over both texts. The length of the first one is included,
/// so that text moved from one document to the other changes the digest.
pub fn set_digest(routes_text: &str, pools_text: &str) -> String {
    util::digest(format!("{}\n{routes_text}{pools_text}", routes_text.len()))
}
