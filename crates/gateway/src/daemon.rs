//! Starts and stops a gateway daemon.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use async_io::{Async, Timer};
use error_stack::{Report, ResultExt};
use prost::Message;
use smol::Executor;
use teaselcroft_parts::Millis;

use crate::dialect::Dialect;
use crate::discovery::{
    StoreHealth, drop_missing, follow_configuration, follow_runners, list_members, stay_registered,
};
use crate::front::serve_caller;
use crate::gateway::Gateway;
use crate::http::{Inbound, Reply, RequestHead};
use crate::peers::{CONFIGURATION_PATH, RUNNERS_PATH, hear_peers, send_heartbeats};
use crate::placer::report_loads;
use crate::run::RunError;
use crate::small_server::{accept, listen, serve};
use crate::store::{LeaseId, Store};
use crate::{Event, Settings, record};

/// The time between clean-ups of idle connections and missing runners.
const SWEEP_TIME: Millis = Millis(250);

/// A planned stop lasts at least so long, for callers keep addresses a while.
const SHORTEST_STOP: Millis = Millis(2_500);

/// A runner whose entry vanished is given up so long before it may end: news of it can take that long.
const DRAIN_MARGIN: Millis = Millis(700);

/// The time between looks at whether all requests have ended.
const STOP_LOOK: Millis = Millis(50);

/// The longest time to end the lease at a stop.
const REVOKE_TIME: Millis = Millis(300);

/// A running gateway daemon.
pub struct GatewayDaemon<D, S> {
    gate: Arc<Gateway<D>>,
    store: Arc<S>,
    lease: Arc<Mutex<Option<LeaseId>>>,
}

impl<D: Dialect, S: Store> GatewayDaemon<D, S> {
    /// Opens all addresses and starts the daemon's threads: one for control state, one for traffic.
    ///
    /// # Errors
    ///
    /// An address cannot be used or a thread cannot be started.
    pub fn start(settings: Settings, dialect: D, store: S) -> Result<GatewayDaemon<D, S>, Report<RunError>> {
        let gate = Arc::new(Gateway::new(settings, dialect));
        let store = Arc::new(store);
        let lease = Arc::new(Mutex::new(None));
        let settings = &gate.settings;
        let open = |address: SocketAddr| listen(address).change_context(RunError::Address(address));
        let front = open(settings.front)?;
        let (ready, directory, peer) = (open(settings.ready)?, open(settings.directory)?, open(settings.peer)?);
        let metrics = open(SocketAddr::new(settings.ip, settings.metrics_port))?;
        let beat = SocketAddr::new(settings.ip, settings.heartbeat_port);
        let socket = Arc::new(Async::<UdpSocket>::bind(beat).change_context(RunError::Address(beat))?);
        record!(Event::GatewayStarted, daemon = settings.daemon, zone = settings.zone, front = settings.front);

        let control = Arc::new(Executor::new());
        let traffic = Arc::new(Executor::new());
        let hold = settings.bounds.drain_ms.since(DRAIN_MARGIN);
        let health = Arc::new(StoreHealth::new(hold));
        control.spawn(follow_configuration(gate.clone(), store.clone(), health.clone())).detach();
        control.spawn(follow_runners(gate.clone(), store.clone(), health.clone(), hold)).detach();
        control.spawn(list_members(gate.clone(), store.clone())).detach();
        control.spawn(stay_registered(gate.clone(), store.clone(), lease.clone())).detach();
        control.spawn(send_heartbeats(gate.clone(), socket.clone())).detach();
        gate.placer.open(socket.clone());
        control.spawn(report_loads(gate.clone(), socket.clone())).detach();
        control.spawn(hear_peers(gate.clone(), socket, control.clone())).detach();
        control.spawn(sweep(gate.clone(), health)).detach();
        for (listener, answer) in [
            (ready, answer_ready as fn(&Gateway<D>, &RequestHead) -> Reply),
            (directory, answer_directory),
            (peer, answer_peer),
            (metrics, answer_metrics),
        ] {
            let gate = gate.clone();
            let serve_one = move |inbound: Inbound| {
                let gate = gate.clone();
                async move { serve(inbound, |head| answer(&gate, head)).await }
            };
            control.spawn(accept(listener, control.clone(), serve_one)).detach();
        }
        let shared = gate.clone();
        let serve_front = move |inbound: Inbound| serve_caller(shared.clone(), inbound);
        traffic.spawn(accept(front, traffic.clone(), serve_front)).detach();
        for (name, executor) in [("control", control), ("traffic", traffic)] {
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || smol::block_on(executor.run(std::future::pending::<()>())))
                .change_context(RunError::Start)?;
        }
        Ok(GatewayDaemon { gate, store, lease })
    }

    /// Stops as planned: callers are led elsewhere, requests under way end first.
    pub async fn stop(&self) {
        let begun = self.gate.now();
        record!(Event::GatewayStopping, in_flight = self.gate.in_flight());
        self.gate.begin_stop();
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(lease) = lease {
            let revoke = async { self.store.revoke(lease).await.is_ok() };
            let late = async {
                Timer::after(REVOKE_TIME.into()).await;
                false
            };
            let revoked = futures_lite::future::or(revoke, late).await;
            log::debug!("the lease was ended: {revoked}");
        }
        let longest = self.gate.longest_stop();
        loop {
            let took = self.gate.now().since(begun);
            if took >= SHORTEST_STOP && self.gate.close(took >= longest) {
                record!(Event::GatewayStopped, took = took, in_flight = self.gate.in_flight());
                return;
            }
            Timer::after(STOP_LOOK.into()).await;
        }
    }
}

async fn sweep<D: Dialect>(gate: Arc<Gateway<D>>, health: Arc<StoreHealth>) {
    loop {
        Timer::after(SWEEP_TIME.into()).await;
        gate.pool().sweep(gate.now());
        drop_missing(&gate, &health);
    }
}

fn answer_ready<D: Dialect>(gate: &Gateway<D>, _: &RequestHead) -> Reply {
    if gate.is_ready() { Reply::text(200, "ready\n") } else { Reply::text(503, "not ready\n") }
}

fn answer_directory<D: Dialect>(gate: &Gateway<D>, head: &RequestHead) -> Reply {
    if head.path() != gate.dialect.directory_path() {
        return Reply::text(404, "no such path\n");
    }
    let zone = head.query(gate.dialect.zone_parameter());
    let addresses = gate.roster().addresses(zone, gate.now());
    if addresses.is_empty() {
        return Reply::text(503, "no daemon is ready\n");
    }
    let body = gate.dialect.directory_body(&addresses, gate.settings.bounds.addresses.into());
    Reply { media_type: "application/json", body, ..Reply::text(200, "") }
}

fn answer_peer<D: Dialect>(gate: &Gateway<D>, head: &RequestHead) -> Reply {
    let (media_type, body) = match head.path() {
        CONFIGURATION_PATH => ("application/json", gate.raw_configuration().map(|raw| raw.to_vec())),
        RUNNERS_PATH => {
            let list = gate.runner_index().list();
            ("application/x-protobuf", list.map(|list| list.encode_to_vec()))
        }
        _ => return Reply::text(404, "no such path\n"),
    };
    match body {
        Some(body) => Reply { media_type, body, ..Reply::text(200, "") },
        None => Reply::text(404, "not known yet\n"),
    }
}

fn answer_metrics<D: Dialect>(gate: &Gateway<D>, head: &RequestHead) -> Reply {
    if head.path() != "/metrics" {
        return Reply::text(404, "no such path\n");
    }
    Reply::text(200, &gate.metrics.text())
}
