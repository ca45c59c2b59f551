//! The decisions of teaselcroft as state machines without I/O: they take events and the time, and
//! return actions for their driver.
//!
//! - [`Dispatcher`] assigns the requests of one shard to its runners, by tier and fair among
//!   customers.
//! - [`Executor`] runs calls that must not repeat at most once.
//! - [`TeamConfig`] is generated from a team's [`Questionnaire`]; [`ClassTable`] has all teams' rules.
//! - [`Scaler`] decides how many runners of a service are ordered in each zone.
//! - [`Balancer`] chooses runners evenly from load reports of some age.
//! - [`AddressBook`] tells callers which daemons to use.

mod address_book;
mod balance;
mod balance_rule;
mod class_rule;
mod class_table;
mod descriptor;
mod dispatch_settings;
mod dispatcher;
mod executor;
mod executor_messages;
mod fair_queue;
mod hold_times;
mod load_view;
mod outcome;
mod outcome_window;
mod outlier_detection;
mod prefill_meter;
mod prefix_map;
mod questionnaire;
mod refused_arrivals;
mod result_code;
mod runner;
mod runner_order;
mod runner_pool;
pub mod scaling;
mod scaling_rule;
mod silence_timeout;
mod suspects;
mod team_config;
mod tier;

pub use address_book::{AddressAnswer, AddressBook, EntryPoint};
pub use balance::Balancer;
pub use balance_rule::BalanceRule;
pub use class_rule::{ClassRule, UpstreamKind};
pub use class_table::{ClassTable, ClassTableError};
pub use descriptor::Descriptor;
pub use dispatch_settings::DispatchSettings;
pub use dispatcher::{DispatchAction, DispatchStats, Dispatcher, RequestKey};
pub use executor::{Executor, ExecutorSettings};
pub use executor_messages::{ExecutorAction, ReadResult, RecordGapAnswer, WriteResult};
pub use fair_queue::FairQueue;
pub use hold_times::HoldTimes;
pub use load_view::LoadView;
pub use outcome::{EndKind, Outcome};
pub use outcome_window::OutcomeWindow;
pub use outlier_detection::OutlierState;
pub use prefill_meter::PrefillMeter;
pub use prefix_map::PrefixMap;
pub use questionnaire::{ClassAnswers, Questionnaire, QuestionnaireError, Repeat, Urgency};
pub use refused_arrivals::RefusedArrivals;
pub use result_code::{Ran, ResultCode};
pub use runner::{LoadReport, RunnerInfo};
pub use runner_order::{RunnerKind, RunnerOrder};
pub use runner_pool::{RunnerKey, RunnerPool};
pub use scaling::Scaler;
pub use scaling_rule::ScalingRule;
pub use silence_timeout::SilenceTimeout;
pub use suspects::{Isolation, Suspects};
pub use team_config::TeamConfig;
pub use tier::Tier;
