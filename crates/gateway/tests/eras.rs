//! Revisions of a store that came back from an older copy: their numbers go back and are given out again.

#![allow(clippy::unwrap_used)]

use teaselcroft_gateway::fleet::Fleet;
use teaselcroft_gateway::runner_news::{RunnerChange, RunnerNews};
use teaselcroft_gateway::store::{Era, Revision};
use teaselcroft_gateway::{ConfigCheck, NewsOutcome, RunnerIndex, RunnerRecord, split_news};
use teaselcroft_parts::Millis;

const fn at(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

/// The news of a reader whose revisions went from `after` to `revision` without a change.
fn news(after: Revision, revision: Revision) -> RunnerNews {
    split_news(after, &[], revision, false).remove(0)
}

fn index_at(revision: Revision) -> RunnerIndex {
    let mut index = RunnerIndex::default();
    index.replace(&[], &[], revision);
    index
}

#[test]
fn a_revision_of_a_later_era_is_higher_whatever_its_number() {
    let (lost, given_again) = (at(1, 50), at(2, 44));

    assert!(lost < given_again);
    assert_eq!((given_again.era(), given_again.number()), (Era(2), 44));
    assert_eq!((lost.to_string(), at(0, 7).to_string()), ("1/50".to_owned(), "7".to_owned()));
}

#[test]
fn changes_of_two_eras_do_not_add_up_to_evidence_for_a_configuration() {
    let mut check = ConfigCheck::default();
    check.note_watched(at(1, 50), Millis(0));

    check.note_other([at(2, 51), at(2, 52)], at(2, 52), Millis(500));

    assert_eq!((check.revision(), check.age_ms(Millis(500))), (Some(at(1, 50)), Some(500)));
}

#[test]
fn a_list_of_a_later_era_with_a_lower_number_is_where_checks_go_on() {
    let mut check = ConfigCheck::default();
    check.note_watched(at(1, 50), Millis(0));

    check.note_watched(at(2, 44), Millis(500));
    check.note_other([at(2, 45)], at(2, 45), Millis(600));

    assert_eq!((check.revision(), check.age_ms(Millis(600))), (Some(at(2, 45)), Some(0)));
    assert!(check.is_watch_behind(at(2, 45)) && !check.is_watch_behind(at(2, 44)));
}

#[test]
fn news_of_a_later_era_is_a_gap_for_a_listener_and_not_old() {
    let mut index = index_at(at(1, 50));

    let outcome = index.take_news(news(at(2, 44), at(2, 45)));

    assert_eq!(outcome, NewsOutcome::Gap);
    assert_eq!(index.take_news(news(at(1, 49), at(1, 51))), NewsOutcome::New(Vec::new()));
}

#[test]
fn news_of_the_lost_history_is_old_after_a_list_of_the_new_one() {
    let mut index = index_at(at(2, 44));

    let outcome = index.take_news(news(at(1, 49), at(1, 51)));

    assert_eq!(outcome, NewsOutcome::Old);
    let changes: Vec<RunnerChange> = index.replace(&[], &[], at(2, 46));
    assert!(changes.is_empty() && index.revision() == Some(at(2, 46)));
}

fn runner(is_ready: bool) -> RunnerRecord {
    RunnerRecord {
        name: "i-1".parse().unwrap(),
        started_at: 1,
        service: "compost".parse().unwrap(),
        address: "10.0.0.1:8000".parse().unwrap(),
        zone: "fayon".parse().unwrap(),
        slots: 6,
        is_ready,
        is_preemptible: false,
    }
}

fn takes_requests(fleet: &Fleet) -> bool {
    fleet.find(&runner(true).name).is_some_and(|(_, record, _)| record.is_ready)
}

#[test]
fn an_entry_that_a_copy_brings_back_does_not_make_a_leaving_runner_ready() {
    let mut fleet = Fleet::new("fayon".parse().unwrap());
    fleet.upsert(runner(true), at(1, 40));
    fleet.upsert(runner(false), at(1, 50));

    fleet.upsert(runner(true), at(2, 40));
    let after_copy = takes_requests(&fleet);
    fleet.upsert(runner(true), at(2, 40));
    let listed_again = takes_requests(&fleet);
    fleet.upsert(runner(true), at(2, 46));

    assert_eq!((after_copy, listed_again), (false, false));
    assert!(takes_requests(&fleet), "written by the runner in the new era");
}

#[test]
fn an_entry_that_a_copy_brings_back_does_not_bring_back_a_runner_that_is_gone() {
    let mut fleet = Fleet::new("fayon".parse().unwrap());
    fleet.upsert(runner(true), at(1, 40));
    fleet.remove_runner(&runner(true).name);

    fleet.upsert(runner(true), at(2, 40));
    let after_copy = takes_requests(&fleet);
    fleet.remove_runner(&runner(true).name);
    fleet.upsert(runner(true), at(2, 46));

    assert!(!after_copy);
    assert!(takes_requests(&fleet), "its entry returned within the era");
}

#[test]
fn a_runner_that_did_not_leave_is_used_as_before_when_a_copy_brings_back_its_entry() {
    let mut fleet = Fleet::new("fayon".parse().unwrap());
    fleet.upsert(runner(true), at(1, 40));

    fleet.upsert(runner(true), at(2, 40));

    assert!(takes_requests(&fleet));
}
