//! A cell of daemon processes under load.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tempfile::TempDir;

use crate::fleet::{Fleet, plan_daemons};
use crate::fleet_processes::ProcessFleet;
use crate::operator::{self, Told};
use crate::platform::{Runner, StandIns, list_daemons};
use crate::run_context::World;
use crate::runtime::Runtime;
use crate::site::Site;

const SETTLE: Duration = Duration::from_secs(4);

/// Daemons and stand-ins of the reservoir's site, ready for calls.
pub struct Cell {
    /// What the stand-ins share.
    pub world: Arc<World>,
    /// The daemons' addresses for callers.
    pub daemons: Vec<String>,
    /// The engines' addresses.
    pub engines: Vec<String>,
    /// The plain services' addresses.
    pub services: Vec<String>,
    _standins: StandIns,
    _fleet: ProcessFleet,
    _folder: TempDir,
}

/// Starts `count` daemons with the site's questionnaires in force.
///
/// # Errors
///
/// A stand-in or daemon cannot be started, or a questionnaire is not accepted.
pub async fn start_cell(runtime: &Runtime, count: usize) -> io::Result<Cell> {
    let world = Arc::new(World::new(runtime.executor()));
    let site = Site::Reservoir;
    let standins = StandIns::start(&world, site).await?;
    let (store, vms) = (standins.store_line.address, standins.vm_line.address);
    let plans = plan_daemons(site, count, store, vms, &["c1".to_owned()])?;
    list_daemons(&world, &plans).map_err(io::Error::other)?;
    let folder = tempfile::tempdir()?;
    let fleet = ProcessFleet::new(folder.path().to_owned());
    for plan in &plans {
        fleet.start(plan)?;
    }
    let daemons: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    for answers in site.questionnaires().map_err(io::Error::other)? {
        if operator::create(&daemons, &answers).await != Told::Accepted(1) {
            return Err(io::Error::other("a questionnaire was not accepted"));
        }
    }
    Timer::after(SETTLE).await;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for runner in standins.runners.values() {
        match runner {
            Runner::Engine(engine) => engines.push(engine.address()),
            Runner::Service(service) => services.push(service.address()),
        }
    }
    Ok(Cell { world, daemons, engines, services, _standins: standins, _fleet: fleet, _folder: folder })
}
