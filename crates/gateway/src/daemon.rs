//! Starts and stops a gateway daemon.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use async_channel::Receiver;
use async_io::{Async, Timer};
use error_stack::{Report, ResultExt};
use futures_lite::future::{or, zip};
use prost::Message;
use smol::Executor;
use teaselcroft_parts::Millis;

use crate::cache_reader::read_caches;
use crate::containment::{run_contained, run_thread, spawn_essential};
use crate::control_api::ControlApi;
use crate::dialect::Dialect;
use crate::discovery::{
    StoreHealth, check_configuration, drop_missing, follow_configuration, follow_runners, list_members, read_crashes,
    stay_registered, store_crashes,
};
use crate::duties::start_duties;
use crate::front::serve_caller;
use crate::gateway::Gateway;
use crate::heartbeat::LimitList;
use crate::http::{Connection, Reply, RequestHead};
use crate::http_server::{accept_connections, listen, serve};
use crate::limit_sync::{LIMITS_PATH, learn_limits};
use crate::peers::{
    CONFIGURATION_PATH, CRASHES_PATH, RUNNERS_PATH, announce_phase, receive_datagrams, send_heartbeats,
};
use crate::placer::report_loads;
use crate::run::RunError;
use crate::store::{LeaseId, Store};
use crate::usage::{state_last_usage, state_usage};
use crate::{Event, Settings, log_event};

/// The time between removals of expired idle connections and missing runners.
const SWEEP_INTERVAL: Millis = Millis(250);

/// The shortest duration of a planned stop: callers may use cached addresses for a while.
const MIN_STOP_DURATION: Millis = Millis(2_500);

/// A runner whose entry vanished is dropped this long before it may terminate, since word of a vanished entry can
/// take that long to arrive.
const DRAIN_MARGIN: Millis = Millis(700);

/// The time between checks whether all requests have ended.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// How long giving back the duties may take when the daemon stops: a call of a duty that is under way, and two store calls.
const RELEASE_TIMEOUT: Millis = Millis(2_200);

/// How long revoking the lease may take when the daemon stops.
const REVOKE_TIMEOUT: Millis = Millis(300);

/// A running gateway daemon; its threads run until the process ends.
pub struct GatewayDaemon<D, S> {
    gateway: Arc<Gateway<D>>,
    store: Arc<S>,
    lease: Arc<Mutex<Option<LeaseId>>>,
    /// Closes when a planned stop has given back the duties; `None` if none is configured.
    duties: Option<Receiver<()>>,
}

