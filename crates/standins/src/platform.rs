//! All stand-ins of one run.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use teaselcroft_parts::NameError;
use teaselcroft_router::vm_list::{EntryVm, RunnerVm};

use crate::Site;
use crate::engine_server::EngineServer;
use crate::fleet::DaemonPlan;
use crate::kv_server::KvServer;
use crate::restartable_server::Lifeline;
use crate::run_context::World;
use crate::service_server::ServiceServer;
use crate::vm_server::start_vm_list;

/// A stand-in runner.
#[derive(Clone)]
pub enum Runner {
    /// A model engine.
    Engine(Arc<EngineServer>),
    /// A plain service.
    Service(Arc<ServiceServer>),
}

impl Runner {
    /// Crashes and restarts a while later.
    pub fn crash(&self) {
        match self {
            Runner::Engine(engine) => engine.crash(),
            Runner::Service(service) => service.crash(),
        }
    }

    /// Becomes `factor` times slower.
    pub fn slow(&self, factor: f64) {
        match self {
            Runner::Engine(engine) => engine.slow(factor),
            Runner::Service(service) => service.slow(factor),
        }
    }

    /// Makes its open connections silent for good.
    pub fn silence(&self) {
        match self {
            Runner::Engine(engine) => engine.silence(),
            Runner::Service(service) => service.silence(),
        }
    }
}

/// All stand-ins of one run.
pub struct StandIns {
    /// The key-value service.
    pub store: Arc<KvServer>,
    /// The address of the key-value service.
    pub store_line: Arc<Lifeline>,
    /// The address of the VM list.
    pub vm_line: Arc<Lifeline>,
    /// The runners by name.
    pub runners: BTreeMap<String, Runner>,
}

impl StandIns {
    /// Starts the stand-ins of `site`.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(world: &Arc<World>, site: Site) -> io::Result<StandIns> {
        let (store, store_line) = KvServer::start(world.clone()).await?;
        let vm_line = start_vm_list(world.clone()).await?;
        let mut runners = BTreeMap::new();
        for group in site.groups() {
            for number in 1..=group.count {
                let name = format!("{}-{number:02}", group.prefix);
                let zone = site.zones()[(number - 1) % site.zones().len()];
                let (runner, address) = if group.model {
                    let engine = EngineServer::start(world.clone(), name.clone(), group.places, group.fencing).await?;
                    let address = engine.address();
                    (Runner::Engine(engine), address)
                } else {
                    let service = ServiceServer::start(world.clone(), name.clone(), group.fencing).await?;
                    let address = service.address();
                    (Runner::Service(service), address)
                };
                let named = |error: NameError| io::Error::other(error);
                let vm = RunnerVm {
                    name: name.parse().map_err(named)?,
                    zone: zone.parse().map_err(named)?,
                    address,
                    upstream: group.upstream.parse().map_err(named)?,
                    places: group.places,
                    leaving: false,
                    fencing: group.fencing,
                };
                world.change_vms(|vms| vms.runners.push(vm));
                runners.insert(name, runner);
            }
        }
        Ok(StandIns { store, store_line, vm_line, runners })
    }
}

/// Puts daemons on the VM list.
///
/// # Errors
///
/// A zone's name cannot be used.
pub fn list_daemons(world: &World, plans: &[DaemonPlan]) -> Result<(), NameError> {
    for plan in plans {
        let vm = EntryVm {
            name: plan.name.clone(),
            zone: plan.zone.parse()?,
            address: plan.listen.to_string(),
            peer_address: plan.peer_listen.to_string(),
        };
        world.change_vms(|vms| vms.entries.push(vm));
    }
    Ok(())
}
