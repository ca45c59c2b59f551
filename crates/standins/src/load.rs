//! Sets up a cell of daemon processes and stand-ins for load tests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tempfile::TempDir;

use crate::fleet::{Fleet, plan_daemons};
use crate::fleet_processes::ProcessFleet;
use crate::operator::{self, SubmitOutcome};
use crate::platform::{Runner, StandIns, register_daemons};
use crate::run_context::RunContext;
use crate::runtime::Runtime;
use crate::site::Site;

/// Time for the configurations to reach all daemons and runners.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Daemons and stand-ins of the reservoir site, ready for requests; dropping it stops the daemons.
pub struct Cell {
    /// The state that the stand-ins share.
    pub context: Arc<RunContext>,
    /// The addresses on which the daemons serve callers.
    pub daemons: Vec<String>,
    /// The addresses of the engines, for direct requests.
    pub engines: Vec<String>,
    /// The addresses of the plain services, for direct requests.
    pub services: Vec<String>,
    _standins: StandIns,
    _fleet: ProcessFleet,
    _folder: TempDir,
}

/// Starts the stand-ins and `count` daemons and submits the questionnaires of the site.
///
/// # Errors
///
/// A stand-in or daemon cannot be started, or a questionnaire is not accepted.
pub async fn start_cell(runtime: &Runtime, count: usize) -> io::Result<Cell> {
    let context = Arc::new(RunContext::new(runtime.executor()));
    let site = Site::Reservoir;
    let standins = StandIns::start(&context, site).await?;
    let (store, vms) = (standins.store_server.address, standins.vm_server.address);
    let plans = plan_daemons(site, count, store, vms, &["c1".to_owned()])?;
    register_daemons(&context, &plans).map_err(io::Error::other)?;
    let folder = tempfile::tempdir()?;
    let fleet = ProcessFleet::new(folder.path().to_owned());
    for plan in &plans {
        fleet.start(plan)?;
    }
    let daemons: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    for answers in site.questionnaires().map_err(io::Error::other)? {
        if operator::create_team(&daemons, &answers).await != SubmitOutcome::Accepted(1) {
            return Err(io::Error::other("a questionnaire was not accepted"));
        }
    }
    Timer::after(SETTLE_TIME).await;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for runner in standins.runners.values() {
        match runner {
            Runner::Engine(engine) => engines.push(engine.address()),
            Runner::Service(service) => services.push(service.address()),
        }
    }
    Ok(Cell { context, daemons, engines, services, _standins: standins, _fleet: fleet, _folder: folder })
}
