//! Startup and shutdown of a daemon: its listeners, control thread and traffic threads.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded, unbounded};
use smol::net::TcpListener;
use smol::{Executor, Timer};
use teaselcroft_parts::{Incarnation, Member, SlotId, winner};

use crate::api::serve_callers;
use crate::command::Command;
use crate::control::{Control, read_vm_list, watch_configs};
use crate::execute::hand_over;
use crate::node::Node;
use crate::peer_listener::serve_peers;
use crate::platform::Platform;
use crate::{Event, Settings, log_event};

/// How often a planned stop checks whether requests have ended or slots are released.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls before a planned stop gives up waiting for the release of its slots.
const MAX_RELEASE_POLLS: u32 = 250;
/// Time for the last heartbeats, which announce the released slots, to go out before the threads end.
const FINAL_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);

/// A running daemon; owns its control thread and its traffic threads.
pub struct Daemon<P> {
    node: Arc<Node<P>>,
    shutdown_sender: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl<P: Platform> Daemon<P> {
    /// Binds the listeners, then starts one control thread and the configured number of traffic threads.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be spawned.
    pub fn start(settings: Settings, platform: P) -> io::Result<Daemon<P>> {
        let caller_listener = smol::block_on(TcpListener::bind(settings.listen))?;
        let peer_listener = smol::block_on(TcpListener::bind(settings.peer_listen))?;
        let (control, commands) = unbounded();
        let (shutdown_sender, shutdown) = bounded(1);
        let traffic = Arc::new(Executor::new());
        let me = Member { name: settings.daemon.clone(), incarnation: new_incarnation() };
        let node = Arc::new(Node::new(settings, platform, me, control, traffic.clone()));
        log_event!(
            Event::DaemonStarted,
            daemon = node.me,
            callers = node.settings.listen,
            peers = node.settings.peer_listen
        );
        traffic.spawn(serve_callers(node.clone(), caller_listener)).detach();
        traffic.spawn(serve_peers(node.clone(), peer_listener)).detach();
        let mut threads = vec![start_control(node.clone(), commands, shutdown.clone())?];
        for index in 0..node.settings.limits.traffic_threads {
            let executor = traffic.clone();
            let shutdown = shutdown.clone();
            let run = move || {
                // `recv` fails once the daemon drops the sender, which ends this thread.
                let _ = smol::block_on(executor.run(shutdown.recv()));
            };
            threads.push(std::thread::Builder::new().name(format!("traffic-{index}")).spawn(run)?);
        }
        Ok(Daemon { node, shutdown_sender, threads })
    }

    /// The state shared by the daemon's tasks.
    pub const fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Shuts down gracefully: refuses new requests, hands call outcomes and slots over to other daemons,
    /// and waits up to `stop_ms` for running requests to end.
    pub async fn stop(self) {
        let node = &self.node;
        log_event!(Event::DaemonStopping, daemon = node.me, in_flight = node.in_flight.load(Ordering::Acquire));
        node.stopping.store(true, Ordering::Release);
        node.send_command(Command::Leaving);
        hand_over_outcomes(node).await;
        node.send_command(Command::ReleaseSlots);
        let max_polls = node.settings.limits.stop_ms / STOP_POLL_INTERVAL.as_millis() as u64;
        for _ in 0..max_polls {
            if node.in_flight.load(Ordering::Acquire) == 0 {
                break;
            }
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        wait_for_release(node).await;
        Timer::after(FINAL_HEARTBEAT_DELAY).await;
        log_event!(Event::DaemonStopped, daemon = node.me, in_flight = node.in_flight.load(Ordering::Acquire));
        self.abort();
    }

    /// Ends and joins all threads without waiting for running requests.
    pub fn abort(self) {
        drop(self.shutdown_sender);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a daemon thread panicked");
            }
        }
    }
}

/// Creates a new incarnation number from the wall clock in milliseconds, so that later starts compare higher, and
/// 20 random bits.
fn new_incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |span| span.as_millis() as u64);
    Incarnation((millis << 20) | u64::from(fastrand::u32(..1 << 20)))
}

fn start_control<P: Platform>(
    node: Arc<Node<P>>,
    commands: Receiver<Command>,
    shutdown: Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        let tasks = Arc::new(Executor::new());
        let control = Control::new(node.clone(), tasks.clone());
        tasks.spawn(control.run(commands)).detach();
        tasks.spawn(read_vm_list(node.clone())).detach();
        tasks.spawn(watch_configs(node)).detach();
        // `recv` fails once the daemon drops the sender, which ends this thread.
        let _ = smol::block_on(tasks.run(shutdown.recv()));
    };
    std::thread::Builder::new().name("control".to_owned()).spawn(run)
}

/// Sends the outcomes of each slot executed here to the daemon that will probably take it over.
async fn hand_over_outcomes<P: Platform>(node: &Arc<Node<P>>) {
    let snapshot = node.snapshot();
    let slots = node.settings.limits.slots;
    let names =
        || snapshot.entry_points.iter().map(|entry| entry.name.as_str()).filter(|name| *name != node.me.name.as_str());
    for slot in (0..slots).map(SlotId) {
        let owned = snapshot.executors.get(&slot) == Some(&node.me);
        let next = winner(&format!("slot/{slot}"), names()).and_then(|name| name.parse().ok());
        let Some(next) = next.filter(|_| owned) else {
            continue;
        };
        let outcomes = node.calls.outcomes_of(slot, slots);
        if !outcomes.is_empty() {
            hand_over(node, &next, slot, outcomes).await;
        }
    }
}

async fn wait_for_release<P: Platform>(node: &Arc<Node<P>>) {
    for _ in 0..MAX_RELEASE_POLLS {
        if node.heartbeat().slots.is_empty() {
            return;
        }
        Timer::after(STOP_POLL_INTERVAL).await;
    }
    log::warn!("the key-value service does not answer; leaving unreleased slots for other daemons to take over");
}
