//! One HTTP/1.1 request on a connection of its own.

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
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// How far a request got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    Refused,
    /// The connection broke after something was sent.
    Broken,
    /// No reply came in time after something was sent.
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

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The address as `host:port`.
    pub address: String,
    /// The path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The longest wait for the head of the reply.
    pub timeout: Millis,
}

/// A reply that was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// The status.
    pub status: u16,
    /// The value of the header `x-version`, zero if absent.
    pub version: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Ends `work` with `late` after `limit`.
pub async fn with_timeout<T>(limit: Duration, late: T, work: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(limit).await;
        late
    };
    work.or(timeout).await
}

impl HttpCall {
    /// A GET request.
    pub fn get(address: &str, path: String, timeout: Millis) -> HttpCall {
        HttpCall {
            method: Method::Get,
            address: address.to_owned(),
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
        }
    }

    /// Sends the request and returns once the head of the reply has arrived.
    ///
    /// # Errors
    ///
    /// Says whether anything was sent.
    pub async fn open(self) -> Result<Response, HttpError> {
        let stream = connect_to(&self.address).await?;
        let limit = Duration::from(self.timeout);
        let request = self.into_request().ok_or(HttpError::Refused)?;
        let reply = async { connect(stream, request).await.map_err(|_| HttpError::Broken) };
        with_timeout(limit, Err(HttpError::Silent), reply).await
    }

    /// Sends the request and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Says whether anything was sent.
    pub async fn send(self) -> Result<HttpReply, HttpError> {
        let limit = Duration::from(self.timeout);
        let mut response = self.open().await?;
        let version = response.header("x-version").and_then(|value| value.as_str().parse().ok());
        let mut body = Vec::new();
        let read = async {
            let mut limited = response.take_body().take(MAX_REPLY_BYTES);
            limited.read_to_end(&mut body).await.map_err(|_| HttpError::Broken)
        };
        with_timeout(limit, Err(HttpError::Silent), read).await?;
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
