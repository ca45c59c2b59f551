//! Simulation test of at-most-once execution: the executors of one cell under random schedules of
//! message loss and delay, process pauses, crashes and store outages.
//!
//! The invariants: no key runs twice, and a key that was reported as "not run" did not run. Each
//! safeguard is also disabled in a test of its own, to show that the invariants can fail.

#![allow(clippy::expect_used)]

mod cell;

use cell::{Cell, Faults, Guards};

const THREADS: u64 = 4;
const SCHEDULES: u64 = 10_000;
const UNGUARDED_SCHEDULES: u64 = 4_000;

/// Runs the schedules on several threads; returns the violation with the lowest seed, whatever the
/// number of threads.
fn first_violation(schedules: u64, faults: &Faults, guards: &Guards) -> Option<(u64, String)> {
    let run = &|seed| {
        let mut cell = Cell::new(seed, faults.clone(), guards.clone());
        cell.run().err().map(|violation| (seed, violation))
    };
    let worker = &|thread| (thread..schedules).step_by(THREADS as usize).find_map(run);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || worker(thread))).collect();
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
    let mut coverage = cell::Coverage::default();

    for seed in 0..200 {
        let mut cell = Cell::new(seed, Faults::default(), Guards::default());
        assert_eq!(cell.run(), Ok(()));
        coverage.add(&cell.coverage);
    }

    println!("{coverage:?}");
    assert!(coverage.executions > 1_000);
    assert!(coverage.takeovers > 200);
    assert!(coverage.gaps > 10);
    assert!(coverage.consents > 50);
    assert!(coverage.unjournaled_runs > 50);
    assert!(coverage.reported_not_run > 10);
}

#[test]
fn a_store_that_writes_without_comparing_violates_the_invariants() {
    let guards = Guards { compares: false, ..Guards::default() };

    let violation = first_violation(UNGUARDED_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn witnesses_that_deny_every_gap_violate_the_invariants() {
    let guards = Guards { witnesses_report: false, ..Guards::default() };

    let violation = first_violation(UNGUARDED_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn reporting_not_run_without_confirmation_violates_the_invariants() {
    let guards = Guards { confirms_not_run: false, ..Guards::default() };

    let violation = first_violation(UNGUARDED_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn a_gap_window_below_the_callers_patience_violates_the_invariants() {
    let guards = Guards { window: teaselcroft_parts::Millis(0), ..Guards::default() };

    let violation = first_violation(UNGUARDED_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}

#[test]
fn claims_dropped_within_the_callers_patience_violate_the_invariants() {
    let guards = Guards { retention: teaselcroft_parts::Millis(500), ..Guards::default() };

    let violation = first_violation(UNGUARDED_SCHEDULES, &Faults::default(), &guards);

    println!("{violation:?}");
    assert!(violation.is_some());
}
