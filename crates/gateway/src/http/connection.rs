//! TCP connections with a read buffer.

use std::io;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;
use socket2::{SockRef, TcpKeepalive};

const READ_SIZE: usize = 16 * 1024;

/// `TCP_USER_TIMEOUT`: unacknowledged data older than this ends a connection, since a network path that drops all
/// packets is noticed in no other way.
const USER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The time between TCP keep-alive probes of an idle connection; one second is the shortest possible.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which an idle connection ends.
const KEEPALIVE_RETRIES: u32 = 3;

/// A non-blocking TCP stream, shared between a reader and a writer.
pub type Socket = Arc<Async<TcpStream>>;

/// Sets the TCP options of a new stream: no Nagle's algorithm, and an end to connections over dead network paths. An
/// option that cannot be set is only logged.
pub fn into_socket(stream: Async<TcpStream>) -> Socket {
    let socket = SockRef::from(stream.get_ref());
    if let Err(error) = socket.set_tcp_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {error}");
    }
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    if let Err(error) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("TCP keep-alive could not be set: {error}");
    }
    if let Err(error) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!("TCP_USER_TIMEOUT could not be set: {error}");
    }
    Arc::new(stream)
}

/// A connection with a read buffer; writes go straight to its socket.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    start: usize,
}

impl Connection {
    /// A connection over `socket` with an empty buffer.
    pub fn new(socket: Socket) -> Connection {
        Connection { socket, buffer: Vec::new(), start: 0 }
    }

    /// The socket, for writing.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// The bytes that were read and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Discards the first `count` buffered bytes.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
            if self.buffer.capacity() > 4 * READ_SIZE {
                self.buffer.shrink_to(READ_SIZE);
            }
        }
    }

    /// Waits for more bytes, appends them to the buffer and returns their number; 0 means that the peer closed.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.socket.readable().await?;
            match self.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Reads into the buffer what has arrived, without waiting.
    ///
    /// # Errors
    ///
    /// Nothing has arrived (`WouldBlock`), or the connection broke.
    pub fn try_read(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_SIZE, 0);
        let result = loop {
            match self.socket.get_ref().read(&mut self.buffer[length..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.buffer.truncate(length + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Whether an idle connection can carry another request: it is open, and no unsolicited bytes have arrived.
    pub fn is_reusable(&mut self) -> bool {
        self.bytes().is_empty() && self.try_read().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Closes the sending side, then discards what still arrives for up to `timeout`, so that the peer can read the last
/// bytes; closing with unread input would reset the connection.
pub async fn linger_close(mut connection: Connection, timeout: Duration) {
    if connection.socket.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while connection.fill().await.is_ok_and(|count| count > 0) {
            let count = connection.bytes().len();
            connection.consume(count);
        }
    };
    or(drain, async {
        Timer::after(timeout).await;
    })
    .await;
}
