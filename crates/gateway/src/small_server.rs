//! Serves short answers to requests without bodies: readiness, addresses, metrics, configurations.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use smol::Executor;

use crate::http::{BodyReader, Inbound, Reply, RequestHead, linger_close, request_body, wrap};

const MAX_HEAD_BYTES: usize = 8_192;

/// How long a connection may stay idle.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// How long the last bytes of a connection that is closed may take to be read.
const LINGER: Duration = Duration::from_millis(500);

/// How long accepting rests after an error, such as a lack of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Listens at `address`.
///
/// # Errors
///
/// The address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections for good and hands each to `serve`.
pub async fn accept<F, S>(listener: Async<TcpListener>, executor: Arc<Executor<'static>>, serve: S)
where
    F: Future<Output = ()> + Send + 'static,
    S: Fn(Inbound) -> F,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor.spawn(serve(Inbound::new(wrap(stream)))).detach(),
            Err(error) => {
                log::warn!("a connection cannot be accepted: {error}");
                Timer::after(ACCEPT_REST).await;
            }
        }
    }
}

/// Answers the requests of one connection with `answer`.
pub async fn serve<A: Fn(&RequestHead) -> Reply>(mut inbound: Inbound, answer: A) {
    while let Some(head) = next_request(&mut inbound).await {
        let reply = answer(&head).encode(head.keeps_alive());
        let sent = (&**inbound.socket()).write_all(&reply).await;
        if sent.is_err() || !head.keeps_alive() {
            break;
        }
    }
    linger_close(inbound, LINGER).await;
}

async fn next_request(inbound: &mut Inbound) -> Option<RequestHead> {
    let head = loop {
        if let Some((head, used)) = RequestHead::parse(inbound.bytes(), MAX_HEAD_BYTES).ok()? {
            inbound.consume(used);
            break head;
        }
        let idle = async {
            Timer::after(IDLE_TIME).await;
            Ok(0)
        };
        if or(inbound.fill(), idle).await.ok()? == 0 {
            return None;
        }
    };
    let mut reader = BodyReader::new(request_body(&head).ok()?);
    let mut body = Vec::new();
    while reader.next(inbound, &mut body).await.ok()? {
        body.clear();
    }
    Some(head)
}
