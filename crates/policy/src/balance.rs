//! Chooses runners so that load stays even although each daemon knows it only as of some time ago.
//!
//! If every daemon takes the runner that had the least load, all of them take the same one until the next report. A
//! daemon therefore estimates what is left of the reported load, and fills all runners up to one common level: each gets
//! requests in proportion to its room below that level.

use teaselcroft_parts::Millis;

use crate::{BalanceRule, LoadView};

/// The most that a runner can be owed, in requests; what it was owed while it had no room does not come as a burst.
const MAX_CREDIT: f64 = 1.0;

/// Chooses runners for one daemon.
#[derive(Debug, Clone)]
pub struct Balancer {
    rule: BalanceRule,
    /// The mean time that a request occupies a runner.
    hold: Millis,
    /// The rooms that the last choice computed, kept for their memory.
    rooms: Vec<f64>,
}

impl Balancer {
    /// A balancer for requests that occupy a runner for `hold` on average.
    pub fn new(rule: BalanceRule, hold: Millis) -> Balancer {
        Balancer { rule, hold, rooms: Vec::new() }
    }

    /// Chooses one of `views`, whose reports are `age` old, and updates their credits; `None` if there are none.
    pub fn choose(&mut self, views: &mut [LoadView], age: Millis, random: &mut fastrand::Rng) -> Option<usize> {
        if views.is_empty() {
            return None;
        }
        Some(match self.rule {
            BalanceRule::LeastKnown => least(views, |view| LoadView { unreported: 0.0, ..*view }.occupancy(), random),
            BalanceRule::OwnSends => least(views, LoadView::occupancy, random),
            BalanceRule::TwoChoices => {
                let (first, second) = (random.usize(..views.len()), random.usize(..views.len()));
                less_loaded(views, first, second)
            }
            BalanceRule::WeightedChoices => {
                self.fill(views, age);
                let (first, second) = (draw(&self.rooms, random), draw(&self.rooms, random));
                less_loaded(views, first, second)
            }
            BalanceRule::DaemonOrder => {
                self.rooms.clear();
                self.rooms.extend(views.iter().map(|view| view.capacity));
                take_turn(views, &self.rooms, random)
            }
            BalanceRule::Shares => {
                self.fill(views, age);
                take_turn(views, &self.rooms, random)
            }
            BalanceRule::Level => {
                self.fill(views, age);
                draw(&self.rooms, random)
            }
        })
    }

    /// Computes each runner's room under the level to which the requests that no report contains yet fill all of them.
    fn fill(&mut self, views: &[LoadView], age: Millis) {
        let kept = (-(age.0 as f64) / self.hold.0.max(1) as f64).exp();
        let reported: f64 = views.iter().map(|view| view.reported).sum();
        // In a steady state as many requests came since the report as ended.
        let unseen = (reported * (1.0 - kept)).max(1.0);
        let filled = |view: &LoadView| view.reported * kept + view.unreported + view.penalty;
        let mut level = f64::INFINITY;
        loop {
            let below = views.iter().filter(|view| filled(view) < level * view.capacity);
            let (load, capacity) =
                below.fold((unseen, 0.0), |(load, capacity), view| (load + filled(view), capacity + view.capacity));
            let next = load / capacity;
            // Runners above the level get nothing and drop out, which lowers it for the others.
            if next.is_nan() || next >= level {
                break;
            }
            level = next;
        }
        self.rooms.clear();
        self.rooms.extend(views.iter().map(|view| (level * view.capacity - filled(view)).max(0.0)));
    }
}

/// Takes the runner with room that is owed most of its share.
fn take_turn(views: &mut [LoadView], rooms: &[f64], random: &mut fastrand::Rng) -> usize {
    let total = rooms.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    for (view, room) in views.iter_mut().zip(rooms) {
        view.credit = (view.credit + room / total).min(MAX_CREDIT);
    }
    let mut indexes = 0..;
    let owed = |view: &LoadView| {
        if indexes.next().is_some_and(|index: usize| rooms[index] > 0.0) { -view.credit } else { f64::MAX }
    };
    let chosen = least(views, owed, random);
    views[chosen].credit -= 1.0;
    chosen
}

/// The index with the least cost; equal ones are chosen among at random.
fn least<T>(items: &[T], mut cost: impl FnMut(&T) -> f64, random: &mut fastrand::Rng) -> usize {
    let mut best = (f64::INFINITY, 0, 0);
    for (index, item) in items.iter().enumerate() {
        let cost = cost(item);
        if cost < best.0 {
            best = (cost, index, 1);
        } else if cost == best.0 {
            best.2 += 1;
            if random.u32(..best.2) == 0 {
                best.1 = index;
            }
        }
    }
    best.1
}

fn less_loaded(views: &[LoadView], first: usize, second: usize) -> usize {
    if views[second].occupancy() < views[first].occupancy() { second } else { first }
}

/// A random index, weighted by `weights`.
fn draw(weights: &[f64], random: &mut fastrand::Rng) -> usize {
    let mut left = random.f64() * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    chosen.unwrap_or_else(|| random.usize(..weights.len()))
}
