//! Whether a runner crashed after a request, by its later entries, on a virtual clock.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use teaselcroft_gateway::{PendingCrash, PendingCrashes, PendingId, RunnerRecord, Suspect};
use teaselcroft_parts::Millis;

const FIRST_START: i64 = 1_000;

/// When the answers to requests that are sent at 1 s should begin.
const DUE: Millis = Millis(1_300);

/// No crash is counted yet.
fn none(_: &PendingCrash) -> bool {
    false
}

fn record(number: u32, started_at: i64, is_ready: bool) -> RunnerRecord {
    RunnerRecord {
        name: format!("i-{number}").parse().unwrap(),
        started_at,
        service: "compost".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "fayon".parse().unwrap(),
        slots: 6,
        is_ready,
        is_preemptible: false,
    }
}

/// A request at the first start of a runner.
fn crash(number: u32) -> PendingCrash {
    let suspects: Arc<[Suspect]> = [Suspect::Content(7), Suspect::Part(8)].into();
    let RunnerRecord { name, service, .. } = record(number, FIRST_START, true);
    PendingCrash { runner: name, started_at: FIRST_START, service, suspects }
}

/// A runner's stream ended at 1 s.
fn ended() -> PendingCrashes {
    let mut pending = PendingCrashes::default();
    pending.add_ended(crash(1), Millis(1_000));
    pending
}

#[test]
fn a_later_start_soon_after_a_stream_shows_a_crash_once() {
    let mut pending = ended();

    let of_other = pending.note_entry(&record(2, 5_000, true), Millis(3_000));
    let of_same = pending.note_entry(&record(1, FIRST_START, true), Millis(3_000));
    let later = pending.note_entry(&record(1, 5_000, true), Millis(5_000));
    let again = pending.note_entry(&record(1, 6_000, true), Millis(5_100));

    assert_eq!((of_other, of_same, later, again), (vec![], vec![], vec![crash(1)], vec![]));
}

#[test]
fn a_later_start_long_after_a_stream_shows_nothing() {
    let mut pending = ended();

    assert_eq!(pending.note_entry(&record(1, 5_000, true), Millis(9_000)), []);
}

#[test]
fn a_runner_that_answered_a_later_request_had_not_crashed() {
    let (mut before, mut after) = (ended(), ended());

    before.note_answer(&record(1, FIRST_START, true), Millis(900));
    after.note_answer(&record(1, FIRST_START, true), Millis(1_100));

    let restart = record(1, 5_000, true);
    assert_eq!(before.note_entry(&restart, Millis(3_000)), [crash(1)], "sent before the stream ended");
    assert_eq!(after.note_entry(&restart, Millis(3_000)), []);
}

#[test]
fn a_planned_restart_shows_nothing() {
    let mut pending = ended();

    let leaving = pending.note_entry(&record(1, FIRST_START, false), Millis(2_000));
    let restarted = pending.note_entry(&record(1, 5_000, true), Millis(3_000));

    assert_eq!((leaving, restarted), (vec![], vec![]));
}

/// Requests that were sent to runners at 1 s and are due 500 ms later.
fn sent_to(runners: u32) -> (PendingCrashes, Vec<PendingId>) {
    let mut pending = PendingCrashes::default();
    let ids = (1..=runners).map(|number| pending.begin(crash(number), DUE, Millis(1_500), Millis(1_000))).collect();
    (pending, ids)
}

/// The removals of the entries of so many runners, 100 ms apart, of which each had a request.
fn remove_entries(runners: u32) -> (PendingCrashes, Millis) {
    let (mut pending, _) = sent_to(runners);
    for number in 1..=runners {
        pending.note_removal(&crash(number).runner, Some(FIRST_START), Millis(2_000 + 100 * u64::from(number)));
        pending.note_gone(&crash(number).runner);
    }
    (pending, Millis(10_000))
}

#[test]
fn a_later_start_shows_that_a_request_without_an_answer_crashed_the_runner() {
    let restart = record(1, 5_000, true);
    let (mut waiting, _) = sent_to(1);
    let (mut given_up, ids) = sent_to(1);
    given_up.give_up(ids[0], Millis(1_500));
    let (mut answered, ids) = sent_to(1);
    answered.finish(ids[0]);
    let (mut late, _) = sent_to(1);

    assert_eq!(waiting.note_entry(&restart, Millis(3_000)), [crash(1)]);
    assert_eq!(given_up.note_entry(&restart, Millis(3_000)), [crash(1)]);
    assert_eq!(answered.note_entry(&restart, Millis(3_000)), []);
    assert_eq!(late.note_entry(&restart, Millis(7_500)), [], "long after the answer was due");
}

#[test]
fn a_request_in_a_runners_queue_may_crash_it_after_it_answered_others() {
    let (mut waiting, _) = sent_to(1);
    let (mut given_up, ids) = sent_to(1);
    given_up.give_up(ids[0], Millis(1_500));

    for pending in [&mut waiting, &mut given_up] {
        pending.note_answer(&record(1, FIRST_START, true), Millis(2_000));
    }

    let restart = record(1, 5_000, true);
    assert_eq!(waiting.note_entry(&restart, Millis(3_000)), [crash(1)]);
    assert_eq!(given_up.note_entry(&restart, Millis(3_000)), [], "the connection had closed, and the runner lived on");
}

