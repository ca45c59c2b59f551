//! A small HTTP client for calls to the store and to peers.

mod call_limits;

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use socket2::SockRef;
use teaselcroft_parts::Millis;

use crate::http::{BodyReader, Connection, Fields, PathTimeout, ResponseHead, into_socket, response_body};
pub use call_limits::CallLimits;

const MAX_HEAD_BYTES: usize = 16_384;

/// How long connecting may take, unless the caller sets another limit.
const CONNECT_TIMEOUT: Millis = Millis(800);

/// The most idle connections that one client keeps.
const MAX_IDLE: usize = 4;

/// A call failed: no connection, no answer in time or one that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallError;

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call got no answer")
    }
}

impl std::error::Error for CallError {}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
}

/// Calls one server over persistent connections.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Millis,
    aborts: bool,
    idle: Mutex<Vec<Connection>>,
}

impl HttpClient {
    /// A client of the server at `address`; it connects on the first call.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient::with_connect_timeout(address, CONNECT_TIMEOUT)
    }

    /// A client of the server at `address` that waits for a connection up to `connect_timeout`.
    pub fn with_connect_timeout(address: SocketAddr, connect_timeout: Millis) -> HttpClient {
        HttpClient { address, connect_timeout, aborts: false, idle: Mutex::default() }
    }

    /// A client of the server at `address` that aborts the connection of a call that is given up. Otherwise the system
    /// would go on sending what was not acknowledged yet, and the call could arrive seconds later.
    pub fn aborting(address: SocketAddr) -> HttpClient {
        HttpClient { aborts: true, ..HttpClient::new(address) }
    }

    /// Sends a request and waits up to `timeout` for the complete answer. A body is sent as JSON. After a failure the next
    /// call opens a new connection, since whatever silenced one may have silenced all.
    ///
    /// # Errors
    ///
    /// No complete answer came in time; the server may still have executed the call.
    pub async fn call(&self, method: &str, target: &str, body: &[u8], timeout: Millis) -> Result<CallReply, CallError> {
        self.call_with(method, target, &[], body, timeout).await
    }

    /// Like [`HttpClient::call`], with further header fields.
    ///
    /// # Errors
    ///
    /// No complete answer came in time; the server may still have executed the call.
    pub async fn call_with(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, String)],
        body: &[u8],
        timeout: Millis,
    ) -> Result<CallReply, CallError> {
        let limits = CallLimits { answer: timeout, stall: timeout, total: timeout, ..CallLimits::default() };
        self.run(&limits, self.exchange(method, target, fields, body, &limits, |_| true)).await
    }

    /// Reads a resource that may be large. `receives` is told the bytes of the body so far and whether to go on.
    ///
    /// # Errors
    ///
    /// No complete answer came within the limits, or `receives` returned false.
    pub async fn download(
        &self,
        target: &str,
        limits: &CallLimits,
        receives: impl FnMut(usize) -> bool,
    ) -> Result<CallReply, CallError> {
        self.run(limits, self.exchange("GET", target, &[], &[], limits, receives)).await
    }

    /// Runs an exchange for at most the total time of `limits`.
    async fn run(
        &self,
        limits: &CallLimits,
        exchange: impl Future<Output = Result<CallReply, CallError>>,
    ) -> Result<CallReply, CallError> {
        let result = within(limits.total, exchange).await;
        if result.is_err() {
            self.idle().clear();
        }
        result
    }

    /// A client of the same server without connections.
    #[must_use]
    pub fn fresh(&self) -> HttpClient {
        HttpClient { aborts: self.aborts, ..HttpClient::with_connect_timeout(self.address, self.connect_timeout) }
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, String)],
        body: &[u8],
        limits: &CallLimits,
        mut receives: impl FnMut(usize) -> bool,
    ) -> Result<CallReply, CallError> {
        let (mut connection, head) = within(limits.answer, self.send(method, target, fields, body)).await?;
        let length = response_body(method, &head).map_err(|_| CallError)?;
        let mut reader = BodyReader::new(length);
        let mut body = Vec::new();
        let read = async |reader: &mut BodyReader, connection: &mut Connection, body: &mut Vec<u8>| {
            reader.next(connection, body).await.map_err(|_| CallError)
        };
        while within(limits.stall, read(&mut reader, &mut connection, &mut body)).await? {
            if body.len() > limits.body_bytes || !receives(body.len()) {
                return Err(CallError);
            }
        }
        if head.keeps_alive() && connection.bytes().is_empty() {
            let mut idle = self.idle();
            if idle.len() < MAX_IDLE {
                idle.push(connection);
            }
        }
        Ok(CallReply { status: head.status, fields: head.fields, body })
    }

    /// Sends a request and returns its connection with the head of the answer.
    async fn send(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> Result<(Connection, ResponseHead), CallError> {
        let mut connection = self.acquire_connection().await?;
        let mut message = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in fields {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            message.push_str("Content-Type: application/json\r\n");
            message.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        message.push_str("\r\n");
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        (&**connection.socket()).write_all(&message).await.map_err(|_| CallError)?;
        let head = read_head(&mut connection).await?;
        Ok((connection, head))
    }

    async fn acquire_connection(&self) -> Result<Connection, CallError> {
        loop {
            let idle = self.idle().pop();
            let Some(mut connection) = idle else {
                let connection = connect(self.address, self.connect_timeout, PathTimeout::CONTROL).await?;
                if self.aborts {
                    let socket = SockRef::from(connection.socket().get_ref());
                    socket.set_linger(Some(Duration::ZERO)).map_err(|_| CallError)?;
                }
                return Ok(connection);
            };
            if connection.is_reusable() {
                return Ok(connection);
            }
        }
    }
}

/// Connects to `address` within `timeout`; the connection ends when its network path is dead for longer than `path` says.
///
/// # Errors
///
/// The connection was refused or not established in time.
pub async fn connect(address: SocketAddr, timeout: Millis, path: PathTimeout) -> Result<Connection, CallError> {
    let connecting = async { Async::<std::net::TcpStream>::connect(address).await.map_err(|_| CallError) };
    let stream = within(timeout, connecting).await?;
    Ok(Connection::new(into_socket(stream, path)))
}

/// Waits for `step` up to `timeout`.
async fn within<T>(timeout: Millis, step: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    or(step, async {
        Timer::after(timeout.into()).await;
        Err(CallError)
    })
    .await
}

async fn read_head(connection: &mut Connection) -> Result<ResponseHead, CallError> {
    loop {
        if let Some((head, used)) = ResponseHead::parse(connection.bytes(), MAX_HEAD_BYTES).map_err(|_| CallError)? {
            connection.consume(used);
            return Ok(head);
        }
        if connection.fill().await.map_err(|_| CallError)? == 0 {
            return Err(CallError);
        }
    }
}
