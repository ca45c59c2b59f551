//! A minimal HTTP server for readiness, addresses, metrics and configurations; it ignores request bodies.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use smol::Executor;

use crate::http::{BodyReader, Connection, PathTimeout, Reply, RequestHead, into_socket, linger_close, request_body};

const MAX_HEAD_BYTES: usize = 8_192;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a closing connection waits for the client to read the last bytes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause after a failed accept, for example while the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listener to `address`.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections forever and spawns `serve` for each.
pub async fn accept_connections<F, S>(listener: Async<TcpListener>, executor: Arc<Executor<'static>>, serve: S)
where
    F: Future<Output = ()> + Send + 'static,
    S: Fn(Connection) -> F,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                executor.spawn(serve(Connection::new(into_socket(stream, PathTimeout::default())))).detach()
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests of one connection in order, until it closes or is idle for too long.
pub async fn serve<A: Fn(&RequestHead) -> Reply>(mut connection: Connection, answer: A) {
    while let Some(head) = next_request(&mut connection).await {
        let reply = answer(&head).encode(head.keeps_alive());
        let sent = (&**connection.socket()).write_all(&reply).await;
        if sent.is_err() || !head.keeps_alive() {
            break;
        }
    }
    linger_close(connection, LINGER_TIMEOUT).await;
}

async fn next_request(connection: &mut Connection) -> Option<RequestHead> {
    let head = loop {
        if let Some((head, used)) = RequestHead::parse(connection.bytes(), MAX_HEAD_BYTES).ok()? {
            connection.consume(used);
            break head;
        }
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            Ok(0)
        };
        if or(connection.fill(), idle).await.ok()? == 0 {
            return None;
        }
    };
    let mut reader = BodyReader::new(request_body(&head).ok()?);
    let mut body = Vec::new();
    while reader.next(connection, &mut body).await.ok()? {
        body.clear();
    }
    Some(head)
}
