//! Everything the platform provides, as one set of adapters.

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

/// A platform's sides; another platform is another implementation.
pub trait Platform: Send + Sync + 'static {
    /// Its key-value service.
    type Store: KeyValue;
    /// Its VM list.
    type Vms: VmList;
    /// Its model engines.
    type Engines: Engine;
    /// Its plain services.
    type Services: PlainService;

    /// The key-value service.
    fn store(&self) -> &Self::Store;
    /// The VM list.
    fn vms(&self) -> &Self::Vms;
    /// The model engines.
    fn engines(&self) -> &Self::Engines;
    /// The plain services.
    fn services(&self) -> &Self::Services;
}

/// A platform whose every side speaks HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    store: KvHttp,
    vms: VmListHttp,
    engines: EngineHttp,
    services: PlainServiceHttp,
}

impl HttpPlatform {
    /// The platform with its key-value service and VM list at these addresses.
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
