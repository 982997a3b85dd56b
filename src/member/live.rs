//! The live list: the platform's list of VMs that run or are about to stop.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::table::doc::MAX_VALUE_BYTES;
use crate::util;

common! { doc
/// The live list. It lags behind the VMs and may go back to an older state.
#[derive(Default)]
pub struct Live {
    /// VMs by name.
    #[serde(default)]
    pub vms: IndexMap<String, Vm>,
}
}

common! { doc
/// One VM of the live list.
pub struct Vm {
    /// Address at which its process takes calls.
    pub rpc: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region; empty when the platform gives none.
    #[serde(default)]
    pub region: String,
    /// True when the platform is about to stop the VM.
    #[serde(default)]
    pub leaving: bool,
}
}

impl Live {
    /// Parses the YAML text of the live list.
    ///
    /// Returns [`Code::TableTooLarge`] above [`MAX_VALUE_BYTES`] and
    /// [`Code::TableSyntax`] for other text that is not a live list.
    pub fn parse(text: &str) -> Result<Live> {
        if text.len() > MAX_VALUE_BYTES {
            let detail = format!("live list: {} bytes", text.len());
            return Err(Error::new(Code::TableTooLarge, detail));
        }
        serde_saphyr::from_str(text)
            .map_err(|e| Error::new(Code::TableSyntax, format!("live list: {e}")))
    }

    /// Returns the addresses of the VMs of `zone` that are not leaving, and
    /// `own`, highest rendezvous rank first.
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

/// Returns the rendezvous rank of a process in its zone. The processes of the
/// highest ranks read the platform for the others.
pub fn rank(zone: &str, addr: SocketAddr) -> u64 {
    util::stable_hash([zone, &addr.to_string()])
}
