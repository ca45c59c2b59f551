//! Orders runners while this daemon holds the duties: collects what the decision needs, stores its orders and makes the
//! calls.

mod scaled_service;
mod scaling_gauges;
mod stored_orders;
mod zone_check;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use async_io::Timer;
use futures_util::future::join_all;
use teaselcroft_parts::{FencingToken, Millis, ModelName, ZoneName};
use teaselcroft_policy::scaling::{OrderResult, ScalingRecord, ZoneOrder};
use teaselcroft_policy::{RunnerOrder, ScalingRule};

use super::{DutyError, DutyHold, DutyTask};
use crate::control_api::{ControlApi, ControlError};
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::store::{Revision, Store, StoreError, Transaction, Write};
use crate::{Event, log_event};
use scaled_service::ScaledService;
pub use scaling_gauges::ScalingGauges;
pub use stored_orders::{ORDERS_KEY, StoredOrders};
pub use zone_check::check_zones;

/// The time between two decisions.
const STEP: Millis = Millis(500);

/// The store or the API counts as unavailable for this long after a failed call.
const AWAY_TIME: Millis = Millis(3_000);

/// Demand data that is older than this is no longer used.
const MAX_DEMAND_AGE: Millis = Millis(1_000);

/// Orders runners while this daemon holds the duties.
pub struct ScalingDuty<D> {
    gateway: Arc<Gateway<D>>,
    services: BTreeMap<ModelName, ScaledService>,
    /// Rules that name zones without runners, or lack some, as logged.
    refused: HashMap<ModelName, ScalingRule>,
    /// What the store has, and its revision.
    stored: StoredOrders,
    revision: Option<Revision>,
    failed_at: Option<Millis>,
}

impl<D: Dialect> ScalingDuty<D> {
    /// The duty of a daemon that does not hold the duties yet.
    pub fn new(gateway: Arc<Gateway<D>>) -> ScalingDuty<D> {
        ScalingDuty {
            gateway,
            services: BTreeMap::new(),
            refused: HashMap::new(),
            stored: StoredOrders::default(),
            revision: None,
            failed_at: None,
        }
    }

    /// Reads the orders of the predecessor; tries again until the store answers.
    async fn read_stored<C: ControlApi, S: Store>(&mut self, hold: &DutyHold<C, S>) {
        loop {
            match hold.get(ORDERS_KEY).await {
                Ok(item) => {
                    self.revision = item.as_ref().map(|item| item.revision);
                    let decoded = item.map(|item| StoredOrders::decode(&item.value)).transpose();
                    self.stored = decoded
                        .unwrap_or_else(|error| {
                            log_event!(Event::EntryIgnored, key = ORDERS_KEY, reason = error, source = "store");
                            None
                        })
                        .unwrap_or_default();
                    self.stored.forget_outdated(hold.token());
                    return;
                }
                Err(error) => log::debug!("the stored orders cannot be read: {error}"),
            }
            Timer::after(STEP.into()).await;
        }
    }

