//! Small whole calls: to the store and to peers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use teaselcroft_parts::Millis;

use crate::http::{BodyReader, Inbound, ResponseHead, response_body, wrap};

const MAX_HEAD_BYTES: usize = 16_384;

/// The longest time for a connection to be made.
const CONNECT_TIME: Millis = Millis(800);

/// Idle connections kept.
const MOST_IDLE: usize = 4;

/// A call without a usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallError;

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call got no answer")
    }
}

impl std::error::Error for CallError {}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Calls one server over kept connections.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<Inbound>>,
}

impl HttpClient {
    /// A client of the server at `address`.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, idle: Mutex::default() }
    }

    /// Sends a call and waits up to `timeout` for the whole answer.
    ///
    /// # Errors
    ///
    /// No whole answer came in time; the call may have been carried out.
    pub async fn call(&self, method: &str, target: &str, body: &[u8], timeout: Millis) -> Result<CallReply, CallError> {
        or(self.exchange(method, target, body), async {
            Timer::after(timeout.into()).await;
            Err(CallError)
        })
        .await
    }

    async fn exchange(&self, method: &str, target: &str, body: &[u8]) -> Result<CallReply, CallError> {
        let mut inbound = self.connection().await?;
        let mut message = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if !body.is_empty() || method == "POST" {
            message.push_str("Content-Type: application/json\r\n");
            message.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        message.push_str("\r\n");
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        (&**inbound.socket()).write_all(&message).await.map_err(|_| CallError)?;
        let head = read_head(&mut inbound).await?;
        let length = response_body(method, &head).map_err(|_| CallError)?;
        let mut reader = BodyReader::new(length);
        let mut body = Vec::new();
        while reader.next(&mut inbound, &mut body).await.map_err(|_| CallError)? {}
        if head.keeps_alive() && inbound.bytes().is_empty() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            if idle.len() < MOST_IDLE {
                idle.push(inbound);
            }
        }
        Ok(CallReply { status: head.status, body })
    }

    async fn connection(&self) -> Result<Inbound, CallError> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let Some(mut inbound) = idle else {
                return connect(self.address, CONNECT_TIME).await;
            };
            if inbound.is_quiet() {
                return Ok(inbound);
            }
        }
    }
}

/// Connects within `timeout`.
///
/// # Errors
///
/// The connection was refused or not accepted in time.
pub async fn connect(address: SocketAddr, timeout: Millis) -> Result<Inbound, CallError> {
    let connecting = async { Async::<std::net::TcpStream>::connect(address).await.map_err(|_| CallError) };
    let stream = or(connecting, async {
        Timer::after(timeout.into()).await;
        Err(CallError)
    })
    .await?;
    Ok(Inbound::new(wrap(stream)))
}

async fn read_head(inbound: &mut Inbound) -> Result<ResponseHead, CallError> {
    loop {
        if let Some((head, used)) = ResponseHead::parse(inbound.bytes(), MAX_HEAD_BYTES).map_err(|_| CallError)? {
            inbound.consume(used);
            return Ok(head);
        }
        if inbound.fill().await.map_err(|_| CallError)? == 0 {
            return Err(CallError);
        }
    }
}
