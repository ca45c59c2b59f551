//! Building blocks with which a set of processes coordinates shared work: membership, leases, a journal of claimed
//! keys, rendezvous hashing, retry budgets, and the types that they share.
//!
//! Each building block is a pure state machine: it takes events and the current time and returns what to do. None
//! performs I/O, reads a clock or draws random numbers, so that a server as well as a simulation can drive it.

mod agreed_clock;
mod config_register;
mod duty;
mod duty_action;
mod duty_answer;
mod duty_claim;
mod duty_history;
mod duty_permit;
mod duty_phase;
mod duty_times;
mod duty_view;
mod exit_code;
mod fencing_token;
mod fingerprint;
mod gap_witness;
mod incarnation;
mod key_digest;
mod lease_clock;
mod membership;
mod millis;
mod names;
mod numbered_events;
mod outage_consent;
mod rendezvous;
mod retry_budget;
mod slot_id;
mod slot_journal;
mod slot_record;
mod unix_ms;
mod usage;
mod usage_report;
mod usage_window;

pub use agreed_clock::AgreedClock;
pub use config_register::{ConfigRegister, ConfigValue};
pub use duty::DutyHolder;
pub use duty_action::DutyAction;
pub use duty_answer::DutyAnswer;
pub use duty_claim::DutyClaim;
pub use duty_history::{DutyHistory, UnreadableHistory};
pub use duty_permit::DutyPermit;
pub use duty_times::DutyTimes;
pub use duty_view::DutyView;
pub use exit_code::ExitCode;
pub use fencing_token::FencingToken;
pub use fingerprint::Fingerprint;
pub use gap_witness::{GapWitness, WitnessAnswer};
pub use incarnation::{Incarnation, Member};
pub use key_digest::KeyDigest;
pub use lease_clock::LeaseClock;
pub use membership::{Membership, MembershipSettings, PeerHealth};
pub use millis::Millis;
pub use names::{ClassName, CustomerName, DaemonName, ModelName, NameError, RequestId, RunnerName, TeamName, ZoneName};
pub use outage_consent::OutageConsent;
pub use rendezvous::{rank, winner};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use slot_id::{SlotId, slot_of};
pub use slot_journal::{ClaimAnswer, CommitWrite, ConflictAnswer, JournalSettings, SlotJournal};
pub use slot_record::{Gap, SlotRecord, SlotRecordWire};
pub use unix_ms::UnixMs;
pub use usage::{
    CustomerCounts, UsageAction, UsageCheckpoint, UsageCollector, UsageCounter, UsageJournal, UsageSettings,
    UsageStatement, UsageTotal,
};
pub use usage_report::UsageReport;
pub use usage_window::UsageWindow;
