//! Random schedules of loss, delay, pause, crash and outage over executors of one cell.
//!
//! The invariants: no key runs twice, and a key whose sender was told "not run" had not run. Each
//! guard is also broken from outside, to show that the invariants can fail.

#![allow(clippy::expect_used)]

mod cell;

use cell::{Cell, Faults, Guards};

const THREADS: u64 = 4;
const SCHEDULES: u64 = 10_000;
const BROKEN_SCHEDULES: u64 = 4_000;

/// The violation with the lowest seed, whatever the number of threads.
fn first_violation(schedules: u64, faults: &Faults, guards: &Guards) -> Option<(u64, String)> {
    let run = &|seed| {
        let mut cell = Cell::new(seed, faults.clone(), guards.clone());
        cell.run().err().map(|violation| (seed, violation))
    };
    let share = &|thread| (thread..schedules).step_by(THREADS as usize).find_map(run);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || share(thread))).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("no schedule panics")).min()
    })
}

#[test]
fn no_key_runs_twice_in_any_schedule() {
    let faults = Faults::default();
    let guards = Guards::default();

    let violation = first_violation(SCHEDULES, &faults, &guards);

    println!("seeds 0 to {}", SCHEDULES - 1);
    assert_eq!(violation, None);
}

#[test]
fn schedules_run_calls_in_outages_and_after_takeovers() {
    let mut seen = cell::Seen::default();

    for seed in 0..200 {
        let mut cell = Cell::new(seed, Faults::default(), Guards::default());
        assert_eq!(cell.run(), Ok(()));
        seen.add(&cell.seen);
    }

    println!("{seen:?}");
    assert!(seen.executions > 1_000);
    assert!(seen.takeovers > 200);
    assert!(seen.gaps > 10);
    assert!(seen.consents > 50);
    assert!(seen.unjournaled_runs > 50);
    assert!(seen.told_not_run > 10);
}

#[test]
fn a_store_that_swaps_without_comparing_breaks_it() {
    let guards = Guards { compares: false, ..Guards::default() };

    let violation = first_violation(BROKEN_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn witnesses_that_deny_every_gap_break_it() {
    let guards = Guards { witnesses_tell: false, ..Guards::default() };

    let violation = first_violation(BROKEN_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn telling_not_run_without_confirmation_breaks_it() {
    let guards = Guards { attests: false, ..Guards::default() };

    let violation = first_violation(BROKEN_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn a_gap_window_shorter_than_callers_patience_breaks_it() {
    let guards = Guards { window: teaselcroft_parts::Millis(0), ..Guards::default() };

    let violation = first_violation(BROKEN_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn claims_forgotten_before_callers_give_up_break_it() {
    let guards = Guards { retention: teaselcroft_parts::Millis(500), ..Guards::default() };

    let violation = first_violation(BROKEN_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}
