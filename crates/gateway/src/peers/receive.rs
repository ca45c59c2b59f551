//! Handles the datagrams of peers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use async_io::{Async, Timer};
use prost::Message;
use teaselcroft_parts::{FencingToken, Millis};

use super::fetch_configuration::{STORE_DELAY, fetch_newer, is_newer};
use super::{CRASHES_PATH, log_limit};
use crate::containment::run_contained;
use crate::dialect::Dialect;
use crate::duties::boot_time;
use crate::gateway::Gateway;
use crate::heartbeat::{Content, CrashList, Datagram, Heartbeat, MemberRecord};
use crate::http_client::{CallLimits, HttpClient};
use crate::placer::answer_query;
use crate::roster::peer_address;
use crate::store::{Era, Revision};
use crate::{ConfigFetches, Event, log_event};

/// The delay after a failed receive before the next one.
const RECEIVE_RETRY_DELAY: Millis = Millis(100);

/// The largest datagram that is received whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Handles datagrams of other daemons; never returns.
pub async fn receive_datagrams<D: Dialect>(
    gateway: Arc<Gateway<D>>,
    socket: Arc<Async<UdpSocket>>,
    executor: Arc<smol::Executor<'static>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let fetching = Arc::new(Mutex::new(ConfigFetches::default()));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("failed to receive a datagram: {error}");
                Timer::after(RECEIVE_RETRY_DELAY.into()).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]).map(|datagram| datagram.content) {
            Ok(Some(Content::Heartbeat(heartbeat))) => apply_heartbeat(&gateway, *heartbeat, &executor, &fetching),
            Ok(Some(Content::Ask(query))) => answer_query(&gateway, &socket, query, from).await,
            Ok(Some(Content::Grant(grant))) => gateway.placer.deliver(grant),
            Ok(Some(Content::Report(report))) => {
                let now = gateway.now();
                let ejected = gateway.fleet().set_peer_loads(&report.daemon, Some(report.number), report.loads, now);
                for (runner, span) in ejected {
                    gateway.log_ejection(&runner, span, &report.daemon);
                }
            }
            Ok(Some(Content::Demand(report))) => {
                let now = gateway.now();
                gateway.demand().apply(report, now);
            }
            Ok(Some(Content::News(news))) => {
                let source = SocketAddr::new(from.ip(), gateway.settings.peer.port());
                fetch_newer(&gateway, source, news.version, Millis(0), &executor, &fetching);
                // Without revisions, the news carries only the version of the configuration.
                let revision = Some(Revision(news.revision)).filter(|revision| revision.number() > 0);
                gateway.note_store_era(revision.map(Revision::era), &from.ip().to_string());
                gateway.queue_runner_changes(news);
            }
            Ok(Some(Content::Usage(news))) => gateway.merge_usage(news),
            Ok(None) => log::debug!("ignored a datagram of an unknown kind"),
            Err(error) => log::debug!("failed to decode a datagram: {error}"),
        }
    }
}

