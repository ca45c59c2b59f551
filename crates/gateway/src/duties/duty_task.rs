//! A duty that runs while this daemon holds the duties.

use std::future::Future;
use std::sync::Arc;

use futures_lite::future::or;
use teaselcroft_parts::FencingToken;

use super::{DutyAccess, DutyHold};
use crate::control_api::ControlApi;
use crate::store::Store;

/// A duty that runs while this daemon holds the duties.
pub trait DutyTask<C: ControlApi, S: Store>: Send + 'static {
    /// Performs the duty: this daemon holds the duties now, with the token of `hold`. The future is dropped when it no
    /// longer does; a call that is then under way counts as one without an answer.
    fn perform(&mut self, hold: DutyHold<C, S>) -> impl Future<Output = ()> + Send;

    /// This daemon no longer holds the duties with this token.
    fn ended(&mut self, token: FencingToken);
}

/// Runs a duty whenever this daemon holds the duties; never returns.
pub async fn run_duty<C: ControlApi, S: Store, T: DutyTask<C, S>>(access: Arc<DutyAccess<C, S>>, mut task: T) {
    loop {
        let token = access.next_hold().await;
        let perform = async {
            task.perform(DutyHold::new(access.clone(), token)).await;
            std::future::pending().await
        };
        or(access.hold_ended(token), perform).await;
        task.ended(token);
    }
}
