//! Sends placement queries to the placement leader, one daemon that places the requests of all daemons and so has
//! exact load counts. Without a reply a daemon places by itself, from the load counts in heartbeats.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::dialect::Dialect;
use crate::fleet::{Choice, Placement, PlacementRequest};
use crate::gateway::Gateway;
use crate::heartbeat::{Content, LoadReport, PlaceGrant, PlaceQuery, send};
use crate::{Duty, Event, Priority, Prompt, PromptPart, log_event};

/// How long a reply is waited for: several round trips within a region.
const REPLY_TIMEOUT: Millis = Millis(40);

/// Consecutive queries without a reply after which none is sent for `BREAKER_OPEN_TIME`.
const MAX_UNANSWERED: u32 = 3;

/// How long a daemon places by itself after the leader left queries unanswered.
const BREAKER_OPEN_TIME: Millis = Millis(1_000);

/// The time between reports of changed load counts to the placement leader.
const REPORT_INTERVAL: Millis = Millis(40);

/// The most prompt parts in a query; later parts are rarely shared between prompts.
const MAX_QUERY_PARTS: usize = 32;

/// The queries in flight, and the circuit breaker that stops them.
#[derive(Debug, Default)]
struct Pending {
    /// Where the grant for each query number is delivered.
    replies: HashMap<u64, Sender<PlaceGrant>>,
    unanswered: u32,
    /// No queries are sent before this time.
    open_until: Millis,
}

/// The client side of queries to the placement leader.
#[derive(Debug, Default)]
pub struct Placer {
    socket: OnceLock<Arc<Async<UdpSocket>>>,
    pending: Mutex<Pending>,
    /// The number of the last query.
    number: AtomicU64,
}

impl Placer {
    /// Sets the socket for queries; until then every request is placed by this daemon itself.
    pub fn open(&self, socket: Arc<Async<UdpSocket>>) {
        self.socket.get_or_init(|| socket);
    }

