//! TCP connections with a read buffer.

use std::io;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;

use super::PathTimeout;

const READ_SIZE: usize = 16 * 1024;

/// A non-blocking TCP stream, shared between a reader and a writer.
pub type Socket = Arc<Async<TcpStream>>;

/// Sets the TCP options of a new stream: no Nagle's algorithm, and an end to connections over dead network paths. An
/// option that cannot be set is only logged.
pub fn into_socket(stream: Async<TcpStream>, path: PathTimeout) -> Socket {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {error}");
    }
    if let Err(error) = path.apply(stream.get_ref()) {
        log::debug!("the timeouts for dead network paths could not be set: {error}");
    }
    Arc::new(stream)
}

/// A connection with a read buffer; writes go straight to its socket.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    start: usize,
    /// Whether a write failed.
    is_broken: bool,
}

impl Connection {
    /// A connection over `socket` with an empty buffer.
    pub fn new(socket: Socket) -> Connection {
        Connection { socket, buffer: Vec::new(), start: 0, is_broken: false }
    }

    /// The socket, for writing.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Records that a write to the socket failed. The system reports a reset once: after that write the end of the connection
    /// reads like an orderly one.
    pub fn note_failed_write(&mut self) {
        self.is_broken = true;
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
        match result {
            Ok(0) if self.is_broken => Err(io::ErrorKind::ConnectionReset.into()),
            other => other,
        }
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