    fn is_away(&self, now: Millis) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < AWAY_TIME) || self.gateway.is_runner_store_away()
    }

    /// Decides for each service; the orders are not stored yet.
    fn decide(&mut self, token: FencingToken) -> Vec<(ModelName, ZoneOrder)> {
        let now = self.gateway.now();
        let Some(configuration) = self.gateway.configuration().filter(|_| self.gateway.has_runners()) else {
            return Vec::new();
        };
        let is_away = self.is_away(now);
        let rules = configuration.services.iter().filter_map(|(name, service)| Some((name, service.scaling.as_ref()?)));
        let rules: BTreeMap<ModelName, ScalingRule> = rules.map(|(name, rule)| (name.clone(), rule.clone())).collect();
        self.services.retain(|name, _| rules.contains_key(name));
        let mut orders = Vec::new();
        for (name, rule) in rules {
            let (runners, zones) = {
                let fleet = self.gateway.fleet();
                (fleet.zone_counts(&name), fleet.zones())
            };
            if !self.is_usable(&name, &rule, &runners.keys().cloned().collect(), &zones) {
                self.services.remove(&name);
                continue;
            }
            let record = self.stored.services.get(&name);
            let service = self.services.entry(name.clone()).or_insert_with(|| {
                let is_stored = record.is_some_and(|record| !record.orders.is_empty());
                log_event!(Event::ScalingResumed, service = name, token = token, stored = is_stored);
                ScaledService::new(rule.clone(), record, now)
            });
            let demand = self.gateway.demand().take(&name, MAX_DEMAND_AGE, now);
            let decided = service.step(rule, &runners, demand, is_away, now);
            for zone in service.newly_reclaimed(now) {
                log_event!(Event::ZoneReclaimed, service = name, zone = zone);
            }
            self.gateway.metrics.scaling.show(&name, service, &runners);
            orders.extend(decided.into_iter().map(|order| (name.clone(), order)));
        }
        orders
    }

    /// Whether the rule's zones are those of the runners. A rule is checked until it passes once, since a zone may lose
    /// all its runners later.
    fn is_usable(
        &mut self,
        name: &ModelName,
        rule: &ScalingRule,
        present: &BTreeSet<ZoneName>,
        known: &BTreeSet<ZoneName>,
    ) -> bool {
        if self.services.get(name).is_some_and(|service| service.rule() == rule) {
            return true;
        }
        let Err((key, reason)) = check_zones(rule, present, known) else {
            self.refused.remove(name);
            return true;
        };
        if self.refused.get(name) != Some(rule) {
            log_event!(Event::ScalingInvalid, service = name, key = key, reason = reason);
            self.refused.insert(name.clone(), rule.clone());
        }
        false
    }

    /// Stores the orders before they are sent.
    async fn store<C: ControlApi, S: Store>(
        &mut self,
        hold: &DutyHold<C, S>,
        record: &StoredOrders,
    ) -> Result<(), DutyError> {
        let write = Write { key: ORDERS_KEY.to_owned(), value: record.encode(), lease: None };
        // The revision keeps a transaction without an answer from replacing later orders when it is applied late.
        let conditions = vec![(ORDERS_KEY.to_owned(), self.revision)];
        let result = hold.commit(Transaction { conditions, writes: vec![write], removals: Vec::new() }).await;
        match result {
            Ok(revision) => {
                self.revision = Some(revision);
                self.stored = record.clone();
                Ok(())
            }
            Err(error) => {
                if error == DutyError::Store(StoreError::Conflict) {
                    self.reread_revision(hold).await;
                }
                Err(error)
            }
        }
    }

    /// Learns the revision of the stored orders after a transaction without an answer was applied.
    async fn reread_revision<C: ControlApi, S: Store>(&mut self, hold: &DutyHold<C, S>) {
        if let Ok(item) = hold.get(ORDERS_KEY).await {
            self.revision = item.map(|item| item.revision);
        }
    }

    /// The orders of all services, as a successor needs them.
    fn record(&self, token: FencingToken) -> StoredOrders {
        // Services that are not decided yet, for instance before the runners are known, keep their records.
        let mut services = self.stored.services.clone();
        let current: Vec<(ModelName, ScalingRecord)> =
            self.services.iter().map(|(name, service)| (name.clone(), service.record())).collect();
        services.extend(current);
        StoredOrders { token: token.0, services }
    }

    fn apply(&mut self, name: &ModelName, order: &ZoneOrder, result: OrderResult) {
        let now = self.gateway.now();
        if let Some(service) = self.services.get_mut(name) {
            service.apply_result(order, result, now);
        }
    }

    /// Sends the orders, all at once as far as the shared rate allows.
    async fn send<C: ControlApi, S: Store>(&mut self, hold: &DutyHold<C, S>, orders: Vec<(ModelName, ZoneOrder)>) {
        let calls = orders.iter().map(|(name, order)| {
            let call =
                RunnerOrder { service: name.clone(), zone: order.zone.clone(), kind: order.kind, count: order.count };
            async move { hold.order_runners(&call).await }
        });
        let results = join_all(calls).await;
        for ((name, order), result) in orders.iter().zip(results) {
            if let Err(error) = result {
                log_event!(
                    Event::OrderRefused,
                    service = name,
                    zone = order.zone,
                    kind = order.kind,
                    count = order.count,
                    reason = error
                );
            }
            let now = self.gateway.now();
            let outcome = match result {
                Ok(()) => OrderResult::Accepted,
                Err(DutyError::Control(ControlError::NoneAvailable)) => OrderResult::NoneAvailable,
                Err(DutyError::NotHolder) => OrderResult::NotSent,
                Err(DutyError::Control(ControlError::Rejected(400..500))) => OrderResult::NoneAvailable,
                Err(_) => OrderResult::NoAnswer,
            };
            match outcome {
                OrderResult::NoAnswer => self.failed_at = Some(now),
                OrderResult::Accepted => self.gateway.metrics.scaling.accepted(name, order),
                _ => {}
            }
            self.apply(name, order, outcome);
        }
    }

    async fn step<C: ControlApi, S: Store>(&mut self, hold: &DutyHold<C, S>) {
        let orders = self.decide(hold.token());
        if orders.is_empty() {
            return;
        }
        let record = self.record(hold.token());
        if let Err(error) = self.store(hold, &record).await {
            self.failed_at = Some(self.gateway.now());
            log_event!(Event::OrdersUnstored, orders = orders.len(), reason = error);
            orders.iter().for_each(|(name, order)| self.apply(name, order, OrderResult::NotSent));
            return;
        }
        for (name, order) in &orders {
            log_event!(
                Event::RunnersOrdered,
                service = name,
                zone = order.zone,
                kind = order.kind,
                count = order.count,
                reason = order.reason,
                inputs = order.inputs,
                token = hold.token()
            );
        }
        self.send(hold, orders).await;
    }
}

impl<D: Dialect, C: ControlApi, S: Store> DutyTask<C, S> for ScalingDuty<D> {
    async fn perform(&mut self, hold: DutyHold<C, S>) {
        self.services.clear();
        self.gateway.demand().restart();
        self.read_stored(&hold).await;
        loop {
            self.step(&hold).await;
            Timer::after(STEP.into()).await;
        }
    }

    fn ended(&mut self, _: FencingToken) {
        self.services.clear();
        self.gateway.metrics.scaling.clear();
    }
}