#[test]
fn the_removal_of_an_entry_shows_a_crash_once_it_lasts() {
    let (mut pending, _) = remove_entries(1);

    let early = pending.take_removed(none, Millis(4_000));
    let later = pending.take_removed(none, Millis(5_000));
    let again = pending.take_removed(none, Millis(6_000));

    assert_eq!((early, later, again), (vec![], vec![crash(1)], vec![]));
}

/// A partition between the runners and the store ends their leases, and requests that only reached these runners would be
/// blocked everywhere.
#[test]
fn entries_that_vanish_together_show_nothing() {
    let counts = [1, 2, 3, 10].map(|runners| {
        let (mut pending, now) = remove_entries(runners);
        pending.take_removed(none, now).len()
    });

    assert_eq!(counts, [1, 2, 0, 0]);
}

#[test]
fn an_entry_of_the_same_start_that_returns_shows_that_the_runner_lived_on() {
    let (mut pending, now) = remove_entries(1);

    let on_return = pending.note_entry(&record(1, FIRST_START, true), Millis(3_000));

    assert_eq!((on_return, pending.take_removed(none, now)), (vec![], vec![]));
}

#[test]
fn the_removal_of_an_entry_says_nothing_of_an_answer_that_ended() {
    let mut pending = ended();

    pending.note_removal(&crash(1).runner, Some(FIRST_START), Millis(2_000));
    pending.note_gone(&crash(1).runner);

    assert_eq!(pending.take_removed(none, Millis(6_000)), []);
}

/// Many callers send such a request alike, so that runners that lose power together all have it.
#[test]
fn a_request_without_a_body_that_is_answered_elsewhere_is_common() {
    let mut pending = PendingCrashes::default();

    pending.note_common(Suspect::Content(7), Millis(1_000));

    let is_common = |content, at| pending.is_common(Suspect::Content(content), Millis(at));
    assert_eq!([is_common(7, 9_000), is_common(7, 12_000), is_common(8, 9_000)], [true, false, false]);
}

/// Requests to four runners that are due at 1.3 s; those with numbers in `heard` are heard at 2 s.
fn silent_runners(heard: &[u32]) -> PendingCrashes {
    let (mut pending, _) = sent_to(4);
    (1..=6).for_each(|number| pending.note_alive(&record(number, FIRST_START, true), Millis(900)));
    heard.iter().for_each(|number| pending.note_alive(&record(*number, FIRST_START, true), Millis(2_000)));
    pending
}

#[test]
fn a_runner_that_fell_silent_by_itself_is_counted_soon() {
    let mut pending = silent_runners(&[2, 3, 4, 5, 6]);
    pending.note_removal(&crash(1).runner, Some(FIRST_START), Millis(4_000));
    pending.note_gone(&crash(1).runner);

    let early = pending.take_removed(none, Millis(4_400));
    let later = pending.take_removed(none, Millis(4_500));

    assert_eq!((early, later), (vec![], vec![crash(1)]));
}

/// The others may be cut off too; their entries vanish up to a heartbeat later.
#[test]
fn a_runner_whose_peers_are_silent_too_is_not_counted_before_their_entries_vanish() {
    let mut of_three = silent_runners(&[4, 5, 6]);
    let mut of_all = silent_runners(&[]);

    for pending in [&mut of_three, &mut of_all] {
        pending.note_removal(&crash(1).runner, Some(FIRST_START), Millis(4_000));
        pending.note_gone(&crash(1).runner);
        assert_eq!(pending.take_removed(none, Millis(5_000)), []);
        pending.note_removal(&crash(2).runner, Some(FIRST_START), Millis(5_000));
        pending.note_gone(&crash(2).runner);
        pending.note_removal(&crash(3).runner, Some(FIRST_START), Millis(5_100));
        pending.note_gone(&crash(3).runner);
        assert_eq!(pending.take_removed(none, Millis(9_000)), [], "three fell silent together");
    }
}

#[test]
fn a_runner_whose_peers_crashed_by_the_same_request_is_counted() {
    let is_known = |crash: &PendingCrash| crash.runner != record(1, FIRST_START, true).name;
    let mut pending = silent_runners(&[5, 6]);
    pending.note_alive(&record(7, FIRST_START, true), Millis(2_000));
    pending.note_alive(&record(8, FIRST_START, true), Millis(2_000));
    pending.note_removal(&crash(1).runner, Some(FIRST_START), Millis(4_000));
    pending.note_gone(&crash(1).runner);

    let unexplained = pending.take_removed(none, Millis(4_600));
    let explained = pending.take_removed(is_known, Millis(4_700));

    assert_eq!((unexplained, explained), (vec![], vec![crash(1)]));
}

/// Entries that lapsed while the store was away return within two seconds of its return.
#[test]
fn the_removal_of_an_entry_that_may_return_shows_nothing() {
    let (mut pending, _) = sent_to(1);

    pending.note_removal(&crash(1).runner, Some(FIRST_START), Millis(2_000));
    let kept = pending.take_removed(none, Millis(5_000));
    pending.note_gone(&crash(1).runner);

    assert_eq!((kept, pending.take_removed(none, Millis(5_100))), (vec![], vec![crash(1)]));
}
