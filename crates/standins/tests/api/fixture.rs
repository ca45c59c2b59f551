//! A cell of daemons in this process, before stand-ins.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::Method;
use serde_json::Value;
use teaselcroft_parts::Millis;
use teaselcroft_router::http_client::{HttpCall, HttpReply};
use teaselcroft_router::{Daemon, HttpPlatform, Settings};
use teaselcroft_standins::{
    DaemonPlan, OPERATOR_KEY, Runner, Runtime, Site, StandIns, World, list_daemons, plan_daemons,
};

/// The bearer key of the customer `c1`.
pub const CUSTOMER: &str = "customer-key-c1";

const TRIES: u32 = 600;
const PAUSE: Duration = Duration::from_millis(50);

/// A cell with the reservoir's questionnaires in force.
pub struct Cell {
    pub world: Arc<World>,
    pub standins: StandIns,
    plans: Vec<DaemonPlan>,
    daemons: Mutex<Vec<Option<Daemon<HttpPlatform>>>>,
    _runtime: Runtime,
}

impl Cell {
    /// Starts `count` daemons.
    pub fn start(count: usize) -> Cell {
        Cell::start_with(count, "")
    }

    /// Starts `count` daemons with more settings.
    pub fn start_with(count: usize, more: &str) -> Cell {
        let runtime = Runtime::start().expect("threads");
        let world = Arc::new(World::new(runtime.executor()));
        let site = Site::Reservoir;
        let standins = smol::block_on(StandIns::start(&world, site)).expect("stand-ins");
        let (store, vms) = (standins.store_line.address, standins.vm_line.address);
        let plans = plan_daemons(site, count, store, vms, &["c1".to_owned()]).expect("free ports");
        list_daemons(&world, &plans).expect("names");
        let start = |plan: &DaemonPlan| {
            let settings = Settings::parse(&format!("{}{more}", plan.settings)).expect("settings");
            let platform = HttpPlatform::new(settings.store, settings.vm_list, Millis(settings.limits.store_ms));
            Some(Daemon::start(settings, platform).expect("a daemon"))
        };
        let daemons = Mutex::new(plans.iter().map(start).collect());
        let cell = Cell { world, standins, plans, daemons, _runtime: runtime };
        cell.put_in_force(site);
        cell
    }

    fn put_in_force(&self, site: Site) {
        for answers in site.questionnaires().expect("questionnaires") {
            let team = answers.team.to_string();
            let answers = serde_json::to_value(answers).expect("JSON");
            assert_eq!(self.apply(0, &team, 0, &answers).status, 200);
        }
        let count = self.plans.len();
        let everywhere = |cell: &Cell| (0..count).all(|daemon| cell.status(daemon)["revisions"]["compost"] == 1);
        assert!(self.wait_for(everywhere), "the questionnaires come into force");
        assert!(self.wait_for(|cell| (0..count).all(|daemon| cell.sees(daemon) == count)), "daemons see one another");
    }

    fn sees(&self, daemon: usize) -> usize {
        self.status(daemon)["live"].as_array().map_or(0, Vec::len)
    }

    /// The address of a daemon for callers.
    pub fn address(&self, daemon: usize) -> String {
        self.plans[daemon].listen.to_string()
    }

    /// Sends a call to a daemon.
    pub fn send(&self, daemon: usize, call: HttpCall) -> HttpReply {
        smol::block_on(HttpCall { address: self.address(daemon), ..call }.send()).expect("a reply")
    }

    fn admin(&self, daemon: usize, method: Method, path: String, body: Vec<u8>) -> HttpReply {
        let headers = vec![("authorization", format!("Bearer {OPERATOR_KEY}"))];
        let base = HttpCall::get("", path, Millis(30_000));
        self.send(daemon, HttpCall { method, headers, body, ..base })
    }

    /// Submits a questionnaire.
    pub fn apply(&self, daemon: usize, team: &str, base: u64, answers: &Value) -> HttpReply {
        let path = format!("/admin/teams/{team}?base={base}");
        self.admin(daemon, Method::Put, path, answers.to_string().into_bytes())
    }

    /// A team's accepted configuration.
    pub fn show(&self, team: &str) -> Value {
        let reply = self.admin(0, Method::Get, format!("/admin/teams/{team}"), Vec::new());
        serde_json::from_slice(&reply.body).expect("JSON")
    }

    /// A daemon's state.
    pub fn status(&self, daemon: usize) -> Value {
        let reply = self.admin(daemon, Method::Get, "/admin/status".to_owned(), Vec::new());
        serde_json::from_slice(&reply.body).expect("JSON")
    }

    /// Slots that some daemon executes.
    pub fn slots_owned(&self) -> usize {
        (0..self.plans.len()).map(|daemon| self.status(daemon)["slots"].as_array().map_or(0, Vec::len)).sum()
    }

    /// Stops a daemon as planned.
    pub fn stop(&self, daemon: usize) {
        let stopped = self.daemons.lock().expect("no panic")[daemon].take();
        smol::block_on(stopped.expect("it runs").stop());
    }

    /// Makes every engine's open connections silent.
    pub fn silence_engines(&self) {
        self.standins.runners.values().filter(|runner| matches!(runner, Runner::Engine(_))).for_each(Runner::silence);
    }

    /// Waits until `holds`; false if it never does.
    pub fn wait_for(&self, holds: impl Fn(&Cell) -> bool) -> bool {
        (0..TRIES).any(|_| {
            let held = holds(self);
            if !held {
                std::thread::sleep(PAUSE);
            }
            held
        })
    }
}