impl<D: Dialect, S: Store> GatewayDaemon<D, S> {
    /// Binds all addresses and starts the daemon's two threads: one for the control plane (store, peers, readiness,
    /// addresses, metrics), one for callers' traffic. `api` is a client of the control API for the duties that the settings
    /// name.
    ///
    /// # Errors
    ///
    /// An address cannot be bound or a thread cannot be started.
    pub fn start<C: ControlApi>(
        settings: Settings,
        dialect: D,
        store: S,
        api: Option<C>,
    ) -> Result<GatewayDaemon<D, S>, Report<RunError>> {
        let gateway = Arc::new(Gateway::new(settings, dialect));
        let store = Arc::new(store);
        let lease = Arc::new(Mutex::new(None));
        let settings = &gateway.settings;
        let open = |address: SocketAddr| listen(address).change_context(RunError::Address(address));
        let front = open(settings.front)?;
        let (ready, directory, peer) = (open(settings.ready)?, open(settings.directory)?, open(settings.peer)?);
        let metrics = open(SocketAddr::new(settings.ip, settings.metrics_port))?;
        let heartbeat_address = SocketAddr::new(settings.ip, settings.heartbeat_port);
        let socket =
            Arc::new(Async::<UdpSocket>::bind(heartbeat_address).change_context(RunError::Address(heartbeat_address))?);
        log_event!(Event::GatewayStarted, daemon = settings.daemon, zone = settings.zone, front = settings.front);

        let control = Arc::new(Executor::new());
        let traffic = Arc::new(Executor::new());
        let missing_grace = settings.bounds.drain_ms.since(DRAIN_MARGIN);
        let health = Arc::new(StoreHealth::new(gateway.dialect.runner_prefix(), missing_grace));
        gateway.set_runner_store(health.clone());
        let (shared, kept) = (|| gateway.clone(), || store.clone());
        let configuration = follow_configuration(shared(), kept(), health.clone());
        spawn_essential(&control, "configuration", configuration);
        let check = check_configuration(shared(), kept(), health.clone());
        spawn_essential(&control, "configuration check", check);
        let runners = follow_runners(shared(), kept(), health.clone(), missing_grace);
        spawn_essential(&control, "runners", runners);
        spawn_essential(&control, "members", list_members(shared(), kept()));
        spawn_essential(&control, "registration", stay_registered(shared(), kept(), lease.clone()));
        spawn_essential(&control, "caches", read_caches(shared()));
        spawn_essential(&control, "limits", learn_limits(shared()));
        spawn_essential(&control, "stored crashes", store_crashes(shared(), kept()));
        spawn_essential(&control, "known crashes", read_crashes(shared(), kept()));
        spawn_essential(&control, "heartbeats", send_heartbeats(shared(), socket.clone()));
        spawn_essential(&control, "phase", announce_phase(shared(), socket.clone()));
        gateway.placer.open(socket.clone());
        spawn_essential(&control, "load reports", report_loads(shared(), socket.clone()));
        let duties = start_duties(&gateway, &store, api, &control);
        spawn_essential(&control, "usage statements", state_usage(shared(), socket.clone()));
        spawn_essential(&control, "datagrams", receive_datagrams(shared(), socket, control.clone()));
        spawn_essential(&control, "sweep", sweep(shared(), health));
        for (listener, answer) in [
            (ready, answer_ready as fn(&Gateway<D>, &RequestHead) -> Reply),
            (directory, answer_directory),
            (peer, answer_peer),
            (metrics, answer_metrics),
        ] {
            let gateway = gateway.clone();
            let serve_one = move |connection: Connection| {
                let gateway = gateway.clone();
                async move {
                    let serving = serve(connection, |head| answer(&gateway, head));
                    run_contained(&gateway, "control connection", serving).await;
                }
            };
            let accepting = accept_connections(listener, control.clone(), serve_one);
            spawn_essential(&control, "control listener", accepting);
        }
        let traffic_gateway = gateway.clone();
        let serve_front = move |connection: Connection| {
            let gateway = traffic_gateway.clone();
            async move { run_contained(&gateway, "caller's connection", serve_caller(&gateway, connection)).await }
        };
        let accepting = accept_connections(front, traffic.clone(), serve_front);
        spawn_essential(&traffic, "callers' listener", accepting);
        for (name, executor) in [("control", control), ("traffic", traffic)] {
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || run_thread(name, || smol::block_on(executor.run(std::future::pending::<()>()))))
                .change_context(RunError::Start)?;
        }
        Ok(GatewayDaemon { gateway, store, lease, duties })
    }

    /// Stops gracefully: stops giving its address to callers, revokes the lease and waits for the requests in flight,
    /// up to the grace period.
    pub async fn stop(&self) {
        let stop_began = self.gateway.now();
        log_event!(Event::GatewayStopping, in_flight = self.gateway.in_flight());
        self.gateway.begin_stop();
        zip(self.leave_registry(), self.release_duties()).await;
        let max_duration = self.gateway.max_stop_duration();
        loop {
            let took = self.gateway.now().since(stop_began);
            if took >= MIN_STOP_DURATION && self.gateway.close(took >= max_duration) {
                state_last_usage(&self.gateway).await;
                log_event!(Event::GatewayStopped, took = took, in_flight = self.gateway.in_flight());
                return;
            }
            Timer::after(STOP_POLL_INTERVAL.into()).await;
        }
    }

    async fn leave_registry(&self) {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(lease) = lease {
            let revoke = async { self.store.revoke(lease).await.is_ok() };
            let timeout = async {
                Timer::after(REVOKE_TIMEOUT.into()).await;
                false
            };
            let revoked = or(revoke, timeout).await;
            log::debug!("the lease was revoked in time: {revoked}");
        }
    }

    /// Waits until the duties are given back. Without that the next holder waits until the lease expires.
    async fn release_duties(&self) {
        let Some(duties) = &self.duties else {
            return;
        };
        let timeout = async {
            Timer::after(RELEASE_TIMEOUT.into()).await;
        };
        let released = async {
            // Nothing is ever sent; the channel closes when nothing is left to give back.
            let _closed = duties.recv().await;
        };
        or(released, timeout).await;
    }
}

async fn sweep<D: Dialect>(gateway: Arc<Gateway<D>>, health: Arc<StoreHealth>) {
    loop {
        Timer::after(SWEEP_INTERVAL.into()).await;
        gateway.pool().sweep(gateway.now());
        drop_missing(&gateway, &health);
        gateway.count_removed();
    }
}

fn answer_ready<D: Dialect>(gateway: &Gateway<D>, _: &RequestHead) -> Reply {
    if gateway.is_ready() { Reply::text(200, "ready\n") } else { Reply::text(503, "not ready\n") }
}

fn answer_directory<D: Dialect>(gateway: &Gateway<D>, head: &RequestHead) -> Reply {
    if head.path() != gateway.dialect.directory_path() {
        return Reply::text(404, "no such path\n");
    }
    let zone = head.query(gateway.dialect.zone_parameter());
    let addresses = gateway.roster().addresses(zone, gateway.now());
    if addresses.is_empty() {
        return Reply::text(503, "no daemon is ready\n");
    }
    let body = gateway.dialect.directory_body(&addresses, gateway.settings.bounds.addresses.into());
    Reply { media_type: "application/json", body, ..Reply::text(200, "") }
}

fn answer_peer<D: Dialect>(gateway: &Gateway<D>, head: &RequestHead) -> Reply {
    let (media_type, body) = match head.path() {
        CONFIGURATION_PATH => ("application/json", gateway.raw_configuration().map(|raw| raw.to_vec())),
        RUNNERS_PATH => {
            let list = gateway.runner_index().list();
            ("application/x-protobuf", list.map(|list| list.encode_to_vec()))
        }
        CRASHES_PATH => {
            let list = gateway.crashes().all(gateway.now());
            ("application/x-protobuf", Some(list.encode_to_vec()))
        }
        LIMITS_PATH => {
            let list = LimitList { limits: gateway.fleet().known_limits(gateway.now()) };
            ("application/x-protobuf", Some(list.encode_to_vec()))
        }
        _ => return Reply::text(404, "no such path\n"),
    };
    match body {
        Some(body) => Reply { media_type, body, ..Reply::text(200, "") },
        None => Reply::text(404, "not known yet\n"),
    }
}

fn answer_metrics<D: Dialect>(gateway: &Gateway<D>, head: &RequestHead) -> Reply {
    if head.path() != "/metrics" {
        return Reply::text(404, "no such path\n");
    }
    Reply::text(200, &gateway.metrics.text())
}
