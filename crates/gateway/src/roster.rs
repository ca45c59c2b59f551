//! The known daemons: which are live, which one leads placement, which read the store, and whose addresses callers get.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::heartbeat::{MemberRecord, Phase};

/// A peer counts as silent after this time at the earliest, or after four of its heartbeat periods if these are longer.
const MIN_PEER_TIMEOUT: Millis = Millis(1_000);

/// In a large fleet, peers in other zones get one heartbeat out of this many, since cross-zone traffic costs the most.
pub const FAR_ROUNDS: usize = 3;

/// The smallest number of daemons that counts as a large fleet.
const LARGE_FLEET_DAEMONS: usize = 20;

/// The number of placement candidates whose silence all others must notice quickly: the leader and the next one.
const FREQUENT_SENDERS: usize = 2;

/// Consecutive heartbeats that a live peer may miss.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// The shortest time between two rounds of heartbeats.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(120);

/// The time between heartbeats that each known peer adds, which bounds the heartbeats that a daemon sends per second.
const INTERVAL_PER_PEER: Millis = Millis(10);

/// The number of daemons that read the store for their whole zone; two, so that one may fail.
const READERS_PER_ZONE: usize = 2;

/// With fewer other daemons in its zone, a daemon reads the store itself: forwarding would save little.
const MIN_FORWARD_PEERS: usize = 4;

/// Address answers name a peer for at most this long after its last heartbeat; a heartbeat to another zone of a large
/// fleet may be lost.
const ADDRESS_TTL: Millis = Millis(4_000);

/// A peer that is not registered and was silent for longer than this is removed.
const FORGET_AFTER: Millis = Millis(15_000);

/// A known peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What the peer publishes of itself.
    pub record: MemberRecord,
    heard: Option<Millis>,
    learned_at: Millis,
    is_registered: bool,
    /// This daemon's phase in the last heartbeat that was sent to this incarnation of the peer.
    told: Option<Phase>,
}

impl Peer {
    fn is_live(&self, now: Millis) -> bool {
        self.record.phase() == Phase::Ready && !self.is_silent(now)
    }

    fn is_present(&self, now: Millis) -> bool {
        self.record.phase() != Phase::Leaving && !self.is_silent(now)
    }

    fn is_silent(&self, now: Millis) -> bool {
        now.since(self.heard.unwrap_or(self.learned_at)) > self.timeout()
    }

    /// How long the peer may be silent, given the heartbeat period that it states.
    fn timeout(&self) -> Millis {
        Millis(u64::from(self.record.period_ms) * MAX_MISSED_HEARTBEATS).max(MIN_PEER_TIMEOUT)
    }

    fn front(&self) -> Option<SocketAddr> {
        address(&self.record.ip, self.record.front_port)
    }
}

/// The address at which a daemon serves other daemons.
pub fn peer_address(member: &MemberRecord) -> Option<SocketAddr> {
    address(&member.ip, member.peer_port)
}

fn address(ip: &str, port: u32) -> Option<SocketAddr> {
    Some(SocketAddr::new(ip.parse().ok()?, u16::try_from(port).ok()?))
}

/// How a daemon gets the runners: from the store, or from peers that read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads the store for itself, because its zone is small.
    Alone,
    /// It reads the store and forwards changes to its zone.
    Reader,
    /// It receives changes from the readers of its zone.
    Listener,
}

impl ReaderRole {
    /// The role's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            ReaderRole::Alone => "alone",
            ReaderRole::Reader => "reader",
            ReaderRole::Listener => "listener",
        }
    }
}

/// This daemon and the peers that it knows from the store and from heartbeats.
#[derive(Debug)]
pub struct Roster {
    /// The record of this daemon, as it is sent in heartbeats.
    pub me: MemberRecord,
    peers: BTreeMap<String, Peer>,
    is_listed: bool,
}

impl Roster {
    /// A roster in which only this daemon is known.
    pub fn new(me: MemberRecord) -> Roster {
        Roster { me, peers: BTreeMap::new(), is_listed: false }
    }

    /// Marks this daemon as ready, unless it is leaving: a configuration may arrive while a planned stop begins.
    pub fn become_ready(&mut self) {
        if self.me.phase() != Phase::Leaving {
            self.me.phase = Phase::Ready.into();
        }
    }

    /// The time between two rounds of heartbeats.
    pub fn heartbeat_interval(&self) -> Millis {
        Millis(INTERVAL_PER_PEER.0 * self.peers.len() as u64).max(MIN_HEARTBEAT_INTERVAL)
    }

