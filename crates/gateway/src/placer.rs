//! Asks one daemon to place requests of all, so that it has exact counts; without an answer a daemon places
//! by itself, by the counts in heartbeats.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::dialect::Dialect;
use crate::fleet::{Ask, Choice, Placement};
use crate::gateway::Gateway;
use crate::heartbeat::{Content, LoadReport, PlaceAsk, PlaceGrant, send};
use crate::{Event, Priority, Prompt, PromptPart, record};

/// How long an answer is waited for: some times the way there and back within a region.
const ANSWER_TIME: Millis = Millis(40);

/// Questions without an answer in a row, after which none is asked for `REST_TIME`.
const MOST_UNANSWERED: u32 = 3;

/// How long a daemon places by itself after questions went unanswered.
const REST_TIME: Millis = Millis(1_000);

/// The time between reports of changed counts to the placing daemon.
const REPORT_TIME: Millis = Millis(40);

/// Parts of a prompt that are told; further ones are rarely shared.
const MOST_PARTS: usize = 32;

#[derive(Debug, Default)]
struct Pending {
    answers: HashMap<u64, Sender<PlaceGrant>>,
    unanswered: u32,
    rest_until: Millis,
}

/// Questions to the placing daemon.
#[derive(Debug, Default)]
pub struct Placer {
    socket: OnceLock<Arc<Async<UdpSocket>>>,
    pending: Mutex<Pending>,
    number: AtomicU64,
}

impl Placer {
    /// Sends questions through `socket`.
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

    /// Hands an answer to the request that waits for it.
    pub fn answered(&self, grant: PlaceGrant) {
        let mut pending = self.pending();
        pending.unanswered = 0;
        if let Some(answer) = pending.answers.remove(&grant.number) {
            // The request may have stopped waiting.
            let _taken = answer.try_send(grant);
        }
    }

    async fn ask(&self, target: SocketAddr, mut ask: PlaceAsk, now: Millis) -> Option<PlaceGrant> {
        let socket = self.socket.get()?;
        let (sender, receiver) = async_channel::bounded(1);
        ask.number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let number = ask.number;
        {
            let mut pending = self.pending();
            if pending.rest_until > now {
                return None;
            }
            pending.answers.insert(number, sender);
        }
        send(socket, &Content::Ask(ask).into_bytes(), target).await;
        let answer = or(async { receiver.recv().await.ok() }, async {
            Timer::after(ANSWER_TIME.into()).await;
            None
        })
        .await;
        if answer.is_none() {
            self.missed(number, target, now);
        }
        answer
    }

    fn missed(&self, number: u64, target: SocketAddr, now: Millis) {
        let mut pending = self.pending();
        pending.answers.remove(&number);
        pending.unanswered += 1;
        if pending.unanswered >= MOST_UNANSWERED {
            pending.unanswered = 0;
            pending.rest_until = now + REST_TIME;
            record!(Event::PlacingAlone, asked = target, span = REST_TIME);
        }
    }
}

/// The runner for a request: chosen by the placing daemon, or here if that is this one or does not answer.
pub async fn place<D: Dialect>(gate: &Gateway<D>, ask: &Ask<'_>) -> Choice {
    if let Some(prompt) = ask.prompt
        && let Some(target) = placing_address(gate)
    {
        let granted = gate.placer.ask(target, question(gate, ask, prompt), gate.now()).await;
        if let Some(choice) = granted.and_then(|grant| granted_choice(gate, ask, &grant)) {
            return choice;
        }
    }
    let now = gate.now();
    gate.fleet().choose(ask, now)
}

/// Where the placing daemon is asked, unless it is this one.
fn placing_address<D: Dialect>(gate: &Gateway<D>) -> Option<SocketAddr> {
    let now = gate.now();
    let roster = gate.roster();
    let member = roster.placing_daemon(now);
    if member.name == roster.me.name {
        return None;
    }
    Some(SocketAddr::new(member.ip.parse().ok()?, gate.settings.heartbeat_port))
}

