//! Callers read their streams slowly while the daemon that serves them is stopped in a planned way.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Finding;
use crate::client::{Request, encode};
use crate::fleet::{CONTACT, Site, configure};
use crate::http::Peer;
use crate::record::Record;
use crate::runner::{Behavior, Runner};
use crate::store::Store;

const DAEMONS: usize = 2;
const RUNNERS: usize = 3;
const CALLERS: usize = 6;

/// A caller's receive buffer, which makes a small window.
const RECEIVE_BUFFER: i32 = 4_096;

/// How long a caller stops to read, in the middle of its stream. Its deadline is 15 s after the beginning.
const PAUSE: Duration = Duration::from_millis(5_500);

/// The time from the beginning of the streams until the daemon gets SIGTERM.
const SIGNAL_DELAY: Duration = Duration::from_millis(600);

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the size of a stream's receive buffer.
fn set_receive_buffer(stream: &TcpStream, bytes: i32) -> Result<(), String> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is an integer of the stated length.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
    if result == 0 { Ok(()) } else { Err("the receive buffer cannot be set".to_owned()) }
}

pub fn play(root: PathBuf, record: &Record, has_trouble: bool) -> Result<Finding, String> {
    let site = Site::new(root)?;
    let store = Store::start(&site.ip(1), Duration::from_secs(1));
    configure(&store);
    let behavior = Arc::new(Behavior { work: Duration::from_millis(20), event_bytes: 60, ..Behavior::default() });
    let start = |number: usize, name: String, service| {
        Runner::start(&site.ip(number), &name, service, &behavior, &store, record)
    };
    let _readers: Vec<Runner> = (0..2).map(|number| start(240 + number, format!("i-a{number}"), "agenda")).collect();
    let _runners: Vec<Runner> =
        (0..RUNNERS).map(|number| start(100 + number, format!("i-m{number}"), "asistente")).collect();
    let daemons = site.start(DAEMONS, &store, record)?;
    thread::sleep(CONTACT);

    let front = daemons[0].front;
    let pause = if has_trouble { PAUSE } else { Duration::ZERO };
    let mut signalled = Ok(());
    let cut: Vec<String> = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|number| scope.spawn(move || call(front, number, pause, record))).collect();
        thread::sleep(SIGNAL_DELAY);
        record.note("the daemon gets SIGTERM");
        signalled = daemons[0].terminate();
        callers.into_iter().filter_map(|caller| caller.join().expect("no caller panics")).collect()
    });
    signalled?;
    Ok(Finding {
        is_broken: !cut.is_empty(),
        reason: format!("{} of {CALLERS} streams were cut: {}", cut.len(), cut.join(", ")),
    })
}

/// Sends a small request, and on the same connection one for a stream, which it reads with a pause. Returns the stream's id
/// if the stream is not whole.
fn call(front: SocketAddr, number: usize, pause: Duration, record: &Record) -> Option<String> {
    let id = format!("chat-{number}");
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).expect("the daemon accepts connections");
    set_receive_buffer(&stream, RECEIVE_BUFFER).expect("the option is known");
    // The caller leaves at its deadline.
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the time is not zero");
    let mut peer = Peer::new(stream);
    let first = Request {
        method: "GET",
        path: "/read/small".to_owned(),
        id: format!("small-{number}"),
        deadline_ms: 3_000,
        ..Request::default()
    };
    peer.write(&encode(&first));
    record.note(format!("client   {} gets {}", first.id, peer.read().map_or(0, |answer| answer.status())));
    let request = Request {
        method: "POST",
        path: format!("/ask/150/16/{id}"),
        id: id.clone(),
        fields: format!("X-Model: m\r\nX-Token-Usage: 1460,450\r\nX-Prompt-Prefix: a{number}:350,b0{number}:1110\r\n"),
        body: format!("{{\"ask\":{number}}}"),
        deadline_ms: 15_000,
    };
    peer.write(&encode(&request));
    record.note(format!("client   {id} sends {} to {front}", request.path));
    let mut received = Vec::new();
    let mut is_paused = false;
    let mut chunk = [0; 512];
    let ending = loop {
        match peer.stream.read(&mut chunk) {
            Ok(0) => break "the connection closes".to_owned(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break "nothing more comes".to_owned(),
            Err(error) => break format!("the connection breaks: {error}"),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
        if received.ends_with(b"\r\n0\r\n\r\n") {
            break "the stream is whole".to_owned();
        }
        if !is_paused && received.len() > 2_000 {
            is_paused = true;
            record.note(format!("client   {id} reads nothing for {} ms", pause.as_millis()));
            thread::sleep(pause);
            record.note(format!("client   {id} reads on"));
        }
    };
    record.note(format!("client   {id} has {} bytes; {ending}", received.len()));
    (!received.ends_with(b"\r\n0\r\n\r\n")).then_some(id)
}
