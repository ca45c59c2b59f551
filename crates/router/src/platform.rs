//! The platform services that a daemon depends on, behind one trait.

use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::engine::Engine;
use crate::engine_http::EngineHttp;
use crate::kv::KeyValue;
use crate::kv_http::KvHttp;
use crate::plain_service::PlainService;
use crate::plain_service_http::PlainServiceHttp;
use crate::vm_list::VmList;
use crate::vm_list_http::VmListHttp;

/// The services of a platform; implement it to run on another platform.
pub trait Platform: Send + Sync + 'static {
    /// Client of the key-value service.
    type Store: KeyValue;
    /// Client of the VM list.
    type Vms: VmList;
    /// Client of the model engines on runners.
    type Engines: Engine;
    /// Client of the plain services on runners.
    type Services: PlainService;

    /// Returns the client of the key-value service, which stores slot records and configurations.
    fn store(&self) -> &Self::Store;
    /// Returns the client of the VM list, which names entry VMs and runners.
    fn vms(&self) -> &Self::Vms;
    /// Returns the client for engines; calls name the runner by its address.
    fn engines(&self) -> &Self::Engines;
    /// Returns the client for plain services; calls name the runner by its address.
    fn services(&self) -> &Self::Services;
}

/// A platform whose services are all reached over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    store: KvHttp,
    vms: VmListHttp,
    engines: EngineHttp,
    services: PlainServiceHttp,
}

impl HttpPlatform {
    /// Creates clients for the key-value service at `store` and the VM list at `vm_list`; `timeout` bounds
    /// each call to them.
    pub fn new(store: SocketAddr, vm_list: SocketAddr, timeout: Millis) -> HttpPlatform {
        HttpPlatform {
            store: KvHttp::new(store, timeout),
            vms: VmListHttp::new(vm_list, timeout),
            engines: EngineHttp,
            services: PlainServiceHttp,
        }
    }
}

impl Platform for HttpPlatform {
    type Store = KvHttp;
    type Vms = VmListHttp;
    type Engines = EngineHttp;
    type Services = PlainServiceHttp;

    fn store(&self) -> &KvHttp {
        &self.store
    }

    fn vms(&self) -> &VmListHttp {
        &self.vms
    }

    fn engines(&self) -> &EngineHttp {
        &self.engines
    }

    fn services(&self) -> &PlainServiceHttp {
        &self.services
    }
}
