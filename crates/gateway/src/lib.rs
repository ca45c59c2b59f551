//! Forwards callers' HTTP requests to runners that register themselves, with service levels and priorities.
//!
//! The gateway holds decisions, state and recovery; a [`Dialect`] and a [`store::Store`] connect it to one
//! platform's names and wire formats.

mod backoff;
mod body_memory;
mod caller;
mod configuration;
mod connection_pool;
mod crash_ledger;
mod daemon;
mod dialect;
mod discovery;
mod event;
mod events_stream;
pub mod fleet;
mod forward;
mod front;
mod gateway;
pub mod heartbeat;
pub mod http;
pub mod http_client;
mod job;
mod log_setup;
mod metrics;
mod peers;
mod placer;
mod prompt;
mod retry_ledger;
mod roster;
mod route;
mod run;
mod runner;
pub mod runner_news;
mod seconds;
mod settings;
mod small_server;
pub mod store;

pub use configuration::{CallerLimits, ConfigVersion, Configuration, Customer, Engine, Priority, Service};
pub use crash_ledger::CrashLedger;
pub use daemon::GatewayDaemon;
pub use dialect::{CallerFields, Dialect, RunnerFields, RunnerReply};
pub use discovery::{MissingRunners, RunnerIndex, Taken, news_of};
pub use event::Event;
pub use events_stream::EventStream;
pub use prompt::{Prompt, PromptPart};
pub use retry_ledger::RetryLedger;
pub use roster::{ReaderRole, Roster};
pub use route::{Route, RouteKind, RouteTable, Split, UnknownKind};
pub use run::{RunError, run_gateway};
pub use runner::RunnerRecord;
pub use seconds::Seconds;
pub use settings::{Bounds, Settings, SettingsError};
pub(crate) use teaselcroft_parts::log_event as record;
