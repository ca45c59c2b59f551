//! Heartbeats between daemons, and configurations fetched from peers.

use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use async_io::{Async, Timer};
use futures_lite::future::or;
use prost::Message;
use teaselcroft_parts::Millis;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::{Content, Datagram, Heartbeat, MemberRecord, send};
use crate::http_client::HttpClient;
use crate::placer::answer;
use crate::roster::{FAR_ROUNDS, peer_address};
use crate::runner_news::RunnerNews;
use crate::{ConfigVersion, Event, record};

/// The pause after a datagram that could not be received.
const RECEIVE_REST: Millis = Millis(100);

/// Daemons that are told what runners carry and have cached: the one that places, and the next, so that it can
/// go on.
const TOLD_LOADS: usize = 2;

/// After so long a daemon has heard where the beginnings of prompts in use were sent; they come back about every
/// seven seconds.
const SETTLED: Millis = Millis(10_000);

/// Members named to two peers in each round, for daemons that lack the store.
const MEMBERS_TOLD: usize = 8;

/// The largest heartbeat.
const MAX_DATAGRAM: usize = 16 * 1024;

/// The longest time for a peer to send its configuration.
const FETCH_TIME: Millis = Millis(1_000);

/// How long a newer configuration may take through the store before it is fetched from the peer that has it.
const FETCH_DELAY: Millis = Millis(150);

/// The path of the list of runners at a peer.
pub const RUNNERS_PATH: &str = "/runners";

/// The path of the configuration at a peer.
pub const CONFIGURATION_PATH: &str = "/configuration";

/// Sends heartbeats for good.
pub async fn send_heartbeats<D: Dialect>(gate: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    let mut last = gate.now();
    let mut is_urgent = false;
    for round in 0_usize.. {
        let now = gate.now();
        send_round(&gate, &socket, round, is_urgent).await;
        let silent = gate.roster().sweep(now, last);
        for name in silent {
            record!(Event::PeerLost, peer = name);
            gate.fleet().peer_lost(&name);
        }
        gate.fleet().sweep(now);
        gate.metrics.peers.set(i64::try_from(gate.roster().live_count(now)).unwrap_or(i64::MAX));
        last = now;
        let pause = gate.roster().heartbeat_time();
        let turn = async {
            Timer::after(pause.into()).await;
            false
        };
        let news = async {
            gate.heartbeats_requested().await;
            true
        };
        is_urgent = or(turn, news).await;
    }
}

/// Sends one heartbeat to each peer whose turn it is, or to all if the news is urgent.
async fn send_round<D: Dialect>(gate: &Gateway<D>, socket: &Async<UdpSocket>, round: usize, is_urgent: bool) {
    let now = gate.now();
    let (near_period, far_period) = {
        let roster = gate.roster();
        (roster.heartbeat_time(), roster.far_period(now))
    };
    let (mut slim, mut members) = compose(gate, far_period, now);
    let (loads, caches) = (std::mem::take(&mut slim.loads), std::mem::take(&mut slim.caches));
    fastrand::shuffle(&mut members);
    members.truncate(MEMBERS_TOLD);
    let full = encode(Heartbeat { loads, caches, ..slim.clone() }, near_period);
    let naming = encode(Heartbeat { members, ..slim.clone() }, far_period);
    let (near, far) = (encode(slim.clone(), near_period), encode(slim, far_period));
    let placing = placing_addresses(gate, now);
    let targets = targets(gate);
    let named_to = [fastrand::usize(..targets.len().max(1)), fastrand::usize(..targets.len().max(1))];
    for (index, (target, is_near)) in targets.into_iter().enumerate() {
        let is_due = is_near || is_urgent || far_period == near_period || index % FAR_ROUNDS == round % FAR_ROUNDS;
        let bytes = match () {
            () if placing.contains(&target) => &full,
            () if named_to.contains(&index) => &naming,
            () if !is_due => continue,
            () if is_near => &near,
            () => &far,
        };
        send(socket, bytes, target).await;
    }
}

/// A heartbeat for peers that get one every `period`.
fn encode(mut heartbeat: Heartbeat, period: Millis) -> Vec<u8> {
    if let Some(member) = &mut heartbeat.member {
        member.period_ms = u32::try_from(period.0).unwrap_or(u32::MAX);
    }
    Content::Heartbeat(heartbeat).into_bytes()
}

/// Hands changes of runners' entries on to peers.
pub async fn send_to_peers<D: Dialect>(gate: &Gateway<D>, news: RunnerNews, peers: &[IpAddr]) {
    let Some(socket) = gate.placer.socket() else {
        return;
    };
    let version = gate.configuration().map_or(0, |configuration| configuration.version.0);
    let bytes = Content::News(RunnerNews { version, ..news }).into_bytes();
    for peer in peers {
        send(socket, &bytes, SocketAddr::new(*peer, gate.settings.heartbeat_port)).await;
    }
}

