//! The ports that the stand-ins choose for daemons before these start.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

use teaselcroft_standins::{Site, plan_daemons};

/// The first port that Linux gives to connections, unless it is set up otherwise.
const FIRST_CONNECTION_PORT: u16 = 32_768;

#[test]
fn connections_do_not_take_the_ports_of_daemons_that_start_later() {
    let other = SocketAddr::from(([127, 0, 0, 1], 1));

    let mut plans = plan_daemons(Site::Reservoir, 6, other, other, &[]).unwrap();
    plans.extend(plan_daemons(Site::Reservoir, 6, other, other, &[]).unwrap());

    let ports: BTreeSet<u16> = plans.iter().flat_map(|plan| [plan.listen.port(), plan.peer_listen.port()]).collect();
    assert_eq!(ports.len(), 24, "each port once");
    assert!(ports.iter().all(|port| *port < FIRST_CONNECTION_PORT), "{ports:?}");
    let bound = plans.iter().filter(|plan| TcpListener::bind(plan.listen).is_ok()).count();
    assert_eq!(bound, plans.len());
}
