//! Sends heartbeats to peers; their datagrams are handled in a module of their own.

mod fetch_configuration;
mod receive;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::{Async, Timer};
use futures_lite::future::or;
use teaselcroft_parts::{Millis, RunnerName};

use crate::dialect::Dialect;
use crate::duties::CANDIDATES;
use crate::gateway::{Gateway, unix_ms};
use crate::heartbeat::{Content, Heartbeat, MemberRecord, send};
use crate::roster::FAR_ROUNDS;
use crate::runner_news::RunnerNews;
use crate::{Event, RequestRate, log_event};
pub use receive::receive_datagrams;

/// The number of placement candidates that get load counts and cached prefixes: the leader, and the next one, so that
/// it can take over.
const LOAD_RECEIVERS: usize = 2;

/// How long a daemon runs before it knows where the prefixes in use were sent; these recur about every seven seconds.
pub const SETTLE_TIME: Millis = Millis(10_000);

/// How long to wait for further peers before those that do not know this daemon's phase are told it.
const PHASE_DELAY: Millis = Millis(40);

/// The number of members that each round gossips to two random peers, for daemons that cannot reach the store.
const MEMBERS_PER_ROUND: usize = 8;

/// The path at which a daemon serves the list of runners to peers.
pub const RUNNERS_PATH: &str = "/runners";

/// The path at which a daemon serves its configuration to peers.
pub const CONFIGURATION_PATH: &str = "/configuration";

/// The path at which a daemon serves the crashes that it knows to peers.
pub const CRASHES_PATH: &str = "/crashes";

/// Sends heartbeats every interval, or at once when news is urgent, and drops silent peers; never returns.
pub async fn send_heartbeats<D: Dialect>(gateway: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    let mut last = gateway.now();
    let mut is_urgent = false;
    let mut unheard = 0;
    for round in 0_usize.. {
        let now = gateway.now();
        send_round(&gateway, &socket, round, is_urgent).await;
        let (silent, forgotten) = {
            let mut roster = gateway.roster();
            (roster.fell_silent(now, last), roster.forget(now))
        };
        for name in forgotten {
            gateway.crash_sync().forget(&name);
            log_event!(Event::PeerForgotten, peer = name);
        }
        for name in silent {
            log_event!(Event::PeerLost, peer = name);
            gateway.fleet().drop_peer_loads(&name);
        }
        let period = gateway.roster().heartbeat_interval();
        gateway.fleet().sweep(period, now);
        gateway.metrics.peers.set(i64::try_from(gateway.roster().live_count(now)).unwrap_or(i64::MAX));
        let named = gateway.roster().unheard_addresses(now);
        if named != std::mem::replace(&mut unheard, named) {
            log_event!(Event::AddressesUnheard, peers = named);
        }
        last = now;
        let pause = gateway.roster().heartbeat_interval();
        let interval = async {
            Timer::after(pause.into()).await;
            false
        };
        let news = async {
            gateway.heartbeats_requested().await;
            true
        };
        is_urgent = or(interval, news).await;
    }
}

/// Sends a heartbeat ahead of the schedule to each peer that does not know this daemon's phase, since rounds are seconds
/// apart in a large fleet and daemons must agree on the placement leader before that; never returns.
pub async fn announce_phase<D: Dialect>(gateway: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    loop {
        gateway.phase_heartbeats_requested().await;
        Timer::after(PHASE_DELAY.into()).await;
        let untold = gateway.roster().take_untold();
        if untold.is_empty() {
            continue;
        }
        let now = gateway.now();
        let (near_period, far_period) = {
            let roster = gateway.roster();
            (roster.heartbeat_interval(), roster.far_period(now))
        };
        let (base, _) = compose(&gateway, far_period, now);
        let base = Heartbeat { caches: Vec::new(), ..base };
        let (near, far) = (encode(base.clone(), near_period), encode(base, far_period));
        for peer in untold {
            let Ok(ip) = peer.ip.parse() else {
                log::debug!("the address of {} cannot be read: {}", peer.name, peer.ip);
                continue;
            };
            let bytes = if peer.zone == *gateway.settings.zone.as_str() { &near } else { &far };
            send(&socket, bytes, SocketAddr::new(ip, gateway.settings.heartbeat_port)).await;
        }
    }
}

/// Sends a heartbeat ahead of the schedule to the candidates for the duties, if they get them less often than every
/// `period`, so that they notice soon when the holder is gone.
pub async fn announce_duty<D: Dialect>(gateway: &Gateway<D>, period: Millis) {
    let now = gateway.now();
    let far_period = gateway.roster().far_period(now);
    let Some(socket) = gateway.placer.socket().filter(|_| far_period > period) else {
        return;
    };
    let (base, _) = compose(gateway, far_period, now);
    let bytes = encode(Heartbeat { caches: Vec::new(), ..base }, far_period);
    let candidates: Vec<IpAddr> = {
        let roster = gateway.roster();
        let candidates = roster.leader_candidates(now).into_iter().take(CANDIDATES + 1);
        candidates.filter(|member| member.name != roster.me.name).filter_map(|member| member.ip.parse().ok()).collect()
    };
    for ip in candidates {
        send(socket, &bytes, SocketAddr::new(ip, gateway.settings.heartbeat_port)).await;
    }
}

