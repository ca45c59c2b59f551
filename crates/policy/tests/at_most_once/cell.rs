//! A simulated cell of executors under a virtual clock, with a faulty store and network.

mod faults;
mod node;

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{KeyDigest, Member, Millis, SlotId, SlotRecord, slot_of};
use teaselcroft_policy::{ExecutorAction, ReadResult, RecordGapAnswer, WriteResult};

pub use faults::{Coverage, Faults, Guards};
use node::Node;

const STEPS: usize = 500;
const PATIENCE: Millis = Millis(10_000);
const LONGEST_STEP_MS: u64 = 150;

/// A message in transit.
enum Message {
    Read { from: Member, slot: SlotId },
    Write { from: Member, slot: SlotId, record: SlotRecord, expected: u64 },
    ReadReply { to: Member, slot: SlotId, result: ReadResult },
    WriteReply { to: Member, slot: SlotId, result: WriteResult },
    RecordGap { from: Member, to: Member, slot: SlotId, epoch: u64, through: u64, asked: Millis },
    AskGap { from: Member, to: Member, slot: SlotId, epoch: u64, owner: teaselcroft_parts::Incarnation },
    RecordGapReply { to: Member, answer: RecordGapAnswer },
    AskGapReply { from: Member, to: Member, slot: SlotId, gap: Option<bool> },
}

/// A caller's call, retried until its patience runs out.
struct Call {
    key: KeyDigest,
    first_sent: Millis,
}

/// The cell, its store and its network.
pub struct Cell {
    rng: fastrand::Rng,
    faults: Faults,
    guards: Guards,
    now: Millis,
    nodes: Vec<Node>,
    store: BTreeMap<SlotId, (SlotRecord, u64)>,
    version: u64,
    store_down: bool,
    replies_lost: bool,
    cut: BTreeSet<(usize, usize)>,
    network: Vec<(Millis, Message)>,
    calls: Vec<Call>,
    executions: BTreeMap<KeyDigest, u32>,
    /// Counts of the events that the schedule covered.
    pub coverage: Coverage,
}

impl Cell {
    /// Creates a cell whose schedule is determined by `seed`.
    pub fn new(seed: u64, faults: Faults, guards: Guards) -> Cell {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(3..=5);
        let nodes = (0..count).map(|index| Node::start(index, 1, Millis(0), &guards, PATIENCE)).collect();
        Cell {
            rng,
            faults,
            guards,
            now: Millis(0),
            nodes,
            store: BTreeMap::new(),
            version: 0,
            store_down: false,
            replies_lost: false,
            cut: BTreeSet::new(),
            network: Vec::new(),
            calls: Vec::new(),
            executions: BTreeMap::new(),
            coverage: Coverage::default(),
        }
    }

