//! Reads state dumps of processes from their admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::header;
use serde_json::Value;

use crate::error::Code;
use crate::error::Error;
use crate::error::Result;
use crate::net::body;
use crate::net::client;
use crate::net::client::Client;
use crate::net::rt;

/// Largest dump that is read, in bytes; a process's tables are at most 2 MB.
const MAX_DUMP: usize = 16 << 20;

/// Returns the dump of the process at an admin address, or an error after `limit`.
pub async fn dump(addr: SocketAddr, limit: Duration) -> Result<Value> {
    client::timeout(limit, Code::RpcFailed, read(addr)).await
}

async fn read(addr: SocketAddr) -> Result<Value> {
    let request = Request::get("/dump")
        .header(header::HOST, addr.to_string())
        .body(body::full(""))
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let answer = Client::new(addr).send(request).await?;
    let status = answer.response.status();
    let (response, _) = Client::split(answer);
    let text = body::read(response.into_body(), MAX_DUMP).await?;
    if !status.is_success() {
        let detail = format!("{addr}: status {status}");
        return Err(Error::new(Code::RpcFailed, detail));
    }
    serde_json::from_slice(&text)
        .map_err(|e| Error::new(Code::ProtocolInvalid, format!("{addr}: {e}")))
}

/// Returns the dumps of several processes in the order of `addrs`, all read at the same time.
pub async fn dumps(addrs: &[SocketAddr], limit: Duration) -> Vec<Result<Value>> {
    let tasks: Vec<_> = addrs
        .iter()
        .map(|addr| rt::spawn(dump(*addr, limit)))
        .collect();
    let mut dumps = Vec::new();
    for task in tasks {
        dumps.push(task.await);
    }
    dumps
}
