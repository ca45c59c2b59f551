//! What this daemon knows of usage, where the settings ask for reports.

use std::net::SocketAddr;
use std::sync::MutexGuard;

use teaselcroft_parts::{CustomerName, Millis, UsageStatement};

use super::{Gateway, lock};
use crate::dialect::Dialect;
use crate::duties::boot_time;
use crate::heartbeat::MemberRecord;
use crate::usage::{UsageNews, UsageTracker};

/// The duty holder and the next candidate get all counts, or the first two candidates while no holder is known.
const RECEIVERS: usize = 2;

impl<D: Dialect> Gateway<D> {
    /// Locks what is known of usage; `None` where the settings do not ask for reports.
    pub fn usage(&self) -> Option<MutexGuard<'_, UsageTracker>> {
        self.usage.as_ref().map(lock)
    }

    /// Whether the settings ask for reports of usage.
    pub const fn has_usage(&self) -> bool {
        self.usage.is_some()
    }

    /// Counts a request that began at `at` in time since the daemon started.
    pub fn count_request(&self, customer: &CustomerName, at: Millis) {
        if let Some(mut usage) = self.usage() {
            let age = self.now().since(at);
            usage.count(customer, boot_time() - age);
        }
    }

    /// Adds the counts that a daemon sent.
    pub fn merge_usage(&self, news: UsageNews) {
        let Some(mut usage) = self.usage() else {
            return;
        };
        match UsageStatement::try_from(news) {
            Ok(statement) => usage.merge(statement, boot_time()),
            Err(error) => log::debug!("ignored a daemon's counts: {error}"),
        }
    }

    /// The addresses of the daemons that get all counts; this one may be among them.
    pub fn usage_receivers(&self) -> Vec<SocketAddr> {
        let holder = self.duty_holder();
        let now = self.now();
        let roster = self.roster();
        let candidates = roster.leader_candidates(now).into_iter();
        let others = candidates.filter(|member| holder.as_ref().is_none_or(|holder| holder.name != member.name));
        let receivers = holder.iter().chain(others).take(RECEIVERS);
        let address =
            |member: &MemberRecord| Some(SocketAddr::new(member.ip.parse().ok()?, self.settings.heartbeat_port));
        receivers.filter_map(address).collect()
    }
}
