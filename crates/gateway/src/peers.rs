//! Heartbeats between daemons, and configurations fetched from peers.

use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use async_io::{Async, Timer};
use prost::Message;
use teaselcroft_parts::Millis;

use crate::dialect::Dialect;
use crate::gate::Gate;
use crate::heartbeat::{Content, Datagram, Heartbeat, MemberRecord};
use crate::http_client::HttpClient;
use crate::placer::answer;
use crate::{ConfigVersion, Event, record};

/// The pause after a datagram that could not be received.
const RECEIVE_REST: Millis = Millis(100);

/// Daemons that are told what runners carry and have cached: the one that places, and the next, so that it can
/// go on.
const TOLD_LOADS: usize = 2;

/// After so long a daemon has heard where the beginnings of prompts in use were sent; they come back about every
/// seven seconds.
const SETTLED: Millis = Millis(10_000);

/// Members named in one heartbeat, for daemons that lack the store.
const MEMBERS_TOLD: usize = 1;

/// The largest heartbeat.
const MAX_DATAGRAM: usize = 16 * 1024;

/// The longest time for a peer to send its configuration.
const FETCH_TIME: Millis = Millis(1_000);

/// How long a newer configuration may take through the store before it is fetched from the peer that has it.
const FETCH_DELAY: Millis = Millis(150);

/// The path of the configuration at a peer.
pub const CONFIGURATION_PATH: &str = "/configuration";

/// Sends heartbeats for good.
pub async fn send_heartbeats<D: Dialect>(gate: Arc<Gate<D>>, socket: Arc<Async<UdpSocket>>) {
    let mut last = gate.now();
    loop {
        let now = gate.now();
        let heartbeat = compose(&gate, now);
        let slim = Heartbeat { loads: Vec::new(), caches: Vec::new(), ..heartbeat.clone() };
        let full = Datagram::from(Content::Heartbeat(heartbeat)).encode_to_vec();
        let slim = Datagram::from(Content::Heartbeat(slim)).encode_to_vec();
        let told = placing_addresses(&gate, now);
        for target in targets(&gate) {
            let bytes = if told.contains(&target) { &full } else { &slim };
            if let Err(error) = socket.send_to(bytes, target).await {
                log::debug!("a heartbeat to {target} was not sent: {error}");
            }
        }
        let silent = gate.roster().sweep(now, last);
        for name in silent {
            record!(Event::PeerLost, peer = name);
            gate.fleet().peer_lost(&name);
        }
        gate.fleet().sweep(now);
        gate.metrics.peers.set(i64::try_from(gate.roster().live_count(now)).unwrap_or(i64::MAX));
        last = now;
        let pause = gate.roster().heartbeat_time();
        Timer::after(pause.into()).await;
    }
}

/// Where the daemons are that are told what runners carry.
fn placing_addresses<D: Dialect>(gate: &Gate<D>, now: Millis) -> Vec<SocketAddr> {
    let roster = gate.roster();
    let placing = roster.placing_daemons(now).into_iter().take(TOLD_LOADS);
    placing.filter_map(|member| Some(SocketAddr::new(member.ip.parse().ok()?, gate.settings.heartbeat_port))).collect()
}

fn targets<D: Dialect>(gate: &Gate<D>) -> Vec<SocketAddr> {
    let port = gate.settings.heartbeat_port;
    let roster = gate.roster();
    let mut ips: Vec<std::net::IpAddr> = roster.peers().filter_map(|peer| peer.record.ip.parse().ok()).collect();
    ips.extend(gate.settings.seeds.iter().map(SocketAddr::ip));
    ips.sort_unstable();
    ips.dedup();
    ips.into_iter().filter(|ip| *ip != gate.settings.ip).map(|ip| SocketAddr::new(ip, port)).collect()
}

fn compose<D: Dialect>(gate: &Gate<D>, now: Millis) -> Heartbeat {
    let (member, mut members) = {
        let mut roster = gate.roster();
        roster.me.is_settled = now > SETTLED;
        (roster.me.clone(), roster.peers().map(|peer| peer.record.clone()).collect::<Vec<MemberRecord>>())
    };
    fastrand::shuffle(&mut members);
    members.truncate(MEMBERS_TOLD);
    // One lock at a time: a guard in the expression below would live until its end.
    let (loads, caches, gone) = {
        let mut fleet = gate.fleet();
        (fleet.own_loads(now), fleet.cache_news(now), fleet.left_news(now))
    };
    let crashes = gate.crashes().news(now);
    let version = gate.configuration().map_or(0, |configuration| configuration.version.0);
    Heartbeat { member: Some(member), version, loads, crashes, gone, caches, members }
}

