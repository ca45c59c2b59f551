//! A cell of daemons and stand-ins in this process.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::Method;
use serde_json::Value;
use teaselcroft_parts::Millis;
use teaselcroft_router::http_client::{HttpCall, HttpReply};
use teaselcroft_router::{Daemon, HttpPlatform, Settings};
use teaselcroft_standins::{
    DaemonPlan, OPERATOR_KEY, RunContext, Runner, Runtime, Site, StandIns, plan_daemons, register_daemons,
};

/// The bearer key of the customer `c1`.
pub const CUSTOMER_KEY: &str = "customer-key-c1";

const POLLS: u32 = 600;
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// A cell of the reservoir site whose questionnaires every daemon has applied.
pub struct Cell {
    pub context: Arc<RunContext>,
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

    /// Starts `count` daemons with `more` appended to their settings.
    pub fn start_with(count: usize, more: &str) -> Cell {
        let runtime = Runtime::start().expect("threads");
        let context = Arc::new(RunContext::new(runtime.executor()));
        let site = Site::Reservoir;
        let standins = smol::block_on(StandIns::start(&context, site)).expect("stand-ins");
        let (store, vms) = (standins.store_server.address, standins.vm_server.address);
        let plans = plan_daemons(site, count, store, vms, &["c1".to_owned()]).expect("free ports");
        register_daemons(&context, &plans).expect("names");
        let start = |plan: &DaemonPlan| {
            let settings = Settings::parse(&format!("{}{more}", plan.settings)).expect("settings");
            let platform = HttpPlatform::new(settings.store, settings.vm_list, Millis(settings.limits.store_ms));
            Some(Daemon::start(settings, platform).expect("a daemon"))
        };
        let daemons = Mutex::new(plans.iter().map(start).collect());
        let cell = Cell { context, standins, plans, daemons, _runtime: runtime };
        cell.apply_questionnaires(site);
        cell
    }

    fn apply_questionnaires(&self, site: Site) {
        for answers in site.questionnaires().expect("questionnaires") {
            let team = answers.team.to_string();
            let answers = serde_json::to_value(answers).expect("JSON");
            assert_eq!(self.apply(0, &team, 0, &answers).status, 200);
        }
        let count = self.plans.len();
        let applied = |cell: &Cell| (0..count).all(|daemon| cell.status(daemon)["revisions"]["compost"] == 1);
        assert!(self.wait_for(applied), "every daemon applies the questionnaires");
        assert!(
            self.wait_for(|cell| (0..count).all(|daemon| cell.live_daemons(daemon) == count)),
            "every daemon sees all daemons"
        );
    }

    fn live_daemons(&self, daemon: usize) -> usize {
        self.status(daemon)["live"].as_array().map_or(0, Vec::len)
    }

    /// The address on which a daemon serves callers.
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

    /// Submits a questionnaire against revision `base`.
    pub fn apply(&self, daemon: usize, team: &str, base: u64, answers: &Value) -> HttpReply {
        let path = format!("/admin/teams/{team}?base={base}");
        self.admin(daemon, Method::Put, path, answers.to_string().into_bytes())
    }

    /// The accepted configuration of a team.
    pub fn show(&self, team: &str) -> Value {
        let reply = self.admin(0, Method::Get, format!("/admin/teams/{team}"), Vec::new());
        serde_json::from_slice(&reply.body).expect("JSON")
    }

    /// The status page of a daemon.
    pub fn status(&self, daemon: usize) -> Value {
        let reply = self.admin(daemon, Method::Get, "/admin/status".to_owned(), Vec::new());
        serde_json::from_slice(&reply.body).expect("JSON")
    }

    /// Number of slots owned by any daemon.
    pub fn slots_owned(&self) -> usize {
        (0..self.plans.len()).map(|daemon| self.status(daemon)["slots"].as_array().map_or(0, Vec::len)).sum()
    }

    /// Stops a daemon and waits until it has drained.
    pub fn stop(&self, daemon: usize) {
        let stopped = self.daemons.lock().expect("no panic")[daemon].take();
        smol::block_on(stopped.expect("it runs").stop());
    }

    /// Makes the open connections of all engines silent.
    pub fn silence_engines(&self) {
        self.standins.runners.values().filter(|runner| matches!(runner, Runner::Engine(_))).for_each(Runner::silence);
    }

    /// Waits until `holds` returns true; false if it does not within about 30 seconds.
    pub fn wait_for(&self, holds: impl Fn(&Cell) -> bool) -> bool {
        (0..POLLS).any(|_| {
            let done = holds(self);
            if !done {
                std::thread::sleep(POLL_PAUSE);
            }
            done
        })
    }
}
