//! The daemons that are known, and which of them callers are told to use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use teaselcroft_parts::Millis;

use crate::heartbeat::{MemberRecord, Phase};

/// A peer that was not heard for so long, or for four heartbeats, is not named to callers.
const SILENCE: Millis = Millis(1_000);

/// Heartbeats that may be missed.
const MISSED_HEARTBEATS: u64 = 4;

/// The shortest time between heartbeats to all peers.
const HEARTBEAT_TIME: Millis = Millis(120);

/// The time that each known peer adds between heartbeats, so that a daemon sends a bounded number a second.
const TIME_FOR_PEER: Millis = Millis(10);

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
    fn is_live(&self, now: Millis, silence: Millis) -> bool {
        self.record.phase() == Phase::Ready && now.since(self.heard.unwrap_or(self.known)) <= silence
    }

    fn front(&self) -> Option<SocketAddr> {
        address(&self.record.ip, self.record.front_port)
    }

    /// Where it serves other daemons.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        address(&self.record.ip, self.record.peer_port)
    }
}

fn address(ip: &str, port: u32) -> Option<SocketAddr> {
    Some(SocketAddr::new(ip.parse().ok()?, u16::try_from(port).ok()?))
}

/// The daemons that are known.
#[derive(Debug)]
pub struct Roster {
    /// This daemon.
    pub me: MemberRecord,
    peers: BTreeMap<String, Peer>,
}

impl Roster {
    /// Only this daemon is known.
    pub fn new(me: MemberRecord) -> Roster {
        Roster { me, peers: BTreeMap::new() }
    }

    /// The time between heartbeats to all peers.
    pub fn heartbeat_time(&self) -> Millis {
        Millis(TIME_FOR_PEER.0 * self.peers.len() as u64).max(HEARTBEAT_TIME)
    }

    fn silence(&self) -> Millis {
        Millis(self.heartbeat_time().0 * MISSED_HEARTBEATS).max(SILENCE)
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
        let silence = self.silence();
        let Some(peer) = self.peers.get_mut(&record.name) else {
            return false;
        };
        if record.incarnation < peer.record.incarnation {
            return false;
        }
        let was_live = peer.is_live(now, silence) && peer.heard.is_some();
        peer.record = record;
        peer.heard = Some(now);
        !was_live && peer.is_live(now, silence)
    }

    /// Takes in which daemons the store lists.
    pub fn registered(&mut self, names: &[String]) {
        for peer in self.peers.values_mut() {
            peer.is_registered = names.contains(&peer.record.name);
        }
    }

    /// Forgets peers that are gone; returns the names of those that just fell silent.
    pub fn sweep(&mut self, now: Millis, since: Millis) -> Vec<String> {
        self.peers.retain(|_, peer| peer.is_registered || now.since(peer.heard.unwrap_or(peer.known)) <= FORGOTTEN);
        let fell =
            |peer: &&Peer| peer.heard.is_some_and(|heard| now.since(heard) > SILENCE && since.since(heard) <= SILENCE);
        self.peers.values().filter(fell).map(|peer| peer.record.name.clone()).collect()
    }

    /// Every known peer.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Daemons that share the retry budget, this one included.
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Peers that are ready and heard.
    pub fn live_count(&self, now: Millis) -> usize {
        let silence = self.silence();
        self.peers.values().filter(|peer| peer.is_live(now, silence)).count()
    }

    /// Ready daemons in the order in which they place for all: settled ones first, then those on the largest VMs.
    /// Daemons that see different ones live choose differently for a moment, which makes placing less exact
    /// and breaks nothing.
    pub fn placing_daemons(&self, now: Millis) -> Vec<&MemberRecord> {
        let silence = self.silence();
        let live = self.peers.values().filter(|peer| peer.is_live(now, silence)).map(|peer| &peer.record);
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
        let silence = self.silence();
        let nobody = self.peers.values().all(|peer| !peer.is_live(now, silence));
        let usable = |peer: &&Peer| peer.is_live(now, silence) || (nobody && peer.record.phase() == Phase::Ready);
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
