//! The platform's list of VMs that are live or leaving.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::table::doc::MAX_VALUE_BYTES;
use crate::util;

common! { doc
/// The live list; it lags and may go back.
#[derive(Default)]
pub struct Live {
    /// VMs by name.
    #[serde(default)]
    pub vms: IndexMap<String, Vm>,
}
}

common! { doc
/// One VM of the list.
pub struct Vm {
    /// Address on which its process is called.
    pub rpc: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// True when the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}
}

impl Live {
    /// Parses the platform's value.
    pub fn parse(text: &str) -> Result<Live> {
        if text.len() > MAX_VALUE_BYTES {
            let detail = format!("live: {} bytes", text.len());
            return Err(Error::new(Code::TableTooLarge, detail));
        }
        serde_saphyr::from_str(text)
            .map_err(|e| Error::new(Code::TableSyntax, format!("live: {e}")))
    }

    /// Addresses of `zone` and `own`, highest rendezvous rank first.
    pub fn ranked(&self, zone: &str, own: SocketAddr) -> Vec<SocketAddr> {
        let others = self.vms.values().filter(|vm| vm.zone == zone);
        let others = others.filter(|vm| !vm.leaving && vm.rpc != own);
        let mut ranked: Vec<(u64, SocketAddr)> = others
            .map(|vm| vm.rpc)
            .chain([own])
            .map(|addr| (rank(zone, addr), addr))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, addr)| addr).collect()
    }
}

/// Rendezvous rank of a process in its zone; higher ranks read the platform.
pub fn rank(zone: &str, addr: SocketAddr) -> u64 {
    util::stable_hash([zone, &addr.to_string()])
}
