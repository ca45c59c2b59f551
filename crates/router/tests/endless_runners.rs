//! Runners that send bytes without end, until the router closes the connection.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::Value;
use smol::block_on;
use teaselcroft_parts::{Millis, RequestId};
use teaselcroft_policy::Tier;
use teaselcroft_router::engine::{Engine, GenerateWire, TokenStream};
use teaselcroft_router::http_client::HttpError;
use teaselcroft_router::{HttpPlatform, PlainService, Platform, ServiceCall};

/// Far more than the router needs to find out; less than a VM's memory.
const MAX_SENT_BYTES: usize = 24 << 20;

/// When a server gives up, in bytes.
const ENDLESS_BYTES: usize = 512 << 20;

/// Enough for the largest answer; a server without end sends for as long.
const TIMEOUT: Millis = Millis(5_000);

/// A runner that answers one call with a chunked body without end, in which no line ends; returns what it could send.
fn start_runner() -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
        let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
        let mut result = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n");
        let mut bytes = 0;
        while result.is_ok() && bytes < ENDLESS_BYTES {
            result = stream.write_all(chunk.as_bytes());
            bytes += chunk.len();
        }
        sender.send(bytes).unwrap();
    });
    (address, sent)
}

fn platform() -> HttpPlatform {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    HttpPlatform::new(unused, unused, TIMEOUT)
}

fn assert_given_up(sent: &Receiver<usize>) {
    let bytes = sent.recv().unwrap();
    assert!(bytes < MAX_SENT_BYTES, "the runner could send {bytes} bytes");
}

fn request() -> RequestId {
    "r-1".parse().unwrap()
}

#[test]
fn a_token_without_end_breaks_the_stream() {
    let (address, sent) = start_runner();
    let platform = platform();
    let call = GenerateWire { request: request(), priority: Tier(0), resume_from: 0, messages: Value::Null };

    let mut stream = block_on(platform.engines().generate(&address.to_string(), &call, TIMEOUT)).unwrap();
    let token = block_on(stream.next(TIMEOUT));

    assert_eq!(token, Err(HttpError::Broken));
    drop(stream);
    assert_given_up(&sent);
}

#[test]
fn a_report_without_end_is_no_report() {
    let (address, sent) = start_runner();

    let report = block_on(platform().engines().report(&address.to_string()));

    assert!(report.is_err());
    assert_given_up(&sent);
}

#[test]
fn a_reply_without_end_is_not_cut_to_a_complete_one() {
    let (address, sent) = start_runner();
    let call =
        ServiceCall { request: request(), class: "booking".to_owned(), key: None, body: Vec::new(), timeout: TIMEOUT };

    let reply = block_on(platform().services().call(&address.to_string(), &call));

    assert_eq!(reply, Err(HttpError::Broken));
    assert_given_up(&sent);
}
