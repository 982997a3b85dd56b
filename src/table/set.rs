//! Table sets: a routes and a pools document of one revision, joined by names.

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
/// Identity of a set; sets are ordered by revision, then digest.
#[derive(Default, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Revision that the operator wrote.
    pub revision: u64,
    /// SHA-256 over both texts.
    pub digest: String,
}
}

/// A validated and joined pair of tables.
///
/// # Invariants
///
/// Both documents carry `stamp.revision`, and each route names a pool that exists.
#[derive(Clone, Debug)]
pub struct TableSet {
    /// Identity.
    pub stamp: Stamp,
    /// Text of the routes document.
    pub routes_text: String,
    /// Text of the pools document.
    pub pools_text: String,
    /// The routes.
    pub routes: RoutesDoc,
    /// The pools.
    pub pools: PoolsDoc,
}

impl TableSet {
    /// Validates and joins two documents; a pure function of the texts, so
    /// that each process accepts or refuses a set alike.
    pub fn parse(routes_text: &str, pools_text: &str) -> Result<TableSet> {
        let pair = check::read_set(("routes", routes_text), ("pools", pools_text));
        let (routes, pools) = pair.map_err(|findings| Error::from(&findings[0]))?;
        // The checks compare the revisions as written, serde reads them as numbers.
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

    /// The pool and table entry of the upstream `name`.
    pub fn upstream(&self, name: &str) -> Option<(&str, &Pool, &Upstream)> {
        self.pools.pools.iter().find_map(|(pool_name, pool)| {
            let upstream = pool.upstreams.get(name)?;
            Some((pool_name.as_str(), pool, upstream))
        })
    }
}

/// Digest over both texts, with the length of the first to keep them apart.
pub fn set_digest(routes_text: &str, pools_text: &str) -> String {
    util::digest(format!("{}\n{routes_text}{pools_text}", routes_text.len()))
}
