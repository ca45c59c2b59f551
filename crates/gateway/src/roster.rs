//! The daemons that are known, and which of them callers are told to use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::heartbeat::{MemberRecord, Phase};

/// A peer that was not heard for so long, or for four heartbeats, is not named to callers.
const SILENCE: Millis = Millis(1_000);

/// In a large fleet, peers of other zones are sent one of so many heartbeats: bytes between zones cost most.
pub const FAR_ROUNDS: usize = 3;

/// Daemons in a large fleet.
const LARGE_FLEET: usize = 20;

/// Daemons that all others must hear fall silent soon: the one that places, and the next.
const HEARD_SOON: usize = 2;

/// Heartbeats that may be missed.
const MISSED_HEARTBEATS: u64 = 4;

/// The shortest time between heartbeats to all peers.
const HEARTBEAT_TIME: Millis = Millis(120);

/// The time that each known peer adds between heartbeats, so that a daemon sends a bounded number a second.
const TIME_FOR_PEER: Millis = Millis(10);

/// Daemons of a zone that read the store for all of it; two, so that one may die.
const ZONE_READERS: usize = 2;

/// A daemon with fewer others in its zone reads for itself: handing on would save little.
const SMALL_ZONE: usize = 4;

/// A peer that is neither registered nor heard for so long is forgotten.
const FORGOTTEN: Millis = Millis(15_000);

/// A known peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it says of itself.
    pub record: MemberRecord,
    heard: Option<Millis>,
    known: Millis,
    is_registered: bool,
}

impl Peer {
    fn is_live(&self, now: Millis) -> bool {
        self.record.phase() == Phase::Ready && now.since(self.heard.unwrap_or(self.known)) <= self.silence()
    }

    fn is_present(&self, now: Millis) -> bool {
        self.record.phase() != Phase::Leaving && now.since(self.heard.unwrap_or(self.known)) <= self.silence()
    }

    /// How long it may be silent, by what it states of its heartbeats.
    fn silence(&self) -> Millis {
        Millis(u64::from(self.record.period_ms) * MISSED_HEARTBEATS).max(SILENCE)
    }

    fn front(&self) -> Option<SocketAddr> {
        address(&self.record.ip, self.record.front_port)
    }
}

/// Where a daemon serves other daemons.
pub fn peer_address(member: &MemberRecord) -> Option<SocketAddr> {
    address(&member.ip, member.peer_port)
}

fn address(ip: &str, port: u32) -> Option<SocketAddr> {
    Some(SocketAddr::new(ip.parse().ok()?, u16::try_from(port).ok()?))
}

/// A daemon's part in reading the runners from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads for itself; its zone is small.
    Alone,
    /// It reads and hands on to its zone.
    Reader,
    /// It takes what readers of its zone hand on.
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

/// The daemons that are known.
#[derive(Debug)]
pub struct Roster {
    /// This daemon.
    pub me: MemberRecord,
    peers: BTreeMap<String, Peer>,
    is_listed: bool,
}

impl Roster {
    /// Only this daemon is known.
    pub fn new(me: MemberRecord) -> Roster {
        Roster { me, peers: BTreeMap::new(), is_listed: false }
    }

    /// The time between heartbeats to all peers.
    pub fn heartbeat_time(&self) -> Millis {
        Millis(TIME_FOR_PEER.0 * self.peers.len() as u64).max(HEARTBEAT_TIME)
    }

    /// The time between heartbeats to a peer of another zone.
    pub fn far_period(&self, now: Millis) -> Millis {
        let period = self.heartbeat_time();
        let places = || self.placing_daemons(now).iter().take(HEARD_SOON).any(|member| member.name == self.me.name);
        if self.size() < LARGE_FLEET || places() {
            return period;
        }
        Millis(period.0 * FAR_ROUNDS as u64)
    }

    /// Takes in a record from the store or from a peer's list.
    pub fn learn(&mut self, record: MemberRecord, is_registered: bool, now: Millis) {
        if record.name == self.me.name {
            return;
        }
        let peer = self.peers.entry(record.name.clone()).or_insert_with(|| Peer {
            record: record.clone(),
            heard: None,
            known: now,
            is_registered,
        });
        peer.is_registered |= is_registered;
        if record.incarnation > peer.record.incarnation {
            *peer = Peer { record, heard: None, known: now, is_registered };
        }
    }