/// Sends a heartbeat to each peer that is due in this round, or to all if the news is urgent.
async fn send_round<D: Dialect>(gateway: &Gateway<D>, socket: &Async<UdpSocket>, round: usize, is_urgent: bool) {
    let now = gateway.now();
    let (near_period, far_period) = {
        let roster = gateway.roster();
        (roster.heartbeat_interval(), roster.far_period(now))
    };
    let (mut base, mut members) = compose(gateway, far_period, now);
    let (loads, caches) = (std::mem::take(&mut base.loads), std::mem::take(&mut base.caches));
    fastrand::shuffle(&mut members);
    members.truncate(MEMBERS_PER_ROUND);
    let ejections = gateway.fleet().ejections(false, now);
    let full = encode(Heartbeat { loads, caches, ejections, ..base.clone() }, near_period);
    let gossip = encode(Heartbeat { members, ..base.clone() }, far_period);
    let (near, far) = (encode(base.clone(), near_period), encode(base, far_period));
    let candidates = candidate_addresses(gateway, now);
    let targets = targets(gateway);
    let gossip_targets = [fastrand::usize(..targets.len().max(1)), fastrand::usize(..targets.len().max(1))];
    for (index, (target, is_near)) in targets.into_iter().enumerate() {
        let is_due = is_near || is_urgent || far_period == near_period || index % FAR_ROUNDS == round % FAR_ROUNDS;
        let bytes = match () {
            () if candidates.contains(&target) => &full,
            () if gossip_targets.contains(&index) => &gossip,
            () if !is_due => continue,
            () if is_near => &near,
            () => &far,
        };
        send(socket, bytes, target).await;
    }
}

/// Encodes a heartbeat for peers that get one every `period`, which it states.
fn encode(mut heartbeat: Heartbeat, period: Millis) -> Vec<u8> {
    if let Some(member) = &mut heartbeat.member {
        member.period_ms = u32::try_from(period.0).unwrap_or(u32::MAX);
    }
    Content::Heartbeat(heartbeat.into()).into_bytes()
}

/// Forwards changes of runners' entries to peers.
pub async fn send_to_peers<D: Dialect>(gateway: &Gateway<D>, news: RunnerNews, peers: &[IpAddr]) {
    let Some(socket) = gateway.placer.socket() else {
        return;
    };
    let version = gateway.configuration().map_or(0, |configuration| configuration.version.0);
    let bytes = Content::News(RunnerNews { version, ..news }).into_bytes();
    for peer in peers {
        send(socket, &bytes, SocketAddr::new(*peer, gateway.settings.heartbeat_port)).await;
    }
}

/// The addresses of the first placement candidates, which get load counts and cached prefixes.
fn candidate_addresses<D: Dialect>(gateway: &Gateway<D>, now: Millis) -> Vec<SocketAddr> {
    let roster = gateway.roster();
    let candidates = roster.leader_candidates(now).into_iter().take(LOAD_RECEIVERS);
    candidates
        .filter_map(|member| Some(SocketAddr::new(member.ip.parse().ok()?, gateway.settings.heartbeat_port)))
        .collect()
}

/// The address of each seed and known peer, and whether it is near: a seed, or in this daemon's zone.
fn targets<D: Dialect>(gateway: &Gateway<D>) -> Vec<(SocketAddr, bool)> {
    let port = gateway.settings.heartbeat_port;
    let roster = gateway.roster();
    let is_near = |record: &MemberRecord| record.zone == roster.me.zone;
    let known = roster.peers().filter_map(|peer| Some((peer.record.ip.parse().ok()?, is_near(&peer.record))));
    let mut ips: BTreeMap<IpAddr, bool> = gateway.settings.seeds.iter().map(|seed| (seed.ip(), true)).collect();
    ips.extend(known);
    ips.remove(&gateway.settings.ip);
    ips.into_iter().map(|(ip, is_near)| (SocketAddr::new(ip, port), is_near)).collect()
}

/// Builds this daemon's heartbeat for peers that get one at least every `period`, and lists the known members.
fn compose<D: Dialect>(gateway: &Gateway<D>, period: Millis, now: Millis) -> (Heartbeat, Vec<MemberRecord>) {
    let (member, members) = {
        let mut roster = gateway.roster();
        roster.me.is_settled |= now > SETTLE_TIME;
        (roster.me.clone(), roster.gossip(now).cloned().collect())
    };
    // One lock at a time: a guard inside the struct expression below would be held until its end.
    let round = gateway.roster().heartbeat_interval();
    let (loads, caches, gone) = {
        let mut fleet = gateway.fleet();
        (fleet.own_loads(now), fleet.recent_cache_news(round, now), fleet.recent_departures(period, now))
    };
    let is_leader = gateway.is_placement_leader();
    let totals = if is_leader { gateway.fleet().plain_totals() } else { Vec::new() };
    let (limits, permits, ejections) = {
        let fleet = gateway.fleet();
        let ejections = if is_leader { fleet.ejections(true, now) } else { Vec::new() };
        (fleet.own_limits(now), fleet.own_permits(), ejections)
    };
    let (crashes, cleared, crash_digest) = {
        let mut tracker = gateway.crashes();
        (tracker.recent_crashes(period, now), tracker.recent_clearances(period, now), tracker.digest())
    };
    let version = gateway.configuration().map_or(0, |configuration| configuration.version.0);
    let duty = gateway.holders().own().map_or(0, |token| token.0);
    let heartbeat = Heartbeat {
        member: Some(member),
        version,
        loads,
        crashes,
        cleared,
        crash_digest,
        limits,
        permits,
        ejections,
        config_age_ms: gateway.config_check().age_ms(now),
        totals,
        gone,
        caches,
        duty,
        members: Vec::new(),
        unix_ms: gateway.has_usage().then(unix_ms),
        store_era: gateway.store_era().map(|era| era.0),
    };
    (heartbeat, members)
}

/// Logs that a runner's rate limit changed; `source` is the peer that said so, or the runner itself.
pub fn log_limit(runner: &RunnerName, rate: Option<RequestRate>, source: &str) {
    let limit = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    log_event!(Event::RunnerLimited, runner = runner, limit = limit, source = source);
}
