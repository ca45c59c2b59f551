//! Simulated platform services (stand-ins) and the programs that replay traces against daemons.
//!
//! For development and tests only; nothing here runs in production.

mod batch;
pub mod bench;
pub mod bench_balance;
pub mod bench_policy;
mod caller;
mod daemon_command;
mod engine_server;
mod fleet;
mod fleet_processes;
mod fleet_threads;
mod generator;
mod kv_server;
pub mod load;
mod operator;
mod platform;
mod process_usage;
mod promise_checks;
mod recorder;
mod replay;
mod report;
mod restartable_server;
mod run_context;
mod runner_configs;
mod runtime;
mod scenarios;
mod scored_request;
mod service_server;
mod site;
mod table;
mod trace;
mod vm_server;

pub use caller::{CallerRecord, Callers, customer_key};
pub use daemon_command::DaemonCommand;
pub use fleet::{DaemonPlan, Fleet, OPERATOR_KEY, plan_daemons};
pub use fleet_processes::ProcessFleet;
pub use fleet_threads::ThreadFleet;
pub use generator::{GeneratorSettings, add_event, add_resends, demo_trace, generate};
pub use platform::{Runner, StandIns, register_daemons};
pub use promise_checks::Promise;
pub use replay::{ReplayError, RunResult, replay};
pub use report::{ClassReport, Report};
pub use run_context::RunContext;
pub use runtime::Runtime;
pub use scenarios::{Scenario, scenarios};
pub use site::{RunnerGroup, Site};
pub use table::render;
pub use trace::{EventKind, Trace, TraceError, TraceEvent, TraceHead, TraceRequest};