    /// Runs the schedule; the error describes the violated invariant.
    pub fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.now = self.now + Millis(self.rng.u64(1..=LONGEST_STEP_MS));
            self.inject_faults();
            self.exchange_heartbeats();
            self.deliver()?;
            self.tick()?;
            self.send_call()?;
            self.run_granted()?;
        }
        Ok(())
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.rng.u64(..1_000) < per_mille
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.store) {
            self.store_down = !self.store_down;
        }
        if self.chance(self.faults.replies) {
            self.replies_lost = !self.replies_lost;
        }
        let index = self.rng.usize(..self.nodes.len());
        if self.chance(self.faults.kill) {
            let generation = self.nodes[index].generation + 1;
            self.nodes[index] = Node::start(index, generation, self.now, &self.guards, PATIENCE);
            self.nodes[index].down_until = self.now + Millis(self.rng.u64(..8_000));
        }
        if self.chance(self.faults.pause) {
            self.nodes[index].paused_until = self.now + Millis(self.rng.u64(..15_000));
        }
        if self.chance(self.faults.cut) {
            let other = self.rng.usize(..self.nodes.len());
            let pair = (index.min(other), index.max(other));
            if !self.cut.remove(&pair) {
                self.cut.insert(pair);
            }
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let runs = |index: usize| self.nodes[index].runs(self.now);
        runs(from) && runs(to) && !self.cut.contains(&(from.min(to), from.max(to)))
    }

    fn exchange_heartbeats(&mut self) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from == to || !self.can_reach(from, to) || self.chance(300) {
                    continue;
                }
                let (member, owned) = (self.nodes[from].me.clone(), self.nodes[from].executor.owned());
                self.nodes[to].hear(self.now, &member, &owned);
            }
        }
    }

    fn send(&mut self, message: Message) {
        let delay = Millis(self.rng.u64(1..=self.faults.delay_ms));
        self.network.push((self.now + delay, message));
    }

    fn index_of(&self, member: &Member) -> Option<usize> {
        let index = self.nodes.iter().position(|node| node.me == *member)?;
        self.nodes[index].runs(self.now).then_some(index)
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let due = |message: &(Millis, Message)| message.0 <= now;
        let (mut ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network).into_iter().partition(due);
        self.network = later;
        self.rng.shuffle(&mut ready);
        for (_, message) in ready {
            self.receive(message)?;
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Read { from, slot } => self.read(from, slot),
            Message::Write { from, slot, record, expected } => self.write(from, slot, record, expected),
            Message::ReadReply { to, slot, result } => {
                let Some(index) =
                    self.live_or_requeue(&to, |to| Message::ReadReply { to, slot, result: result.clone() })
                else {
                    return Ok(());
                };
                let node = &mut self.nodes[index];
                let actions = node.executor.read_done(self.now, slot, result, &node.members);
                return self.apply(index, actions);
            }
            Message::WriteReply { to, slot, result } => {
                let Some(index) =
                    self.live_or_requeue(&to, |to| Message::WriteReply { to, slot, result: result.clone() })
                else {
                    return Ok(());
                };
                let actions = self.nodes[index].executor.write_done(self.now, slot, result);
                return self.apply(index, actions);
            }
            Message::RecordGap { from, to, slot, epoch, through, asked } => {
                let lost = self.chance(self.faults.loss);
                let answered = self.reachable(&from, &to).filter(|_| !lost);
                let agreed =
                    answered.map(|index| self.nodes[index].executor.record_gap(slot, epoch, through, from.incarnation));
                let answer = RecordGapAnswer { slot, from: to, through, asked, agreed };
                self.send(Message::RecordGapReply { to: from, answer });
            }
            Message::AskGap { from, to, slot, epoch, owner } => {
                let lost = self.chance(self.faults.loss);
                let answered = self.reachable(&from, &to).filter(|_| !lost);
                let gap = answered.map(|index| self.nodes[index].executor.ask_gap(slot, epoch, owner));
                let gap = if self.guards.witnesses_report { gap } else { Some(false) };
                self.send(Message::AskGapReply { from: to, to: from, slot, gap });
            }
            Message::RecordGapReply { to, answer } => {
                let Some(index) =
                    self.live_or_requeue(&to, |to| Message::RecordGapReply { to, answer: answer.clone() })
                else {
                    return Ok(());
                };
                self.coverage.consents += u64::from(answer.agreed == Some(true));
                let before = self.nodes[index].granted.len();
                let actions = self.nodes[index].executor.record_gap_done(self.now, &answer);
                self.apply(index, actions)?;
                self.coverage.unjournaled_runs += (self.nodes[index].granted.len() - before) as u64;
            }
            Message::AskGapReply { from, to, slot, gap } => {
                let Some(index) =
                    self.live_or_requeue(&to, |to| Message::AskGapReply { from: from.clone(), to, slot, gap })
                else {
                    return Ok(());
                };
                let node = &mut self.nodes[index];
                let actions = node.executor.ask_gap_done(self.now, slot, &from, gap, &node.members);
                return self.apply(index, actions);
            }
        }
        Ok(())
    }

    /// The index of the daemon if it runs; a message to a paused one is queued again.
    fn live_or_requeue(&mut self, to: &Member, again: impl FnOnce(Member) -> Message) -> Option<usize> {
        if let Some(index) = self.index_of(to) {
            return Some(index);
        }
        if self.nodes.iter().any(|node| node.me == *to && node.down_until <= self.now) {
            let message = again(to.clone());
            self.network.push((self.now + Millis(200), message));
        }
        None
    }

    /// The index of `to` if it runs and its link to `from` is not cut.
    fn reachable(&self, from: &Member, to: &Member) -> Option<usize> {
        let asker = self.nodes.iter().position(|node| node.me == *from)?;
        let index = self.index_of(to)?;
        let pair = (asker.min(index), asker.max(index));
        (!self.cut.contains(&pair)).then_some(index)
    }

    fn read(&mut self, from: Member, slot: SlotId) {
        let result =
            if self.store_down { ReadResult::Unknown } else { ReadResult::Found(self.store.get(&slot).cloned()) };
        self.send(Message::ReadReply { to: from, slot, result });
    }

    fn write(&mut self, from: Member, slot: SlotId, record: SlotRecord, expected: u64) {
        if self.store_down {
            self.send(Message::WriteReply { to: from, slot, result: WriteResult::Unknown });
            return;
        }
        let stored = self.store.get(&slot).cloned();
        let matches = stored.as_ref().map_or(0, |(_, version)| *version) == expected;
        let result = if matches || !self.guards.compares {
            self.version += 1;
            self.store.insert(slot, (record, self.version));
            WriteResult::Done(self.version)
        } else {
            WriteResult::Conflict(stored)
        };
        let lost = self.replies_lost || self.chance(self.faults.loss);
        let result = if lost { WriteResult::Unknown } else { result };
        self.send(Message::WriteReply { to: from, slot, result });
    }

    fn tick(&mut self) -> Result<(), String> {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].runs(self.now) {
                continue;
            }
            let actions = self.nodes[index].tick(self.now);
            self.apply(index, actions)?;
        }
        Ok(())
    }

    fn apply(&mut self, index: usize, actions: Vec<ExecutorAction>) -> Result<(), String> {
        let from = self.nodes[index].me.clone();
        for action in actions {
            match action {
                ExecutorAction::Read { slot } => self.send(Message::Read { from: from.clone(), slot }),
                ExecutorAction::Write { slot, write } => {
                    let (record, expected) = (write.record, write.expected);
                    self.send(Message::Write { from: from.clone(), slot, record, expected });
                }
                ExecutorAction::RecordGap { slot, epoch, through, to, asked } => {
                    self.send(Message::RecordGap { from: from.clone(), to, slot, epoch, through, asked });
                }
                ExecutorAction::AskGap { slot, epoch, owner, to } => {
                    self.send(Message::AskGap { from: from.clone(), to, slot, epoch, owner });
                }
                ExecutorAction::Run { key, .. } => {
                    let at = self.now + Millis(self.rng.u64(..500));
                    self.nodes[index].granted.push((at, key));
                }
                ExecutorAction::Moved { key, .. } => {
                    self.nodes[index].known.remove(&key);
                }
                ExecutorAction::Owns { gap, .. } => {
                    self.coverage.takeovers += 1;
                    self.coverage.gaps += u64::from(gap);
                }
                ExecutorAction::Released { .. } => {}
            }
        }
        Ok(())
    }

    /// Sends a new call or a retry to a random daemon that runs and has not seen the key.
    fn send_call(&mut self) -> Result<(), String> {
        let again = !self.calls.is_empty() && self.chance(600);
        let key = if again {
            let call = &self.calls[self.rng.usize(..self.calls.len())];
            if self.now.since(call.first_sent) >= PATIENCE {
                return Ok(());
            }
            call.key
        } else {
            let key = KeyDigest(self.rng.u128(..));
            self.calls.push(Call { key, first_sent: self.now });
            key
        };
        let index = self.rng.usize(..self.nodes.len());
        if !self.nodes[index].runs(self.now) || self.nodes[index].known.contains(&key) {
            return Ok(());
        }
        let (answer, actions) = self.nodes[index].claim(self.now, key);
        match answer {
            teaselcroft_parts::ClaimAnswer::Granted => {
                self.coverage.unjournaled_runs += 1;
                let at = self.now + Millis(self.rng.u64(..500));
                self.nodes[index].granted.push((at, key));
            }
            teaselcroft_parts::ClaimAnswer::Pending if self.chance(50) => self.cancel_claim(index, key)?,
            _ => {}
        }
        self.apply(index, actions)
    }

    /// Cancels a pending claim; it is reported as not run if the store's record confirms that this
    /// daemon still owns the slot and the key is not in it.
    fn cancel_claim(&mut self, index: usize, key: KeyDigest) -> Result<(), String> {
        if !self.nodes[index].cancel(key) {
            return Ok(());
        }
        self.nodes[index].known.remove(&key);
        let record = self.store.get(&slot_of(key, node::SLOTS)).map(|(record, _)| record);
        let attested = record.is_some_and(|record| record.proves_not_run(&self.nodes[index].me, key));
        if self.guards.confirms_not_run && (self.store_down || !attested) {
            return Ok(());
        }
        self.coverage.reported_not_run += 1;
        match self.executions.get(&key) {
            None => Ok(()),
            Some(_) => Err(format!("{key} was reported as not run at {}, but had run", self.now)),
        }
    }

    fn run_granted(&mut self) -> Result<(), String> {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].runs(self.now) {
                continue;
            }
            for key in self.nodes[index].take_due_runs(self.now) {
                self.coverage.executions += 1;
                let count = self.executions.entry(key).or_default();
                *count += 1;
                if *count > 1 {
                    return Err(format!("{key} ran again at {} at {}", self.nodes[index].me, self.now));
                }
            }
        }
        Ok(())
    }
}