    /// The socket for datagrams to other daemons, once it is open.
    pub fn socket(&self) -> Option<&Async<UdpSocket>> {
        self.socket.get().map(|socket| &**socket)
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a panic may have left the queries in flight half changed.
    pub fn is_poisoned(&self) -> bool {
        self.pending.is_poisoned()
    }

    /// Passes a grant to the request that waits for it, and resets the circuit breaker's count.
    pub fn deliver(&self, grant: PlaceGrant) {
        let mut pending = self.pending();
        pending.unanswered = 0;
        if let Some(sender) = pending.replies.remove(&grant.number) {
            // The request may have stopped waiting.
            let _delivered = sender.try_send(grant);
        }
    }

    /// Sends a query and waits for the grant. Returns `None` if the circuit breaker is open or the reply is late.
    async fn query(&self, target: SocketAddr, mut query: PlaceQuery, now: Millis) -> Option<PlaceGrant> {
        let socket = self.socket.get()?;
        let (sender, receiver) = async_channel::bounded(1);
        query.number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let number = query.number;
        {
            let mut pending = self.pending();
            if pending.open_until > now {
                return None;
            }
            pending.replies.insert(number, sender);
        }
        send(socket, &Content::Ask(query).into_bytes(), target).await;
        let grant = or(async { receiver.recv().await.ok() }, async {
            Timer::after(REPLY_TIMEOUT.into()).await;
            None
        })
        .await;
        if grant.is_none() {
            self.note_timeout(number, target, now);
        }
        grant
    }

    /// Counts a query without a reply, and opens the circuit breaker after too many in a row.
    fn note_timeout(&self, number: u64, target: SocketAddr, now: Millis) {
        let mut pending = self.pending();
        pending.replies.remove(&number);
        pending.unanswered += 1;
        if pending.unanswered >= MAX_UNANSWERED {
            pending.unanswered = 0;
            pending.open_until = now + BREAKER_OPEN_TIME;
            log_event!(Event::PlacingAlone, asked = target, span = BREAKER_OPEN_TIME);
        }
    }
}

/// Chooses the runner for a request: through the placement leader, or here if this daemon is the leader, the leader
/// does not reply, or the request has no prompt. Of runners with a rate limit only the leader knows what all daemons send
/// there, so that a request without a prompt asks it too if no other runner is left.
pub async fn place<D: Dialect>(gateway: &Gateway<D>, request: &PlacementRequest<'_>) -> Choice {
    let leader = leader_address(gateway);
    if let Some(target) = leader.filter(|_| request.prompt.is_some())
        && let Some(choice) = ask_leader(gateway, request, target).await
    {
        return choice;
    }
    let choice = choose_here(gateway, &PlacementRequest { uses_limited: leader.is_none(), ..*request });
    if let (Choice::Full, Some(target), None) = (&choice, leader, request.prompt) {
        return ask_leader(gateway, request, target).await.unwrap_or(choice);
    }
    choice
}

async fn ask_leader<D: Dialect>(
    gateway: &Gateway<D>,
    request: &PlacementRequest<'_>,
    target: SocketAddr,
) -> Option<Choice> {
    let grant = gateway.placer.query(target, build_query(gateway, request), gateway.now()).await?;
    granted_choice(gateway, request, &grant)
}

fn choose_here<D: Dialect>(gateway: &Gateway<D>, request: &PlacementRequest<'_>) -> Choice {
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    if let Some(prompt) = request.prompt {
        fleet.adopt_listed_caches(prompt, now);
    }
    let choice = fleet.choose(request, now);
    if let Choice::Placed(placement) = &choice {
        fleet.note_chosen(placement.key, now);
        fleet.take_allowance(placement.key, now);
    }
    drop(fleet);
    count_demand(gateway, request, &choice);
    choice
}

/// Counts a prompt for the daemon that orders runners, whether it was placed or not.
fn count_demand<D: Dialect>(gateway: &Gateway<D>, request: &PlacementRequest<'_>, choice: &Choice) {
    let is_counted = !request.is_placed && gateway.settings.duties.api_for(Duty::Autoscale).is_some();
    let Some(prompt) = request.prompt.filter(|_| is_counted) else {
        return;
    };
    let (prompt_tokens, is_refused) = match choice {
        Choice::Placed(placement) => (placement.prefill_tokens, false),
        Choice::Full | Choice::NoRunner => (prompt.input_tokens, true),
    };
    gateway.demand().count(request.service, prompt_tokens, prompt.output_tokens, request.priority, is_refused);
}

impl<D: Dialect> Gateway<D> {
    /// Whether this daemon is the placement leader, as far as it knows.
    pub(crate) fn is_placement_leader(&self) -> bool {
        let now = self.now();
        let roster = self.roster();
        roster.placement_leader(now).name == roster.me.name
    }
}

/// The address of the placement leader, or `None` if this daemon is the leader.
fn leader_address<D: Dialect>(gateway: &Gateway<D>) -> Option<SocketAddr> {
    let now = gateway.now();
    let roster = gateway.roster();
    let member = roster.placement_leader(now);
    if member.name == roster.me.name {
        return None;
    }
    Some(SocketAddr::new(member.ip.parse().ok()?, gateway.settings.heartbeat_port))
}

fn build_query<D: Dialect>(gateway: &Gateway<D>, request: &PlacementRequest<'_>) -> PlaceQuery {
    let prompt = request.prompt;
    let now = gateway.now();
    let held = gateway.fleet().held(request.service, now);
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts).iter().take(MAX_QUERY_PARTS);
    PlaceQuery {
        daemon: gateway.settings.daemon.to_string(),
        number: 0,
        service: request.service.to_string(),
        model: prompt.map_or_else(String::new, |prompt| prompt.model.clone()),
        parts: parts.clone().map(|part| part.id).collect(),
        tokens: parts.map(|part| part.tokens).collect(),
        input_tokens: prompt.map_or(0, |prompt| prompt.input_tokens),
        output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
        is_plain: prompt.is_none(),
        is_placed: request.is_placed,
        pause_ms: request.longest_pause.map_or(0, |pause| pause.0),
        priority: request.priority.0.into(),
        target_ms: request.target.0,
        tried: request.tried.iter().chain(&held).map(RunnerName::to_string).collect(),
    }
}