    /// Takes in a record that its own daemon sent; true if it was not live before.
    pub fn heard(&mut self, record: MemberRecord, now: Millis) -> bool {
        self.learn(record.clone(), false, now);
        let Some(peer) = self.peers.get_mut(&record.name) else {
            return false;
        };
        if record.incarnation < peer.record.incarnation {
            return false;
        }
        let was_live = peer.is_live(now) && peer.heard.is_some();
        peer.record = record;
        peer.heard = Some(now);
        !was_live && peer.is_live(now)
    }

    /// Takes in which daemons the store lists.
    pub fn registered(&mut self, names: &[String]) {
        self.is_listed = true;
        for peer in self.peers.values_mut() {
            peer.is_registered = names.contains(&peer.record.name);
        }
    }

    /// Forgets peers that are gone; returns the names of those that just fell silent.
    pub fn sweep(&mut self, now: Millis, since: Millis) -> Vec<String> {
        self.peers.retain(|_, peer| peer.is_registered || now.since(peer.heard.unwrap_or(peer.known)) <= FORGOTTEN);
        let is_silent = |peer: &Peer, heard, at: Millis| at.since(heard) > peer.silence();
        let fell = |peer: &&Peer| {
            peer.heard.is_some_and(|heard| is_silent(peer, heard, now) && !is_silent(peer, heard, since))
        };
        self.peers.values().filter(fell).map(|peer| peer.record.name.clone()).collect()
    }

    /// Every known peer.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Whether the store has listed the daemons.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The other daemons of this zone.
    pub fn zone_mates(&self, now: Millis) -> Vec<&MemberRecord> {
        let mates = self.peers.values().filter(|peer| peer.record.zone == self.me.zone && peer.is_present(now));
        mates.map(|peer| &peer.record).collect()
    }

    /// The daemons that read the store for this zone: those on its largest VMs.
    pub fn zone_readers(&self, now: Millis) -> Vec<&MemberRecord> {
        let mut all = self.zone_mates(now);
        all.extend((self.me.phase() != Phase::Leaving).then_some(&self.me));
        all.sort_by_key(|member| std::cmp::Reverse((member.cpu_milli, &member.name)));
        all.truncate(ZONE_READERS);
        all
    }

    /// This daemon's part in reading the store.
    pub fn reader_role(&self, now: Millis) -> ReaderRole {
        if self.zone_mates(now).len() < SMALL_ZONE {
            return ReaderRole::Alone;
        }
        let is_reader = self.zone_readers(now).iter().any(|member| member.name == self.me.name);
        if is_reader { ReaderRole::Reader } else { ReaderRole::Listener }
    }

    /// Daemons that share the retry budget, this one included.
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Peers that are ready and heard.
    pub fn live_count(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Ready daemons in the order in which they place for all: settled ones first, then those on the largest VMs.
    /// Daemons that see different ones live choose differently for a moment, which makes placing less exact
    /// and breaks nothing.
    pub fn placing_daemons(&self, now: Millis) -> Vec<&MemberRecord> {
        let live = self.peers.values().filter(|peer| peer.is_live(now)).map(|peer| &peer.record);
        let mut ready: Vec<&MemberRecord> = live.chain((self.me.phase() == Phase::Ready).then_some(&self.me)).collect();
        ready.sort_by_key(|member| std::cmp::Reverse((member.is_settled, member.cpu_milli, &member.name)));
        ready
    }

    /// The daemon that places for all.
    pub fn placing_daemon(&self, now: Millis) -> &MemberRecord {
        self.placing_daemons(now).first().copied().unwrap_or(&self.me)
    }

    /// The addresses for a caller in `zone`: daemons of its own zone if any is ready, else all that are. A daemon
    /// that hears nobody is likely cut off itself and names all that it knew.
    pub fn addresses(&self, zone: Option<&str>, now: Millis) -> Vec<SocketAddr> {
        let nobody = self.peers.values().all(|peer| !peer.is_live(now));
        let usable = |peer: &&Peer| peer.is_live(now) || (nobody && peer.record.phase() == Phase::Ready);
        let mut all: Vec<(&str, SocketAddr)> = self
            .peers
            .values()
            .filter(usable)
            .filter_map(|peer| Some((peer.record.zone.as_str(), peer.front()?)))
            .collect();
        if self.me.phase() == Phase::Ready {
            all.extend(address(&self.me.ip, self.me.front_port).map(|front| (self.me.zone.as_str(), front)));
        }
        let near: Vec<SocketAddr> =
            all.iter().filter(|(other, _)| Some(*other) == zone).map(|(_, address)| *address).collect();
        if near.is_empty() { all.into_iter().map(|(_, address)| address).collect() } else { near }
    }
}
