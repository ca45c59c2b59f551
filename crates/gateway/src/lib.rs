//! An HTTP reverse proxy for language-model traffic: forwards callers' requests to runners that register themselves in
//! a key-value store, with service levels and priorities.
//!
//! This crate makes the decisions and keeps the state. A [`Dialect`] and a [`store::Store`] adapt it to one platform's
//! header names and wire formats.

mod backoff;
mod body_memory;
mod cache_reader;
mod caller;
mod config_fetches;
mod configuration;
mod connection_pool;
mod containment;
mod control_api;
mod crash_sync;
mod crash_tracker;
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
mod http_server;
mod job;
mod limit_sync;
mod log_setup;
mod metrics;
mod peers;
mod placer;
mod prompt;
mod request_rate;
mod retry_limiter;
mod roster;
mod route;
mod run;
mod runner;
pub mod runner_news;
mod seconds;
mod settings;
pub mod store;

pub use config_fetches::ConfigFetches;
pub use configuration::{CallerLimits, ConfigVersion, Configuration, Customer, Engine, Priority, Service};
pub use control_api::{ControlApi, ControlError};
pub use crash_sync::CrashSync;
pub use crash_tracker::{CrashTracker, Suspect};
pub use daemon::GatewayDaemon;
pub use dialect::{CallerFields, Dialect, RunnerFields, RunnerReply};
pub use discovery::{DecodedRunners, MissingRunners, NewsOutcome, RunnerIndex, fetch_runners, split_news};
pub use event::Event;
pub use events_stream::{EventStream, MalformedEvent};
pub use prompt::{CachedPart, Prompt, PromptPart};
pub use request_rate::{InvalidRate, RequestRate};
pub use retry_limiter::RetryLimiter;
pub use roster::{ReaderRole, Roster};
pub use route::{Route, RouteKind, RouteTable, Split, UnknownKind};
pub use run::{RunError, run_gateway};
pub use runner::RunnerRecord;
pub use seconds::Seconds;
pub use settings::{Bounds, Duty, DutySettings, Settings, SettingsError};
pub(crate) use teaselcroft_parts::log_event;