fn question<D: Dialect>(gate: &Gateway<D>, ask: &Ask<'_>, prompt: &Prompt) -> PlaceAsk {
    let parts = prompt.parts.iter().take(MOST_PARTS);
    PlaceAsk {
        daemon: gate.settings.daemon.to_string(),
        number: 0,
        service: ask.service.to_string(),
        model: prompt.model.clone(),
        parts: parts.clone().map(|part| part.id).collect(),
        tokens: parts.map(|part| part.tokens).collect(),
        input_tokens: prompt.input_tokens,
        output_tokens: prompt.output_tokens,
        pause_ms: ask.longest_pause.map_or(0, |pause| pause.0),
        priority: ask.priority.0.into(),
        target_ms: ask.target.0,
        tried: ask.tried.iter().map(RunnerName::to_string).collect(),
    }
}

/// What was granted, unless this daemon knows better.
fn granted_choice<D: Dialect>(gate: &Gateway<D>, ask: &Ask<'_>, grant: &PlaceGrant) -> Option<Choice> {
    if grant.is_full {
        return Some(Choice::Full);
    }
    let name: RunnerName = grant.runner.parse().ok()?;
    let (key, record, load) = gate.fleet().find(&name)?;
    let fits = record.is_ready && record.service == *ask.service && !ask.tried.contains(&name);
    let fetch_from = grant.source.parse().ok();
    fits.then_some(Choice::Placed(Placement {
        key,
        record,
        fetch_from,
        reading: grant.reading,
        load,
        pressure: Millis(grant.pressure_ms),
        is_granted: true,
    }))
}

/// Answers a question as the placing daemon.
pub async fn answer<D: Dialect>(gate: &Gateway<D>, socket: &Async<UdpSocket>, ask: PlaceAsk, from: SocketAddr) {
    let grant = decide(gate, &ask);
    let number = ask.number;
    let grant = grant.unwrap_or_else(|| PlaceGrant { number, ..PlaceGrant::default() });
    send(socket, &Content::Grant(grant).into_bytes(), from).await;
}

fn decide<D: Dialect>(gate: &Gateway<D>, question: &PlaceAsk) -> Option<PlaceGrant> {
    let service: ModelName = question.service.parse().ok()?;
    let tried: Vec<RunnerName> = question.tried.iter().filter_map(|name| name.parse().ok()).collect();
    let parts = question.parts.iter().zip(&question.tokens);
    let prompt = Prompt {
        model: question.model.clone(),
        input_tokens: question.input_tokens,
        output_tokens: question.output_tokens,
        parts: parts.map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect(),
    };
    let longest_pause = (question.pause_ms > 0).then_some(Millis(question.pause_ms));
    let priority = Priority(u8::try_from(question.priority).unwrap_or(Priority::LEAST.0));
    let target = Millis(question.target_ms);
    let ask = Ask { service: &service, prompt: Some(&prompt), longest_pause, priority, target, tried: &tried };
    let now = gate.now();
    let mut fleet = gate.fleet();
    let placement = match fleet.choose(&ask, now) {
        Choice::Placed(placement) => placement,
        Choice::Full => return Some(PlaceGrant { number: question.number, is_full: true, ..PlaceGrant::default() }),
        Choice::Nobody => return None,
    };
    fleet.granted(&question.daemon, question.number, placement.key, placement.reading, now);
    fleet.cached(placement.key, &prompt, now);
    Some(PlaceGrant {
        number: question.number,
        runner: placement.record.name.to_string(),
        source: placement.fetch_from.map(|source| source.to_string()).unwrap_or_default(),
        reading: placement.reading,
        pressure_ms: placement.pressure.0,
        is_full: false,
    })
}

/// Reports this daemon's counts to the placing daemon whenever they changed, for good.
pub async fn report_loads<D: Dialect>(gate: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    loop {
        Timer::after(REPORT_TIME.into()).await;
        if !gate.fleet().take_changed() {
            continue;
        }
        let Some(target) = placing_address(&gate) else {
            continue;
        };
        let now = gate.now();
        let loads = gate.fleet().own_loads(now);
        let number = gate.placer.number.load(Ordering::Relaxed);
        let report = LoadReport { daemon: gate.settings.daemon.to_string(), number, loads };
        send(&socket, &Content::Report(report).into_bytes(), target).await;
    }
}