fn apply_heartbeat<D: Dialect>(
    gateway: &Arc<Gateway<D>>,
    mut heartbeat: Heartbeat,
    executor: &smol::Executor<'static>,
    fetching: &Arc<Mutex<ConfigFetches>>,
) {
    let now = gateway.now();
    let Some(member) = heartbeat.member.take() else {
        return;
    };
    let (name, address) = (member.name.clone(), peer_address(&member));
    if let (Some(mut usage), Some(unix)) = (gateway.usage(), heartbeat.unix_ms) {
        usage.heard(&name, unix, boot_time());
    }
    apply_members(gateway, &name, member, std::mem::take(&mut heartbeat.members), now);
    gateway.note_store_era(heartbeat.store_era.map(Era), &name);
    let token = (heartbeat.duty > 0).then_some(FencingToken(heartbeat.duty));
    if gateway.holders().heard(&name, token, now) {
        log_event!(Event::HolderChanged, peer = name, fence = heartbeat.duty);
        gateway.notify_duty_news();
    }
    apply_fleet_news(gateway, &name, &mut heartbeat, now);
    for clearance in heartbeat.cleared {
        gateway.crashes().note_clearance(clearance, now);
    }
    for crash in heartbeat.crashes {
        gateway.note_crash(crash, false);
    }
    let Some(source) = address else {
        return;
    };
    let own_digest = gateway.crashes().digest();
    if gateway.crash_sync().is_due(&name, heartbeat.crash_digest, own_digest, now) {
        let gateway = gateway.clone();
        let fetch_task = async move {
            run_contained(&gateway, "crash fetch", fetch_crashes(&gateway, name, source)).await;
        };
        executor.spawn(fetch_task).detach();
    }
    if let Some(age) = heartbeat.config_age_ms.filter(|_| !is_newer(gateway, heartbeat.version)) {
        gateway.config_check().note_peer(now.since(Millis(age.into())));
    }
    // The store may deliver it in the meantime.
    let delay = gateway.configuration().map_or(Millis(0), |_| STORE_DELAY);
    fetch_newer(gateway, source, heartbeat.version, delay, executor, fetching);
}

/// Notes the member that sent a heartbeat, and those that it knows.
fn apply_members<D: Dialect>(
    gateway: &Gateway<D>,
    name: &str,
    member: MemberRecord,
    known: Vec<MemberRecord>,
    now: Millis,
) {
    let mut roster = gateway.roster();
    if roster.heard(member, now) {
        log_event!(Event::PeerHeard, peer = name);
    }
    for known in known {
        let learned = known.name.clone();
        if roster.learn(known, false, now) {
            log_event!(Event::PeerLearned, peer = learned, source = name);
        }
    }
    if roster.has_untold() {
        gateway.request_phase_heartbeats();
    }
}

/// Notes what a peer says of the runners.
fn apply_fleet_news<D: Dialect>(gateway: &Gateway<D>, name: &str, heartbeat: &mut Heartbeat, now: Millis) {
    let ejected = {
        let mut fleet = gateway.fleet();
        let ejected = fleet.set_peer_loads(name, None, std::mem::take(&mut heartbeat.loads), now);
        fleet.apply_totals(&heartbeat.totals, now);
        fleet.apply_peer_caches(&heartbeat.caches, now);
        for runner in heartbeat.gone.iter().filter_map(|news| fleet.apply_departure(*news, now)) {
            log_event!(Event::RunnerLeft, runner = runner, source = name);
        }
        for (runner, rate) in fleet.apply_peer_limits(&heartbeat.limits, now) {
            log_limit(&runner, rate, name);
        }
        fleet.apply_peer_permits(name, &heartbeat.permits, now);
        for runner in fleet.apply_ejections(&heartbeat.ejections, now) {
            log_event!(Event::RunnerEjected, runner = runner, source = name);
        }
        ejected
    };
    for (runner, span) in ejected {
        gateway.log_ejection(&runner, span, name);
    }
}

/// Fetches the crashes that a peer knows.
async fn fetch_crashes<D: Dialect>(gateway: &Gateway<D>, peer: String, source: SocketAddr) {
    let reply = HttpClient::new(source).download(CRASHES_PATH, &CallLimits::default(), |_| true).await;
    let list = reply.ok().filter(|reply| reply.status == 200).and_then(|reply| CrashList::decode(&*reply.body).ok());
    let count = match list {
        Some(list) => Some(gateway.merge_crashes(list)),
        None => {
            gateway.crash_sync().fetch_failed(&peer);
            None
        }
    };
    let digest = gateway.crashes().digest();
    match count {
        Some(count) => log_event!(Event::CrashesFetched, peer = peer, crashes = count, digest = format!("{digest:x}")),
        None => log::debug!("{source} did not send the crashes that it knows"),
    }
}
