//! The last orders of all services, as kept in the store for a successor.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{FencingToken, ModelName};
use teaselcroft_policy::scaling::ScalingRecord;

use crate::store::Revision;

/// The store's key of the last orders.
pub const ORDERS_KEY: &str = "teaselcroft/duties/orders";

/// The last orders of all services, as kept in the store for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredOrders {
    /// The token of the holder that made them.
    #[serde(default)]
    pub token: u64,
    /// The orders by service.
    #[serde(default)]
    pub services: BTreeMap<ModelName, ScalingRecord>,
}

impl StoredOrders {
    /// Decodes the store's value.
    ///
    /// # Errors
    ///
    /// It is not readable.
    pub fn decode(bytes: &[u8]) -> Result<StoredOrders, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Forgets the orders if the store may have lost later ones, since it came back from an older copy between them and the holder
    /// with `token`. To repeat them would undo what was ordered since.
    pub fn forget_outdated(&mut self, token: FencingToken) {
        let era = |token: u64| Revision(token).era();
        if era(self.token) < era(token.0) {
            self.services.values_mut().for_each(|record| record.orders.clear());
        }
    }

    /// Encodes the value for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
