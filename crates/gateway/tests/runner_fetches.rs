//! Fetching the list of runners while some peers are not back from a power loss.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use futures_lite::future::{block_on, or};
use prost::Message;
use socket2::{Domain, Socket, Type};
use teaselcroft_gateway::fetch_runners;
use teaselcroft_gateway::http::PathTimeout;
use teaselcroft_gateway::http_client::connect;
use teaselcroft_gateway::runner_news::RunnerNews;
use teaselcroft_parts::Millis;

/// The time for connecting to the store and to peers whose answers are not urgent.
const USUAL_CONNECT_TIMEOUT: Millis = Millis(800);

const REVISION: u64 = 7;

/// An address that neither accepts nor refuses connections, like that of a VM without power: its queue is full. The sockets
/// keep it so.
fn silent_peer() -> (SocketAddr, Socket, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        queued.push(stream);
    }
    (address, socket, queued)
}

/// A peer that answers one call with a list.
fn live_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = [0; 1_024];
        while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            assert!(stream.read(&mut received).unwrap() > 0);
        }
        let body = RunnerNews { revision: REVISION, is_listed: true, ..RunnerNews::default() }.encode_to_vec();
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
    });
    address
}

#[test]
fn a_peer_without_power_does_not_hold_up_the_list_of_another_one() {
    let (silent, _socket, _queued) = silent_peer();
    let peers = [silent, live_peer()];

    let list = block_on(or(async { fetch_runners(&peers, |list| list.revision >= REVISION).await }, async {
        let connected = connect(silent, USUAL_CONNECT_TIMEOUT, PathTimeout::CONTROL).await;
        assert!(connected.is_err(), "the silent peer must not accept connections");
        None
    }));

    assert_eq!(list.map(|list| list.revision), Some(REVISION));
}

#[test]
fn lists_that_are_not_current_are_not_taken() {
    let peers = [live_peer(), live_peer()];

    let list = block_on(fetch_runners(&peers, |list| list.revision > REVISION));

    assert_eq!(list, None);
}
