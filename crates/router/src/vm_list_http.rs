//! The VM list over HTTP.

use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::http_client::HttpCall;
use crate::kv::NoAnswer;
use crate::vm_list::{VmList, Vms};

/// Reaches the VM list over HTTP.
#[derive(Debug, Clone)]
pub struct VmListHttp {
    address: String,
    timeout: Millis,
}

impl VmListHttp {
    /// The list at `address`; reads are given up after `timeout`.
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
