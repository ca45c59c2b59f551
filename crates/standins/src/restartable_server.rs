//! A stand-in server that can crash: its listener and connections go at once.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use futures_lite::FutureExt;
use http_types::{Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};

const REBIND: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Life {
    _holder: Sender<()>,
    end: Receiver<()>,
}

/// One life of a stand-in after another.
#[derive(Debug)]
pub struct Lifeline {
    /// Its address, the same in every life.
    pub address: SocketAddr,
    life: Mutex<Option<Life>>,
}

impl Lifeline {
    fn new(address: SocketAddr) -> Lifeline {
        let lifeline = Lifeline { address, life: Mutex::new(None) };
        lifeline.start();
        lifeline
    }

    /// Ends this life: the listener and every connection go.
    pub fn crash(&self) {
        self.life.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Begins the next life.
    pub fn start(&self) {
        let (holder, end) = bounded(1);
        let life = Life { _holder: holder, end };
        *self.life.lock().unwrap_or_else(PoisonError::into_inner) = Some(life);
    }

    fn current(&self) -> Option<Receiver<()>> {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        life.as_ref().map(|life| life.end.clone())
    }
}

async fn ended(end: Receiver<()>) {
    // Nothing is ever sent; the channel closes at the end of the life.
    let _ = end.recv().await;
}

/// Serves HTTP with `handle` on a free loopback port, through crashes and restarts.
///
/// # Errors
///
/// No port can be listened on.
pub async fn serve<H, F>(executor: Arc<Executor<'static>>, handle: H) -> io::Result<Arc<Lifeline>>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let lifeline = Arc::new(Lifeline::new(listener.local_addr()?));
    executor.spawn(serve_lives(executor.clone(), lifeline.clone(), listener, handle)).detach();
    Ok(lifeline)
}

async fn serve_lives<H, F>(executor: Arc<Executor<'static>>, lifeline: Arc<Lifeline>, first: TcpListener, handle: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let mut listener = Some(first);
    loop {
        let Some(end) = lifeline.current() else {
            listener = None;
            Timer::after(REBIND).await;
            continue;
        };
        let bound = match listener.take() {
            Some(bound) => Ok(bound),
            None => TcpListener::bind(lifeline.address).await,
        };
        let Ok(bound) = bound else {
            Timer::after(REBIND).await;
            continue;
        };
        let accept = accept_forever(&executor, &bound, &end, &handle);
        accept.or(ended(end.clone())).await;
    }
}

async fn accept_forever<H, F>(executor: &Arc<Executor<'static>>, listener: &TcpListener, end: &Receiver<()>, handle: &H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let connection = serve_connection(stream, handle.clone());
        executor.spawn(connection.or(ended(end.clone()))).detach();
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handle: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    // A peer that goes away is no concern of a stand-in.
    let _ = stream.set_nodelay(true);
    let _ = async_h1::accept(stream, handle).await;
}