/// The choice that a grant stands for, or `None` if this daemon does not know the runner as ready and untried.
fn granted_choice<D: Dialect>(
    gateway: &Gateway<D>,
    request: &PlacementRequest<'_>,
    grant: &PlaceGrant,
) -> Option<Choice> {
    if grant.is_full {
        return Some(Choice::Full);
    }
    let name: RunnerName = grant.runner.parse().ok()?;
    let (key, record, load) = gateway.fleet().find(&name)?;
    let now = gateway.now();
    let is_open = record.is_ready && !gateway.fleet().is_held(key, now);
    let fits = is_open && record.service == *request.service && !request.tried.contains(&name);
    let fetch_from = grant.source.parse().ok();
    fits.then_some(Choice::Placed(Placement {
        key,
        record,
        fetch_from,
        prefill_tokens: grant.reading,
        load,
        pressure: Millis(grant.pressure_ms),
        age: None,
        is_granted: true,
    }))
}

/// Replies to another daemon's placement query, as the placement leader.
pub async fn answer_query<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &Async<UdpSocket>,
    query: PlaceQuery,
    from: SocketAddr,
) {
    let grant = grant_query(gateway, &query);
    let number = query.number;
    let grant = grant.unwrap_or_else(|| PlaceGrant { number, ..PlaceGrant::default() });
    send(socket, &Content::Grant(grant).into_bytes(), from).await;
}

fn grant_query<D: Dialect>(gateway: &Gateway<D>, query: &PlaceQuery) -> Option<PlaceGrant> {
    let service: ModelName = query.service.parse().ok()?;
    let tried: Vec<RunnerName> = query.tried.iter().filter_map(|name| name.parse().ok()).collect();
    let parts = query.parts.iter().zip(&query.tokens);
    let prompt = Prompt {
        model: query.model.clone(),
        input_tokens: query.input_tokens,
        output_tokens: query.output_tokens,
        parts: parts.map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect(),
    };
    let longest_pause = (query.pause_ms > 0).then_some(Millis(query.pause_ms));
    let priority = Priority(u8::try_from(query.priority).unwrap_or(Priority::LEAST.0));
    let target = Millis(query.target_ms);
    let prompt = (!query.is_plain).then_some(&prompt);
    let request = PlacementRequest {
        service: &service,
        prompt,
        longest_pause,
        priority,
        target,
        tried: &tried,
        uses_limited: true,
        is_placed: query.is_placed,
    };
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    if let Some(prompt) = prompt {
        fleet.adopt_listed_caches(prompt, now);
    }
    let choice = fleet.choose(&request, now);
    count_demand(gateway, &request, &choice);
    let placement = match choice {
        Choice::Placed(placement) => placement,
        Choice::Full => {
            return Some(PlaceGrant { number: query.number, is_full: true, ..PlaceGrant::default() });
        }
        Choice::NoRunner => return None,
    };
    fleet.note_chosen(placement.key, now);
    fleet.granted(&query.daemon, query.number, placement.key, placement.prefill_tokens, now);
    if let Some(prompt) = prompt {
        fleet.note_cached(placement.key, prompt, now);
    }
    Some(PlaceGrant {
        number: query.number,
        runner: placement.record.name.to_string(),
        source: placement.fetch_from.map(|source| source.to_string()).unwrap_or_default(),
        reading: placement.prefill_tokens,
        pressure_ms: placement.pressure.0,
        is_full: false,
    })
}

/// Reports this daemon's load counts to the placement leader whenever they changed; never returns.
pub async fn report_loads<D: Dialect>(gateway: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    loop {
        Timer::after(REPORT_INTERVAL.into()).await;
        if !gateway.fleet().take_changed() {
            continue;
        }
        let Some(target) = leader_address(&gateway) else {
            continue;
        };
        let now = gateway.now();
        let loads = gateway.fleet().own_loads(now);
        let number = gateway.placer.number.load(Ordering::Relaxed);
        let report = LoadReport { daemon: gateway.settings.daemon.to_string(), number, loads };
        send(&socket, &Content::Report(report).into_bytes(), target).await;
    }
}
