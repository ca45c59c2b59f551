//! The duties that one daemon at a time performs: holds them by a lease in the store, and runs them while it does.

mod boot_clock;
mod call_ledger;
mod driver;
mod duty_access;
mod duty_error;
mod duty_hold;
mod duty_rate;
mod duty_task;
mod holder_view;
mod scaling_duty;
mod store_calls;
mod usage_duty;

use std::sync::Arc;

use async_channel::Receiver;
use smol::Executor;

use crate::containment::spawn_essential;
use crate::control_api::ControlApi;
use crate::demand_sender::report_demand;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::store::Store;
use crate::{Duty, DutySettings};
pub use boot_clock::boot_time;
pub use call_ledger::CallLedger;
use driver::hold_duties;
pub use duty_access::{DutyAccess, HISTORY_KEY, HOLDER_KEY};
pub use duty_error::DutyError;
pub use duty_hold::DutyHold;
pub use duty_rate::DutyRate;
pub use duty_task::{DutyTask, run_duty};
pub use holder_view::{Announcement, HolderView};
pub use scaling_duty::{ORDERS_KEY, ScalingDuty, ScalingGauges, StoredOrders, check_zones};
use usage_duty::{UsageDuty, rewrite_reports};

/// The number of daemons that may become the holder, in the order of [`crate::Roster::leader_candidates`].
pub const CANDIDATES: usize = 3;

/// Starts to hold the duties that the settings name. The receiver closes when a planned stop has given them back. Nothing
/// is started, called or sent where no duty is named.
pub fn start_duties<D: Dialect, S: Store, C: ControlApi>(
    gateway: &Arc<Gateway<D>>,
    store: &Arc<S>,
    control: Option<C>,
    executor: &Arc<Executor<'static>>,
) -> Option<Receiver<()>> {
    let control = control.filter(|_| is_configured(&gateway.settings.duties))?;
    let access = Arc::new(DutyAccess::new(&gateway.settings, store.clone(), control, gateway.metrics.clone()));
    let (released_sender, released) = async_channel::bounded(1);
    if gateway.has_usage() {
        spawn_essential(executor, "usage duty", run_duty(access.clone(), UsageDuty::new(gateway.clone())));
        spawn_essential(executor, "usage records", rewrite_reports(gateway.clone(), access.clone()));
    }
    if gateway.settings.duties.api_for(Duty::Autoscale).is_some() {
        spawn_essential(executor, "scaling duty", run_duty(access.clone(), ScalingDuty::new(gateway.clone())));
        spawn_essential(executor, "demand reports", report_demand(gateway.clone()));
    }
    let driver = hold_duties(gateway.clone(), access);
    let hold = async move {
        driver.await;
        released_sender.close();
    };
    spawn_essential(executor, "duty holder", hold);
    Some(released)
}

/// Whether the settings name a duty and the API that it calls.
fn is_configured(settings: &DutySettings) -> bool {
    [Duty::Usage, Duty::Autoscale].into_iter().any(|duty| settings.api_for(duty).is_some())
}
