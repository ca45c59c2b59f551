//! Who holds the duties that one daemon at a time performs, and who would be next.

use std::net::SocketAddr;
use std::sync::MutexGuard;

use event_listener::EventListener;

use super::{Gateway, lock};
use crate::dialect::Dialect;
use crate::duties::{CANDIDATES, HolderView};
use crate::heartbeat::MemberRecord;

impl<D: Dialect> Gateway<D> {
    /// Locks what heartbeats say of the holder of the duties.
    pub fn holders(&self) -> MutexGuard<'_, HolderView> {
        lock(&self.holders)
    }

    /// Listens for changes of the holder, and for the begin of a planned stop.
    pub fn duty_news(&self) -> EventListener {
        self.duty_news.listen()
    }

    /// Wakes those that listen for changes of the holder.
    pub fn notify_duty_news(&self) {
        self.duty_news.notify(usize::MAX);
    }

    /// The daemon that holds the duties, as far as known; this one included.
    pub fn duty_holder(&self) -> Option<MemberRecord> {
        let (own, peer) = {
            let holders = self.holders();
            (holders.own(), holders.peer().map(|peer| peer.name.clone()))
        };
        let roster = self.roster();
        match peer {
            Some(name) => roster.peers().map(|peer| &peer.record).find(|record| record.name == name).cloned(),
            None => own.map(|_| roster.me.clone()),
        }
    }

    /// The candidate that would hold the duties after the present holder; this daemon included.
    pub fn next_duty_holder(&self) -> Option<MemberRecord> {
        let holder = self.duty_holder().map(|holder| holder.name);
        let now = self.now();
        let roster = self.roster();
        let candidates = roster.leader_candidates(now).into_iter().take(CANDIDATES);
        candidates.filter(|candidate| Some(&candidate.name) != holder.as_ref()).map(MemberRecord::clone).next()
    }

    /// Where datagrams for the holder and the next candidate go; not to this daemon itself.
    pub fn duty_addresses(&self) -> Vec<SocketAddr> {
        let records = [self.duty_holder(), self.next_duty_holder()].into_iter().flatten();
        let others = records.filter(|record| record.name != *self.settings.daemon.as_str());
        others
            .filter_map(|record| Some(SocketAddr::new(record.ip.parse().ok()?, self.settings.heartbeat_port)))
            .collect()
    }
}
