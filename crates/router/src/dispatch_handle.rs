//! An entry daemon's handle to a request that it submitted to a dispatcher, local or remote.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use futures_lite::FutureExt;
use futures_util::{StreamExt, stream};
use smol::Timer;
use teaselcroft_parts::{DaemonName, ModelName};
use teaselcroft_policy::Outcome;

use crate::Event;
use crate::command::Command;
use crate::dispatch_event::DispatchEvent;
use crate::dispatch_request::{DispatchRequest, outcome_to_wire};
use crate::generated::{DispatchDown, DispatchUp};
use crate::node::Node;
use crate::platform::Platform;

const EVENT_BUFFER: usize = 4;

/// How often a handle checks whether its dispatcher was replaced.
const DISPATCHER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a request is submitted to the next dispatcher after its dispatcher was lost.
const REOPEN_DELAY: Duration = Duration::from_millis(30);

/// A request submitted to the dispatcher of its upstream; dropping the handle withdraws the request.
#[derive(Debug)]
pub struct DispatchHandle {
    events: Receiver<DispatchEvent>,
    outcomes: Sender<Outcome>,
}

impl DispatchHandle {
    /// Submits a request to the current dispatcher of its upstream.
    pub fn open<P: Platform>(node: &Arc<Node<P>>, dispatch: DispatchRequest) -> DispatchHandle {
        DispatchHandle::open_after(node, dispatch, Duration::ZERO)
    }

    /// Submits a request to the current dispatcher after the previous one was lost.
    pub fn reopen<P: Platform>(node: &Arc<Node<P>>, dispatch: DispatchRequest) -> DispatchHandle {
        DispatchHandle::open_after(node, dispatch, REOPEN_DELAY)
    }

    fn open_after<P: Platform>(node: &Arc<Node<P>>, dispatch: DispatchRequest, delay: Duration) -> DispatchHandle {
        let (event_sender, events) = bounded(EVENT_BUFFER);
        let (outcomes, outcome_receiver) = bounded(1);
        let handle = DispatchHandle { events, outcomes };
        let dispatcher = node.snapshot().dispatchers.get(&dispatch.upstream).cloned();
        let chosen = dispatcher.as_ref().map_or("none yet", |name| name.as_str());
        let grounds = format!("dispatcher of {} is {chosen}, waited {}", dispatch.upstream, dispatch.waited);
        node.record_decision(&dispatch.request, Event::DispatcherChosen, grounds);
        if delay.is_zero() && dispatcher.as_ref() == Some(&node.me.name) {
            node.send_command(Command::Enter { dispatch, events: event_sender, outcomes: outcome_receiver });
            return handle;
        }
        node.traffic.spawn(relay(node.clone(), dispatch, delay, event_sender, outcome_receiver)).detach();
        handle
    }

    /// Waits for the next message of the dispatcher; `None` if the dispatcher is lost.
    pub async fn next_event(&self) -> Option<DispatchEvent> {
        self.events.recv().await.ok()
    }

    /// Reports how the request ended, which removes it from the dispatcher.
    pub fn end(self, outcome: Outcome) {
        // Fails only if the dispatcher is lost.
        let _ = self.outcomes.try_send(outcome);
    }
}

/// Relays messages between a handle and the dispatcher that is current after `delay`.
async fn relay<P: Platform>(
    node: Arc<Node<P>>,
    dispatch: DispatchRequest,
    delay: Duration,
    events: Sender<DispatchEvent>,
    outcomes: Receiver<Outcome>,
) {
    Timer::after(delay).await;
    let Some(dispatcher) = node.snapshot().dispatchers.get(&dispatch.upstream).cloned() else {
        return;
    };
    if dispatcher == node.me.name {
        node.send_command(Command::Enter { dispatch, events, outcomes });
        return;
    }
    let Ok(mut client) = node.client(&dispatcher).await else {
        return;
    };
    let upstream = dispatch.upstream.clone();
    let enter: DispatchUp = dispatch.into();
    let up_messages = stream::once(async { enter }).chain(outcomes.map(outcome_to_wire));
    let Ok(reply) = client.dispatch(up_messages).await else {
        return;
    };
    let mut down_messages = reply.into_inner();
    loop {
        let next = async { down_messages.message().await.ok().flatten() };
        let Some(down) = next.or(dispatcher_replaced(&node, &upstream, &dispatcher)).await else {
            return;
        };
        let Ok(event) = DispatchEvent::try_from(down) else {
            return;
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Returns once `dispatcher` no longer dispatches `upstream`, because it was replaced or counts as dead.
async fn dispatcher_replaced<P: Platform>(
    node: &Node<P>,
    upstream: &ModelName,
    dispatcher: &DaemonName,
) -> Option<DispatchDown> {
    while node.snapshot().dispatchers.get(upstream) == Some(dispatcher) {
        Timer::after(DISPATCHER_POLL_INTERVAL).await;
    }
    None
}
