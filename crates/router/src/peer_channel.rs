//! An HTTP/2 connection to a peer, used by the generated gRPC client.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::HeaderValue;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use smol::Executor;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use tonic::body::Body;
use tower_service::Service;

use crate::http_client::with_timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The request header that carries the shared key of the cell's daemons.
pub const PEER_KEY_HEADER: &str = "x-peer-key";

type Exec = SmolExecutor<Arc<Executor<'static>>>;

/// An authenticated connection to a peer; clones share it.
#[derive(Debug, Clone)]
pub struct PeerChannel {
    sender: http2::SendRequest<Body>,
    key: HeaderValue,
}

/// Why a peer could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerError {
    /// The connection was refused, so the peer's process is gone.
    Refused,
    /// The peer did not answer in time, or the connection broke.
    Silent,
}

impl PeerChannel {
    /// Connects to the peer at `address`; every request on the connection carries `key`.
    ///
    /// # Errors
    ///
    /// Says whether the peer refused the connection or did not answer.
    pub async fn connect(address: &str, key: &str, executor: Arc<Executor<'static>>) -> Result<PeerChannel, PeerError> {
        let mut key = HeaderValue::from_str(key).map_err(|_| PeerError::Silent)?;
        key.set_sensitive(true);
        let connect = async { TcpStream::connect(address).await.map_err(|_| PeerError::Refused) };
        let stream = with_timeout(CONNECT_TIMEOUT, Err(PeerError::Silent), connect).await?;
        stream.set_nodelay(true).map_err(|_| PeerError::Silent)?;
        let exec: Exec = SmolExecutor::new(executor.clone());
        let handshake = http2::handshake(exec, FuturesIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| PeerError::Silent)?;
        executor.spawn(connection).detach();
        Ok(PeerChannel { sender, key })
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<http::Response<Incoming>, hyper::Error>> + Send>>;

impl Service<http::Request<Body>> for PeerChannel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, mut request: http::Request<Body>) -> ResponseFuture {
        request.headers_mut().insert(PEER_KEY_HEADER, self.key.clone());
        Box::pin(self.sender.send_request(request))
    }
}