    /// The time between heartbeats to a peer in another zone.
    pub fn far_period(&self, now: Millis) -> Millis {
        let period = self.heartbeat_interval();
        let is_leading =
            || self.leader_candidates(now).iter().take(FREQUENT_SENDERS).any(|member| member.name == self.me.name);
        if self.size() < LARGE_FLEET_DAEMONS || is_leading() {
            return period;
        }
        Millis(period.0 * FAR_ROUNDS as u64)
    }

    /// Adds or updates a peer from the store or from another peer's gossip; an older incarnation is ignored. Returns
    /// true if the peer was not known.
    pub fn learn(&mut self, record: MemberRecord, is_registered: bool, now: Millis) -> bool {
        if record.name == self.me.name {
            return false;
        }
        let is_new = !self.peers.contains_key(&record.name);
        let peer = self.peers.entry(record.name.clone()).or_insert_with(|| Peer {
            record: record.clone(),
            heard: None,
            learned_at: now,
            is_registered,
            told: None,
        });
        peer.is_registered |= is_registered;
        if record.incarnation > peer.record.incarnation {
            *peer = Peer { record, heard: None, learned_at: now, is_registered, told: None };
        }
        is_new
    }

    /// Records a heartbeat that a peer sent itself. One of an older incarnation is ignored while the newer one is heard; later
    /// it means that the peer's clock went back before it restarted. Returns true if the peer became live by it.
    pub fn heard(&mut self, record: MemberRecord, now: Millis) -> bool {
        self.learn(record.clone(), false, now);
        let Some(peer) = self.peers.get_mut(&record.name) else {
            return false;
        };
        if record.incarnation < peer.record.incarnation && !peer.is_silent(now) {
            return false;
        }
        let was_live = peer.is_live(now) && peer.heard.is_some();
        peer.record = record;
        peer.heard = Some(now);
        !was_live && peer.is_live(now)
    }

    /// Marks the peers that the store lists as registered, and all others as not.
    pub fn set_registered(&mut self, names: &[String]) {
        self.is_listed = true;
        for peer in self.peers.values_mut() {
            peer.is_registered = names.contains(&peer.record.name);
        }
    }

    /// Whether some peer was not told this daemon's current phase yet; false while this daemon is starting.
    pub fn has_untold(&self) -> bool {
        let phase = self.me.phase();
        phase != Phase::Starting && self.peers.values().any(|peer| peer.told != Some(phase))
    }

    /// Marks all peers as told this daemon's current phase, and returns those that were not, unless it is still starting.
    pub fn take_untold(&mut self) -> Vec<MemberRecord> {
        let phase = self.me.phase();
        if phase == Phase::Starting {
            return Vec::new();
        }
        let untold = self.peers.values_mut().filter(|peer| peer.told != Some(phase));
        untold
            .map(|peer| {
                peer.told = Some(phase);
                peer.record.clone()
            })
            .collect()
    }

    /// Removes peers that are gone and returns their names.
    pub fn forget(&mut self, now: Millis) -> Vec<String> {
        let is_gone =
            |peer: &Peer| !peer.is_registered && now.since(peer.heard.unwrap_or(peer.learned_at)) > FORGET_AFTER;
        self.peers.extract_if(.., |_, peer| is_gone(peer)).map(|(name, _)| name).collect()
    }

    /// The names of the peers that fell silent between `since` and `now`.
    pub fn fell_silent(&self, now: Millis, since: Millis) -> Vec<String> {
        let is_silent = |peer: &Peer, heard, at: Millis| at.since(heard) > peer.timeout();
        let is_newly_silent = |peer: &&Peer| {
            peer.heard.is_some_and(|heard| is_silent(peer, heard, now) && !is_silent(peer, heard, since))
        };
        self.peers.values().filter(is_newly_silent).map(|peer| peer.record.name.clone()).collect()
    }

    /// All known peers, live or not.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The members that this daemon gossips to peers which may not know them: those that it hears itself. Passing on
    /// what other peers say would keep a member known for good.
    pub fn gossip(&self, now: Millis) -> impl Iterator<Item = &MemberRecord> {
        let is_heard = move |peer: &&Peer| peer.heard.is_some_and(|heard| now.since(heard) <= peer.timeout());
        self.peers.values().filter(is_heard).map(|peer| &peer.record)
    }

