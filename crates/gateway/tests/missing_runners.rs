//! When runners whose entries vanished are given up, on a virtual clock.

#![allow(clippy::unwrap_used)]

use quickcheck::quickcheck;
use teaselcroft_gateway::MissingRunners;
use teaselcroft_gateway::store::Revision;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

const HOLD: Millis = Millis(1_300);

fn service() -> ModelName {
    "engines".parse().unwrap()
}

fn runner(number: usize) -> RunnerName {
    format!("i-{number}").parse().unwrap()
}

/// The state after the entries of `count` runners vanished at `now`.
fn vanished(count: usize, now: Millis) -> MissingRunners {
    let mut missing = MissingRunners::new(HOLD);
    (0..count).for_each(|number| missing.note(runner(number), service(), Revision(9), now));
    missing
}

fn gone_at(missing: &mut MissingRunners, known: usize, now: Millis) -> usize {
    missing.take_gone(false, |_| known, now).len()
}

#[test]
fn a_few_vanished_runners_are_given_up_after_the_batch_window() {
    let mut missing = vanished(4, Millis(10_000));

    assert_eq!(gone_at(&mut missing, 18, Millis(10_000)), 0, "others may vanish in the same batch");
    assert_eq!(gone_at(&mut missing, 18, Millis(10_300)), 4);
}

#[test]
fn a_service_that_mostly_vanished_is_held_until_its_runners_can_register_again() {
    let mut missing = vanished(9, Millis(10_000));
    (9..18).for_each(|number| missing.note(runner(number), service(), Revision(10), Millis(10_200)));

    assert_eq!(gone_at(&mut missing, 18, Millis(11_200)), 0);
    (0..15).for_each(|number| missing.present(&runner(number)));
    assert_eq!(
        gone_at(&mut missing, 18, Millis(11_400)),
        0,
        "runners that are still missing are held as long as the others"
    );
    let gone = missing.take_gone(false, |_| 18, Millis(11_500));

    assert_eq!(gone.len(), 3);
    assert!(gone.iter().all(|(_, revision)| *revision == Revision(10)));
}

#[test]
fn after_a_store_outage_every_missing_runner_is_held_until_it_can_register_again() {
    let mut missing = vanished(1, Millis(10_000));

    assert!(missing.take_gone(true, |_| 18, Millis(12_100)).is_empty());
    assert_eq!(missing.take_gone(true, |_| 18, Millis(12_200)).len(), 1);
}

quickcheck! {
    fn a_runner_that_stays_missing_is_given_up_once_and_one_that_returns_never(
        vanishing: Vec<(u8, u16)>, returning: Vec<u8>, known: u8
    ) -> bool {
        let mut missing = MissingRunners::new(HOLD);
        let known = usize::from(known).max(1);
        for (number, after) in &vanishing {
            missing.note(runner(usize::from(*number)), service(), Revision(1), Millis(u64::from(*after)));
        }
        returning.iter().for_each(|number| missing.present(&runner(usize::from(*number))));

        let end = Millis(u64::from(u16::MAX) + HOLD.0);
        let gone = missing.take_gone(false, |_| known, end);
        let later = missing.take_gone(false, |_| known, end + HOLD);

        let stays = |number: &u8| !returning.contains(number);
        vanishing.iter().all(|(number, _)| {
            gone.iter().any(|(name, _)| *name == runner(usize::from(*number))) == stays(number)
        }) && later.is_empty()
    }
}
