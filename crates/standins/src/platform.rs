//! Starts the stand-ins of one run and registers them on the VM list.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use teaselcroft_parts::NameError;
use teaselcroft_router::vm_list::{EntryVm, RunnerVm};

use crate::Site;
use crate::engine_server::EngineServer;
use crate::fleet::DaemonPlan;
use crate::kv_server::KvServer;
use crate::restartable_server::RestartableServer;
use crate::run_context::RunContext;
use crate::service_server::ServiceServer;
use crate::vm_server::start_vm_list;

/// A stand-in runner, into which faults can be injected.
#[derive(Clone)]
pub enum Runner {
    /// An LLM engine with continuous batching.
    Engine(Arc<EngineServer>),
    /// A service that runs each call on its own.
    Service(Arc<ServiceServer>),
}

impl Runner {
    /// Simulates a crash; the runner restarts by itself after a fixed delay.
    pub fn crash(&self) {
        match self {
            Runner::Engine(engine) => engine.crash(),
            Runner::Service(service) => service.crash(),
        }
    }

    /// Makes it `factor` times slower than usual; 1.0 restores the usual speed.
    pub fn slow(&self, factor: f64) {
        match self {
            Runner::Engine(engine) => engine.slow(factor),
            Runner::Service(service) => service.slow(factor),
        }
    }

    /// Stops sending on all open connections without closing them; new connections are not affected.
    pub fn silence(&self) {
        match self {
            Runner::Engine(engine) => engine.silence(),
            Runner::Service(service) => service.silence(),
        }
    }
}

/// The key-value service, the VM list and the runners of one run.
pub struct StandIns {
    /// The key-value service, for fault injection.
    pub store: Arc<KvServer>,
    /// The HTTP server of the key-value service; holds its address.
    pub store_server: Arc<RestartableServer>,
    /// The HTTP server of the VM list; holds its address.
    pub vm_server: Arc<RestartableServer>,
    /// The runners by name.
    pub runners: BTreeMap<String, Runner>,
}

impl StandIns {
    /// Starts the stand-ins of `site`; runners are assigned to its zones in turn.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub async fn start(context: &Arc<RunContext>, site: Site) -> io::Result<StandIns> {
        let (store, store_server) = KvServer::start(context.clone()).await?;
        let vm_server = start_vm_list(context.clone()).await?;
        let mut runners = BTreeMap::new();
        for group in site.runner_groups() {
            for number in 1..=group.count {
                let name = format!("{}-{number:02}", group.prefix);
                let zone = site.zones()[(number - 1) % site.zones().len()];
                let (runner, address) = if group.is_engine {
                    let engine =
                        EngineServer::start(context.clone(), name.clone(), group.places, group.fencing).await?;
                    let address = engine.address();
                    (Runner::Engine(engine), address)
                } else {
                    let service = ServiceServer::start(context.clone(), name.clone(), group.fencing).await?;
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
                context.change_vms(|vms| vms.runners.push(vm));
                runners.insert(name, runner);
            }
        }
        Ok(StandIns { store, store_server, vm_server, runners })
    }
}

/// Adds daemons to the VM list.
///
/// # Errors
///
/// The name of a zone is invalid.
pub fn register_daemons(context: &RunContext, plans: &[DaemonPlan]) -> Result<(), NameError> {
    for plan in plans {
        let vm = EntryVm {
            name: plan.name.clone(),
            zone: plan.zone.parse()?,
            address: plan.listen.to_string(),
            peer_address: plan.peer_listen.to_string(),
        };
        context.change_vms(|vms| vms.entries.push(vm));
    }
    Ok(())
}