    /// Whether the store's list of daemons was read at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The other daemons of this zone that are neither silent nor leaving; they need not be ready.
    pub fn zone_peers(&self, now: Millis) -> Vec<&MemberRecord> {
        let peers = self.peers.values().filter(|peer| peer.record.zone == self.me.zone && peer.is_present(now));
        peers.map(|peer| &peer.record).collect()
    }

    /// The daemons that read the store for this zone: those on its VMs with the most processor share.
    pub fn zone_readers(&self, now: Millis) -> Vec<&MemberRecord> {
        let mut all = self.zone_peers(now);
        all.extend((self.me.phase() != Phase::Leaving).then_some(&self.me));
        all.sort_by_key(|member| std::cmp::Reverse((member.cpu_milli, &member.name)));
        all.truncate(READERS_PER_ZONE);
        all
    }

    /// How this daemon gets the runners now.
    pub fn reader_role(&self, now: Millis) -> ReaderRole {
        if self.zone_peers(now).len() < MIN_FORWARD_PEERS {
            return ReaderRole::Alone;
        }
        let is_reader = self.zone_readers(now).iter().any(|member| member.name == self.me.name);
        if is_reader { ReaderRole::Reader } else { ReaderRole::Listener }
    }

    /// The number of known daemons, this one included; they share the retry budget.
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// The number of peers that are ready and not silent.
    pub fn live_count(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Ready daemons in the order in which they become placement leader: settled ones first, then those on the
    /// largest VMs. Daemons that see different peers as live briefly choose different leaders, which makes placement
    /// less exact and breaks nothing.
    pub fn leader_candidates(&self, now: Millis) -> Vec<&MemberRecord> {
        let live = self.peers.values().filter(|peer| peer.is_live(now)).map(|peer| &peer.record);
        let mut ready: Vec<&MemberRecord> = live.chain((self.me.phase() == Phase::Ready).then_some(&self.me)).collect();
        ready.sort_by_key(|member| std::cmp::Reverse((member.is_settled, member.cpu_milli, &member.name)));
        ready
    }

    /// The daemon that places the requests of all; this one if no daemon is ready.
    pub fn placement_leader(&self, now: Millis) -> &MemberRecord {
        self.leader_candidates(now).first().copied().unwrap_or(&self.me)
    }

    /// Whether this daemon will lead placement once it is ready, without knowing what earlier daemons placed: it has read
    /// the list of daemons, no peer is settled, and none of those that may still be starting comes before it.
    pub fn is_unsettled_leader(&self, now: Millis) -> bool {
        let rank = |member: &MemberRecord| (member.cpu_milli, member.name.clone());
        let own = rank(&self.me);
        self.is_listed
            && !self.me.is_settled
            && self.me.phase() != Phase::Leaving
            && self
                .peers
                .values()
                .filter(|peer| peer.is_present(now))
                .all(|peer| !peer.record.is_settled && rank(&peer.record) < own)
    }

    /// The number of peers that address answers name although no peer is heard; 0 if some peer is.
    pub fn unheard_addresses(&self, now: Millis) -> usize {
        if self.live_count(now) > 0 { 0 } else { self.named_peers(now).count() }
    }

    /// The peers that address answers may name: those that are live, or if none is, those that were ready at their last
    /// heartbeat. What the store or other peers say does not count: it may be older than the VM's end.
    fn named_peers(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let hears_none = self.live_count(now) == 0;
        self.peers
            .values()
            .filter(move |peer| peer.is_live(now) || hears_none && peer.record.phase() == Phase::Ready)
            .filter(move |peer| peer.heard.is_some_and(|heard| now.since(heard) <= ADDRESS_TTL))
    }

    /// The daemon addresses for a caller in `zone`: ready daemons of its zone, or of all zones if there are none. A
    /// daemon that hears no peer may be partitioned itself, and also returns the peers that it heard lately.
    pub fn addresses(&self, zone: Option<&str>, now: Millis) -> Vec<SocketAddr> {
        let mut all: Vec<(&str, SocketAddr)> =
            self.named_peers(now).filter_map(|peer| Some((peer.record.zone.as_str(), peer.front()?))).collect();
        if self.me.phase() == Phase::Ready {
            all.extend(address(&self.me.ip, self.me.front_port).map(|front| (self.me.zone.as_str(), front)));
        }
        let near: Vec<SocketAddr> =
            all.iter().filter(|(other, _)| Some(*other) == zone).map(|(_, address)| *address).collect();
        if near.is_empty() { all.into_iter().map(|(_, address)| address).collect() } else { near }
    }
}
