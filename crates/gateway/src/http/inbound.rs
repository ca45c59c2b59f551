//! A socket with the bytes read from it and not yet used.

use std::io;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;
use socket2::{SockRef, TcpKeepalive};

const READ_BYTES: usize = 16 * 1024;

/// Unacknowledged data older than this ends a connection; a silent path shows only so.
const SILENT_PATH: Duration = Duration::from_millis(4_000);

/// The time between probes of an idle connection, the shortest there is.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which an idle connection ends.
const PROBES: u32 = 3;

/// A non-blocking TCP connection, shared between a reader and a writer.
pub type Socket = Arc<Async<TcpStream>>;

/// Sets a connection's options: no delay, and an end to paths that went silent.
pub fn wrap(stream: Async<TcpStream>) -> Socket {
    let socket = SockRef::from(stream.get_ref());
    if let Err(error) = socket.set_tcp_nodelay(true) {
        log::debug!("no-delay could not be set: {error}");
    }
    let probes = TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME).with_retries(PROBES);
    if let Err(error) = socket.set_tcp_keepalive(&probes) {
        log::debug!("keep-alive probes could not be set: {error}");
    }
    if let Err(error) = socket.set_tcp_user_timeout(Some(SILENT_PATH)) {
        log::debug!("the user timeout could not be set: {error}");
    }
    Arc::new(stream)
}

/// The reading side of a connection.
#[derive(Debug)]
pub struct Inbound {
    socket: Socket,
    buffer: Vec<u8>,
    start: usize,
}

impl Inbound {
    /// Reads from `socket`.
    pub fn new(socket: Socket) -> Inbound {
        Inbound { socket, buffer: Vec::new(), start: 0 }
    }

    /// The connection.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// The bytes read and not yet used.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Marks `count` bytes as used.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
            if self.buffer.capacity() > 4 * READ_BYTES {
                self.buffer.shrink_to(READ_BYTES);
            }
        }
    }

    /// Waits for more bytes; 0 means that the other side closed.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.socket.readable().await?;
            match self.read_now() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Reads what has arrived without waiting.
    ///
    /// # Errors
    ///
    /// Nothing has arrived (`WouldBlock`), or the connection broke.
    pub fn read_now(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let result = loop {
            match self.socket.get_ref().read(&mut self.buffer[length..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.buffer.truncate(length + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Whether an idle connection can carry another request: open, and without bytes that nobody asked for.
    pub fn is_quiet(&mut self) -> bool {
        self.bytes().is_empty() && self.read_now().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Ends the sending side and reads what still arrives for up to `linger`, so that the peer gets the last
/// bytes instead of a reset.
pub async fn linger_close(mut inbound: Inbound, linger: Duration) {
    if inbound.socket.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while inbound.fill().await.is_ok_and(|count| count > 0) {
            let count = inbound.bytes().len();
            inbound.consume(count);
        }
    };
    or(drain, async {
        Timer::after(linger).await;
    })
    .await;
}
