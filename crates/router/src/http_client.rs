//! A minimal HTTP/1.1 client that opens a new connection for each request.

use std::fmt;
use std::time::Duration;

use async_h1::connect;
use futures_lite::FutureExt;
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Request, Response, Url};
use smol::Timer;
use smol::net::TcpStream;
use teaselcroft_parts::Millis;
use teaselcroft_policy::EndKind;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest reply of a server that is part of the system, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// The largest reply of a runner, in bytes: a faulty one may send bytes without end.
pub const MAX_RUNNER_REPLY_BYTES: u64 = 4 << 20;

/// Why a request failed; tells whether the server may have acted on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// Nothing ran: no connection was made, or an engine answered with an error status.
    Refused,
    /// The connection broke, or the reply was malformed, after the request was sent at least in part.
    Broken,
    /// The reply timed out after the request was sent at least in part.
    Silent,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Refused => "the connection was refused",
            HttpError::Broken => "the connection broke",
            HttpError::Silent => "no reply came in time",
        })
    }
}

impl std::error::Error for HttpError {}

impl From<HttpError> for EndKind {
    fn from(error: HttpError) -> EndKind {
        match error {
            HttpError::Refused => EndKind::Refused,
            HttpError::Broken => EndKind::Broken,
            HttpError::Silent => EndKind::Silent,
        }
    }
}

/// An HTTP request, ready to send.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The server's address as `host:port`.
    pub address: String,
    /// The path and query.
    pub path: String,
    /// Headers besides `connection: close`, which is always sent.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Timeout for the head of the reply; `send` allows the same again for the body.
    pub timeout: Millis,
    /// The largest body of the reply that `send` accepts, in bytes.
    pub max_reply: u64,
}

/// A reply with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the header `x-version`, or zero if it is absent or no number.
    pub version: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Runs `work`, but drops it and returns `late` if it takes longer than `limit`.
pub async fn with_timeout<T>(limit: Duration, late: T, work: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(limit).await;
        late
    };
    work.or(timeout).await
}

impl HttpCall {
    /// Creates a GET request without headers or body.
    pub fn get(address: &str, path: String, timeout: Millis) -> HttpCall {
        HttpCall {
            method: Method::Get,
            address: address.to_owned(),
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
            max_reply: MAX_REPLY_BYTES,
        }
    }

    /// Sends the request and returns once the head of the reply has arrived; the body is read later.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have reached the server.
    pub async fn open(self) -> Result<Response, HttpError> {
        let stream = connect_to(&self.address).await?;
        let limit = Duration::from(self.timeout);
        let request = self.into_request().ok_or(HttpError::Refused)?;
        let reply = async { connect(stream, request).await.map_err(|_| HttpError::Broken) };
        with_timeout(limit, Err(HttpError::Silent), reply).await
    }

    /// Sends the request and reads the whole reply, up to `max_reply`.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have reached the server.
    pub async fn send(self) -> Result<HttpReply, HttpError> {
        let (limit, max_reply) = (Duration::from(self.timeout), self.max_reply);
        let mut response = self.open().await?;
        let version = response.header("x-version").and_then(|value| value.as_str().parse().ok());
        let mut body = Vec::new();
        let read = async {
            let mut limited = response.take_body().take(max_reply + 1);
            limited.read_to_end(&mut body).await.map_err(|_| HttpError::Broken)
        };
        with_timeout(limit, Err(HttpError::Silent), read).await?;
        if body.len() as u64 > max_reply {
            return Err(HttpError::Broken);
        }
        Ok(HttpReply { status: response.status().into(), version: version.unwrap_or(0), body })
    }

    fn into_request(self) -> Option<Request> {
        let url = Url::parse(&format!("http://{}{}", self.address, self.path)).ok()?;
        let mut request = Request::new(self.method, url);
        request.insert_header("connection", "close");
        for (name, value) in self.headers {
            request.insert_header(name, value);
        }
        request.set_body(self.body);
        Some(request)
    }
}

async fn connect_to(address: &str) -> Result<TcpStream, HttpError> {
    let connect = async { TcpStream::connect(address).await.map_err(|_| HttpError::Refused) };
    let stream = with_timeout(CONNECT_TIMEOUT, Err(HttpError::Refused), connect).await?;
    stream.set_nodelay(true).map_err(|_| HttpError::Refused)?;
    Ok(stream)
}
