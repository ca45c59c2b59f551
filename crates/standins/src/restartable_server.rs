//! An HTTP server that can simulate a crash: its listener and all connections close at once.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use futures_lite::FutureExt;
use http_types::{Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};

/// Pause before the state is checked or binding is tried again.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// A channel that a crash closes.
#[derive(Debug)]
struct CloseSignal {
    _sender: Sender<()>,
    closed: Receiver<()>,
}

/// Starts and crashes an HTTP server that keeps its address.
#[derive(Debug)]
pub struct RestartableServer {
    /// The loopback address, the same after each restart.
    pub address: SocketAddr,
    /// `None` while the server is down.
    signal: Mutex<Option<CloseSignal>>,
}

impl RestartableServer {
    fn new(address: SocketAddr) -> RestartableServer {
        let server = RestartableServer { address, signal: Mutex::new(None) };
        server.start();
        server
    }

    /// Closes the listener and every connection, until `start` is called.
    pub fn crash(&self) {
        self.signal.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Lets the server listen again.
    pub fn start(&self) {
        let (sender, closed) = bounded(1);
        let signal = CloseSignal { _sender: sender, closed };
        *self.signal.lock().unwrap_or_else(PoisonError::into_inner) = Some(signal);
    }

    fn close_signal(&self) -> Option<Receiver<()>> {
        let signal = self.signal.lock().unwrap_or_else(PoisonError::into_inner);
        signal.as_ref().map(|signal| signal.closed.clone())
    }
}

async fn wait_closed(closed: Receiver<()>) {
    // Nothing is ever sent; a crash closes the channel by dropping its sender.
    let _ = closed.recv().await;
}

/// Serves HTTP with `handle` on a free loopback port, across simulated crashes and restarts.
///
/// # Errors
///
/// No loopback port can be bound.
pub async fn serve<H, F>(executor: Arc<Executor<'static>>, handle: H) -> io::Result<Arc<RestartableServer>>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let server = Arc::new(RestartableServer::new(listener.local_addr()?));
    executor.spawn(serve_with_restarts(executor.clone(), server.clone(), listener, handle)).detach();
    Ok(server)
}

async fn serve_with_restarts<H, F>(
    executor: Arc<Executor<'static>>,
    server: Arc<RestartableServer>,
    first: TcpListener,
    handle: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let mut listener = Some(first);
    loop {
        let Some(closed) = server.close_signal() else {
            listener = None;
            Timer::after(REBIND_PAUSE).await;
            continue;
        };
        let bound = match listener.take() {
            Some(bound) => Ok(bound),
            None => TcpListener::bind(server.address).await,
        };
        let Ok(bound) = bound else {
            Timer::after(REBIND_PAUSE).await;
            continue;
        };
        let accept = accept_forever(&executor, &bound, &closed, &handle);
        accept.or(wait_closed(closed.clone())).await;
    }
}

async fn accept_forever<H, F>(
    executor: &Arc<Executor<'static>>,
    listener: &TcpListener,
    closed: &Receiver<()>,
    handle: &H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let connection = serve_connection(stream, handle.clone());
        executor.spawn(connection.or(wait_closed(closed.clone()))).detach();
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handle: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    // Errors mean that the peer went away or a handler dropped the connection on purpose.
    let _ = stream.set_nodelay(true);
    let _ = async_h1::accept(stream, handle).await;
}
