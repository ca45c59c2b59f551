//! The VM list client over HTTP.

use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::http_client::HttpCall;
use crate::kv::NoAnswer;
use crate::vm_list::{VmList, Vms};

/// Reads the VM list with `GET /vms`.
#[derive(Debug, Clone)]
pub struct VmListHttp {
    address: String,
    timeout: Millis,
}

impl VmListHttp {
    /// Creates a client for the list at `address` whose reads time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Millis) -> VmListHttp {
        VmListHttp { address: address.to_string(), timeout }
    }
}

impl VmList for VmListHttp {
    async fn read(&self) -> Result<Vms, NoAnswer> {
        let call = HttpCall::get(&self.address, "/vms".to_owned(), self.timeout);
        let reply = call.send().await.map_err(|_| NoAnswer)?;
        serde_json::from_slice(&reply.body).map_err(|_| NoAnswer)
    }
}
