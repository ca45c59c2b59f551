//! What a duty uses while this daemon holds the duties.

use std::sync::Arc;

use teaselcroft_parts::{DutyPermit, FencingToken, Millis, UsageReport};
use teaselcroft_policy::RunnerOrder;

use super::{DutyAccess, DutyError, HOLDER_KEY, boot_time};
use crate::control_api::ControlApi;
use crate::store::{Item, Revision, Store, Transaction};

/// What a duty uses while this daemon holds the duties with one fencing token. Afterwards all calls fail.
#[derive(Debug)]
pub struct DutyHold<C, S> {
    access: Arc<DutyAccess<C, S>>,
    token: FencingToken,
}

impl<C, S> Clone for DutyHold<C, S> {
    fn clone(&self) -> DutyHold<C, S> {
        DutyHold { access: self.access.clone(), token: self.token }
    }
}

impl<C: ControlApi, S: Store> DutyHold<C, S> {
    /// The duties as held with this token.
    pub fn new(access: Arc<DutyAccess<C, S>>, token: FencingToken) -> DutyHold<C, S> {
        DutyHold { access, token }
    }

    /// The fencing token of this hold.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// A permit for a call that is made at once; `None` if this daemon no longer holds the duties. The calls below
    /// obtain it themselves.
    pub fn permit(&self) -> Option<DutyPermit> {
        self.access.holder().permit(boot_time()).filter(|permit| permit.token() == self.token)
    }

    /// Whether this daemon holds the duties at this moment.
    pub fn is_current(&self) -> bool {
        self.access.holder().token(boot_time()) == Some(self.token)
    }

    /// Reports the usage of one window, as soon as the shared rate of calls allows it.
    ///
    /// # Errors
    ///
    /// This daemon no longer holds the duties, or the API did not answer or did not accept the report.
    pub async fn report_usage(&self, report: &UsageReport) -> Result<(), DutyError> {
        let permit = self.turn().await?;
        self.access.call(|control| control.report_usage(&permit, report)).await
    }

    /// Orders runners, as soon as the shared rate of calls allows it.
    ///
    /// # Errors
    ///
    /// This daemon no longer holds the duties, or the API did not answer or did not accept the order.
    pub async fn order_runners(&self, order: &RunnerOrder) -> Result<(), DutyError> {
        let permit = self.turn().await?;
        self.access.call(|control| control.order_runners(&permit, order)).await
    }

    async fn turn(&self) -> Result<DutyPermit, DutyError> {
        self.access.wait_for_rate().await;
        self.permit().ok_or(DutyError::NotHolder)
    }

    /// The condition that this daemon still holds the duties, for a store transaction.
    pub fn condition(&self) -> (String, Option<Revision>) {
        (HOLDER_KEY.to_owned(), Some(Revision(self.token.0)))
    }

    /// Applies a store transaction if this daemon still holds the duties, and returns its revision.
    ///
    /// # Errors
    ///
    /// This daemon no longer holds the duties, a condition does not hold, or the store did not answer or rejected the
    /// call. After [`crate::store::StoreError::Silent`] the transaction may be applied later if its conditions still hold.
    pub async fn commit(&self, mut transaction: Transaction) -> Result<Revision, DutyError> {
        if !self.is_current() {
            return Err(DutyError::NotHolder);
        }
        transaction.conditions.push(self.condition());
        Ok(self.access.store().commit(transaction).await?)
    }

    /// Reads one key of the store; `None` if there is no such key.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, DutyError> {
        match self.access.store().get(key).await {
            Ok(item) => Ok(Some(item)),
            Err(crate::store::StoreError::Missing) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// The store, for reads.
    pub fn store(&self) -> &S {
        self.access.store()
    }

    /// The time that permits are checked against.
    pub fn now(&self) -> Millis {
        boot_time()
    }
}
