//! Accepts HTTP/2 connections from peers and checks their key.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::Service;
use smol::Executor;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use tonic::body::Body;
use tonic::service::Routes;

use crate::SecretKey;
use crate::generated::peer_server::PeerServer;
use crate::node::Node;
use crate::peer_channel::PEER_KEY_HEADER;
use crate::peer_service::PeerService;
use crate::platform::Platform;

const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Passes requests with the right peer key on to the generated service and rejects others with 401.
#[derive(Clone)]
struct Authenticator {
    key: SecretKey,
    routes: Routes,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Body>, std::convert::Infallible>> + Send>>;

impl Service<Request<Incoming>> for Authenticator {
    type Response = Response<Body>;
    type Error = std::convert::Infallible;
    type Future = ResponseFuture;

    fn call(&self, request: Request<Incoming>) -> ResponseFuture {
        let offered = request.headers().get(PEER_KEY_HEADER).and_then(|value| value.to_str().ok());
        if !offered.is_some_and(|offered| self.key.matches(offered)) {
            let mut refusal = Response::new(Body::empty());
            *refusal.status_mut() = StatusCode::UNAUTHORIZED;
            return Box::pin(async { Ok(refusal) });
        }
        let mut routes = self.routes.clone();
        Box::pin(async move { tower_service::Service::call(&mut routes, request).await })
    }
}

/// Accepts connections from peers until the daemon ends.
pub async fn serve_peers<P: Platform>(node: Arc<Node<P>>, listener: TcpListener) {
    let service = PeerServer::new(PeerService::new(node.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let authenticator = Authenticator { key: node.settings.peer_key.clone(), routes: Routes::new(service).prepare() };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let serve = serve_connection(authenticator.clone(), stream, node.traffic.clone());
        node.traffic.spawn(serve).detach();
    }
}

async fn serve_connection(authenticator: Authenticator, stream: TcpStream, executor: Arc<Executor<'static>>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let server = http2::Builder::new(SmolExecutor::new(executor));
    if let Err(error) = server.serve_connection(FuturesIo::new(stream), authenticator).await {
        log::debug!("peer connection ended: {error}");
    }
}