/// Where the daemons are that are told what runners carry.
fn placing_addresses<D: Dialect>(gate: &Gateway<D>, now: Millis) -> Vec<SocketAddr> {
    let roster = gate.roster();
    let placing = roster.placing_daemons(now).into_iter().take(TOLD_LOADS);
    placing.filter_map(|member| Some(SocketAddr::new(member.ip.parse().ok()?, gate.settings.heartbeat_port))).collect()
}

/// Where heartbeats go, and whether that is in this daemon's zone.
fn targets<D: Dialect>(gate: &Gateway<D>) -> Vec<(SocketAddr, bool)> {
    let port = gate.settings.heartbeat_port;
    let roster = gate.roster();
    let is_near = |record: &MemberRecord| record.zone == roster.me.zone;
    let known = roster.peers().filter_map(|peer| Some((peer.record.ip.parse().ok()?, is_near(&peer.record))));
    let mut ips: BTreeMap<IpAddr, bool> = gate.settings.seeds.iter().map(|seed| (seed.ip(), true)).collect();
    ips.extend(known);
    ips.remove(&gate.settings.ip);
    ips.into_iter().map(|(ip, is_near)| (SocketAddr::new(ip, port), is_near)).collect()
}

/// This daemon's heartbeat for peers that get one every `period` at least, and the members that it can name.
fn compose<D: Dialect>(gate: &Gateway<D>, period: Millis, now: Millis) -> (Heartbeat, Vec<MemberRecord>) {
    let (member, members) = {
        let mut roster = gate.roster();
        roster.me.is_settled = now > SETTLED;
        (roster.me.clone(), roster.peers().map(|peer| peer.record.clone()).collect())
    };
    // One lock at a time: a guard in the expression below would live until its end.
    let (loads, caches, gone) = {
        let mut fleet = gate.fleet();
        (fleet.own_loads(now), fleet.cache_news(now), fleet.left_news(period, now))
    };
    let crashes = gate.crashes().news(period, now);
    let version = gate.configuration().map_or(0, |configuration| configuration.version.0);
    (Heartbeat { member: Some(member), version, loads, crashes, gone, caches, members: Vec::new() }, members)
}

/// Takes in datagrams of other daemons for good.
pub async fn hear_peers<D: Dialect>(
    gate: Arc<Gateway<D>>,
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
            Ok(Some(Content::News(news))) => {
                let source = SocketAddr::new(from.ip(), gate.settings.peer.port());
                fetch_newer(&gate, source, news.version, Millis(0), &executor, &fetching);
                gate.queue_runner_changes(news);
            }
            Ok(None) => log::debug!("a datagram of an unknown kind was ignored"),
            Err(error) => log::debug!("a datagram cannot be read: {error}"),
        }
    }
}

fn take_in<D: Dialect>(
    gate: &Arc<Gateway<D>>,
    heartbeat: Heartbeat,
    executor: &smol::Executor<'static>,
    fetching: &Arc<Mutex<HashSet<u64>>>,
) {
    let now = gate.now();
    let Some(member) = heartbeat.member else {
        return;
    };
    let (name, address) = (member.name.clone(), peer_address(&member));
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
    let Some(source) = address else {
        return;
    };
    // The store may bring it first.
    let delay = gate.configuration().map_or(Millis(0), |_| FETCH_DELAY);
    fetch_newer(gate, source, heartbeat.version, delay, executor, fetching);
}

/// Fetches a configuration from a peer if it is newer and not being fetched already.
fn fetch_newer<D: Dialect>(
    gate: &Arc<Gateway<D>>,
    source: SocketAddr,
    version: u64,
    delay: Millis,
    executor: &smol::Executor<'static>,
    fetching: &Arc<Mutex<HashSet<u64>>>,
) {
    if !is_newer(gate, version) {
        return;
    }
    let is_first = fetching.lock().unwrap_or_else(PoisonError::into_inner).insert(version);
    if !is_first {
        return;
    }
    let (gate, fetching) = (gate.clone(), fetching.clone());
    let fetching_one = async move {
        Timer::after(delay.into()).await;
        fetch(&gate, source, version).await;
        fetching.lock().unwrap_or_else(PoisonError::into_inner).remove(&version);
    };
    executor.spawn(fetching_one).detach();
}

fn is_newer<D: Dialect>(gate: &Gateway<D>, version: u64) -> bool {
    let current = gate.configuration().map(|configuration| configuration.version);
    current.unwrap_or_default() < ConfigVersion(version)
}

/// Fetches a configuration from a peer unless it arrived through the store.
async fn fetch<D: Dialect>(gate: &Gateway<D>, source: SocketAddr, version: u64) {
    if !is_newer(gate, version) {
        return;
    }
    match HttpClient::new(source).call("GET", CONFIGURATION_PATH, &[], FETCH_TIME).await {
        Ok(reply) if reply.status == 200 => gate.apply_configuration(reply.body, &source.to_string()),
        Ok(reply) => log::debug!("{source} answered {} instead of its configuration", reply.status),
        Err(error) => log::debug!("{source} did not send its configuration: {error}"),
    }
}