/// Takes in datagrams of other daemons for good.
pub async fn hear_peers<D: Dialect>(
    gate: Arc<Gate<D>>,
    socket: Arc<Async<UdpSocket>>,
    executor: Arc<smol::Executor<'static>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let fetching = Arc::new(Mutex::new(HashSet::new()));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("a heartbeat could not be received: {error}");
                Timer::after(RECEIVE_REST.into()).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]).map(|datagram| datagram.content) {
            Ok(Some(Content::Heartbeat(heartbeat))) => take_in(&gate, heartbeat, &executor, &fetching),
            Ok(Some(Content::Ask(ask))) => answer(&gate, &socket, ask, from).await,
            Ok(Some(Content::Grant(grant))) => gate.placer.answered(grant),
            Ok(Some(Content::Report(report))) => {
                let now = gate.now();
                gate.fleet().peer_loads(&report.daemon, Some(report.number), report.loads, now);
            }
            Ok(None) => log::debug!("a datagram of an unknown kind was ignored"),
            Err(error) => log::debug!("a datagram cannot be read: {error}"),
        }
    }
}

fn take_in<D: Dialect>(
    gate: &Arc<Gate<D>>,
    heartbeat: Heartbeat,
    executor: &smol::Executor<'static>,
    fetching: &Arc<Mutex<HashSet<u64>>>,
) {
    let now = gate.now();
    let Some(member) = heartbeat.member else {
        return;
    };
    let (name, address) = (member.name.clone(), (member.ip.clone(), member.peer_port));
    {
        let mut roster = gate.roster();
        if roster.heard(member, now) {
            record!(Event::PeerHeard, peer = name);
        }
        for known in heartbeat.members {
            roster.learn(known, false, now);
        }
    }
    {
        let mut fleet = gate.fleet();
        fleet.peer_loads(&name, None, heartbeat.loads, now);
        fleet.peer_caches(&heartbeat.caches, now);
        for runner in heartbeat.gone.iter().filter_map(|news| fleet.leaving(*news)) {
            record!(Event::RunnerLeft, runner = runner, source = name);
        }
    }
    for crash in heartbeat.crashes {
        gate.crashes().note(crash, false, now);
    }
    if !is_newer(gate, heartbeat.version) {
        return;
    }
    let Ok(ip) = address.0.parse() else {
        return;
    };
    let is_first = fetching.lock().unwrap_or_else(PoisonError::into_inner).insert(heartbeat.version);
    if is_first {
        let source = SocketAddr::new(ip, u16::try_from(address.1).unwrap_or(0));
        let (gate, fetching, version) = (gate.clone(), fetching.clone(), heartbeat.version);
        executor
            .spawn(async move {
                fetch(&gate, source, version, &name).await;
                fetching.lock().unwrap_or_else(PoisonError::into_inner).remove(&version);
            })
            .detach();
    }
}

fn is_newer<D: Dialect>(gate: &Gate<D>, version: u64) -> bool {
    let current = gate.configuration().map(|configuration| configuration.version);
    current.unwrap_or_default() < ConfigVersion(version)
}

/// Fetches a configuration from a peer unless it arrives through the store first.
async fn fetch<D: Dialect>(gate: &Gate<D>, source: SocketAddr, version: u64, peer: &str) {
    if gate.configuration().is_some() {
        Timer::after(FETCH_DELAY.into()).await;
    }
    if !is_newer(gate, version) {
        return;
    }
    match HttpClient::new(source).call("GET", CONFIGURATION_PATH, &[], FETCH_TIME).await {
        Ok(reply) if reply.status == 200 => gate.apply_configuration(reply.body, peer),
        Ok(reply) => log::debug!("{peer} answered {} instead of its configuration", reply.status),
        Err(error) => log::debug!("{peer} did not send its configuration: {error}"),
    }
}
