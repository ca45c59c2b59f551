//! Replies of services in trouble that must not pass for whole ones.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use http_types::Method;
use smol::block_on;
use teaselcroft_parts::Millis;
use teaselcroft_router::http_client::{HttpCall, HttpError, HttpReply};

/// An upload that the service's buffers do not hold.
const UPLOAD_BYTES: usize = 8 << 20;

/// Starts a service that sends `reply` as soon as a request begins to arrive, and then resets the connection.
fn start_service(reply: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 1_024]).unwrap() > 0);
        stream.write_all(reply.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(20));
        // Closing with unread input resets the connection.
    });
    address
}

fn upload(address: SocketAddr) -> Result<HttpReply, HttpError> {
    let call = HttpCall::get(&address.to_string(), "/book".to_owned(), Millis(5_000));
    block_on(HttpCall { method: Method::Post, body: vec![b'x'; UPLOAD_BYTES], ..call }.send())
}

/// The part that arrived before the reset would pass for the whole reply.
#[test]
fn a_reply_without_a_length_that_a_reset_ends_during_the_upload_is_broken() {
    let address = start_service("HTTP/1.1 200 OK\r\n\r\nthe first part");

    assert_eq!(upload(address), Err(HttpError::Broken));
}

#[test]
fn a_reply_with_a_status_that_does_not_exist_is_broken() {
    for status in ["HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nno"] {
        let address = start_service(status);
        let call = HttpCall::get(&address.to_string(), "/book".to_owned(), Millis(5_000));

        assert_eq!(block_on(call.send()), Err(HttpError::Broken), "{status}");
    }
}
