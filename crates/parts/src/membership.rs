//! Failure detection of peers by heartbeats and refused connections.

use std::collections::BTreeMap;

use crate::{DaemonName, Incarnation, Member, Millis};

/// The settings of failure detection.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// How long a peer may be silent before it counts as dead.
    pub dead_after: Millis,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings { dead_after: Millis(2_000) }
    }
}

/// The state of one peer as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerHealth {
    /// No heartbeat was received yet.
    Unknown,
    /// A heartbeat was received recently.
    Live(Incarnation),
    /// A heartbeat was received recently, and the peer is about to stop.
    Leaving(Incarnation),
    /// The peer was silent for too long or refused a connection.
    Dead,
}

#[derive(Debug, Clone)]
struct Peer {
    incarnation: Incarnation,
    heard: Millis,
    leaving: bool,
    refused: bool,
}

/// One daemon's view of the daemons of its cell, itself included.
///
/// ```
/// use teaselcroft_parts::{Incarnation, Member, Membership, MembershipSettings, Millis};
///
/// let me = Member { name: "entry-1".parse()?, incarnation: Incarnation(1) };
/// let peer = Member { name: "entry-2".parse()?, incarnation: Incarnation(7) };
/// let mut members = Membership::new(MembershipSettings::default(), me);
/// members.record_heartbeat(Millis(0), &peer, false);
/// assert!(members.is_alive(Millis(1_000), &peer));
/// assert!(!members.is_alive(Millis(3_000), &peer));
/// # Ok::<(), teaselcroft_parts::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    settings: MembershipSettings,
    me: Member,
    leaving: bool,
    peers: BTreeMap<DaemonName, Peer>,
}

impl Membership {
    /// A view in which only `me` is known.
    pub const fn new(settings: MembershipSettings, me: Member) -> Membership {
        Membership { settings, me, leaving: false, peers: BTreeMap::new() }
    }

    /// Changes how long a peer may be silent before it counts as dead.
    pub fn set_dead_after(&mut self, dead_after: Millis) {
        self.settings.dead_after = dead_after;
    }

    /// This daemon.
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Marks this daemon as about to stop.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether this daemon is about to stop.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records a heartbeat from `peer`, which also clears a refused connection. An incarnation older than the known one
    /// is ignored.
    pub fn record_heartbeat(&mut self, now: Millis, peer: &Member, leaving: bool) {
        let known = self.peers.get(&peer.name);
        if known.is_some_and(|known| known.incarnation > peer.incarnation) {
            return;
        }
        let state = Peer { incarnation: peer.incarnation, heard: now, leaving, refused: false };
        self.peers.insert(peer.name.clone(), state);
    }

    /// Records that this process was paused for `span`, which then does not count as silence of the peers.
    pub fn record_suspension(&mut self, span: Millis) {
        for peer in self.peers.values_mut() {
            peer.heard = peer.heard + span;
        }
    }

    /// Records that `peer` refused a connection, so that it counts as dead until its next heartbeat.
    ///
    /// Returns true if the peer is known and this was not recorded before.
    pub fn record_refusal(&mut self, peer: &DaemonName) -> bool {
        let Some(peer) = self.peers.get_mut(peer) else {
            return false;
        };
        !std::mem::replace(&mut peer.refused, true)
    }

    /// Records another daemon's report that `member` refused it a connection; ignored unless the incarnation is the
    /// known one.
    pub fn mark_gone(&mut self, member: &Member) {
        let known = self.peers.get_mut(&member.name);
        if let Some(peer) = known.filter(|peer| peer.incarnation == member.incarnation) {
            peer.refused = true;
        }
    }

    /// The members that refused a connection and have sent no heartbeat since.
    pub fn gone(&self) -> Vec<Member> {
        let gone = self.peers.iter().filter(|(_, peer)| peer.refused);
        gone.map(|(name, peer)| Member { name: name.clone(), incarnation: peer.incarnation }).collect()
    }

    /// The state of `peer` at `now`; `peer` may be this daemon.
    pub fn health(&self, now: Millis, peer: &DaemonName) -> PeerHealth {
        if *peer == self.me.name {
            return self.own_health();
        }
        let Some(known) = self.peers.get(peer) else {
            return PeerHealth::Unknown;
        };
        if known.refused || now.since(known.heard) >= self.settings.dead_after {
            return PeerHealth::Dead;
        }
        if known.leaving {
            return PeerHealth::Leaving(known.incarnation);
        }
        PeerHealth::Live(known.incarnation)
    }

    fn own_health(&self) -> PeerHealth {
        if self.leaving {
            return PeerHealth::Leaving(self.me.incarnation);
        }
        PeerHealth::Live(self.me.incarnation)
    }

    /// Live peers and this daemon, without those about to stop, in ascending order.
    pub fn live(&self, now: Millis) -> Vec<Member> {
        let mut live: Vec<Member> = self.live_peers(now);
        if !self.leaving {
            live.push(self.me.clone());
        }
        live.sort();
        live
    }

    /// Live peers without this daemon and without those about to stop.
    pub fn live_peers(&self, now: Millis) -> Vec<Member> {
        let names = self.peers.keys();
        let live = names.filter_map(|name| match self.health(now, name) {
            PeerHealth::Live(incarnation) => Some(Member { name: name.clone(), incarnation }),
            _ => None,
        });
        live.collect()
    }

    /// Whether `member` is alive in exactly this incarnation, about to stop or not.
    pub fn is_alive(&self, now: Millis, member: &Member) -> bool {
        match self.health(now, &member.name) {
            PeerHealth::Live(seen) | PeerHealth::Leaving(seen) => seen == member.incarnation,
            _ => false,
        }
    }
}
