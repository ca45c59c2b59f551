//! Tests of each building block on its own.

#![allow(clippy::expect_used)]

use quickcheck::{Gen, QuickCheck};
use teaselcroft_parts::{
    ConfigRegister, ConfigValue, DaemonName, Fingerprint, Gap, GapWitness, Incarnation, KeyDigest, LeaseClock, Member,
    Membership, MembershipSettings, Millis, PeerHealth, RetryBudget, RetryBudgetSettings, SlotId, SlotRecord,
    SlotRecordWire, WitnessAnswer, slot_of, winner,
};

const TESTS: u64 = 10_000;

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, 1)).tests(TESTS).quickcheck(property);
}

fn member(name: &str, incarnation: u64) -> Member {
    Member { name: name.parse().expect("a name"), incarnation: Incarnation(incarnation) }
}

#[test]
fn a_configuration_never_reverts_in_whatever_order_versions_arrive() {
    fn holds(versions: Vec<u8>) -> bool {
        let team: teaselcroft_parts::TeamName = "harvest".parse().expect("a name");
        let mut register = ConfigRegister::default();
        let mut highest = 0;
        versions.into_iter().all(|version| {
            let version = u64::from(version);
            let is_stored = register.offer(team.clone(), ConfigValue { version, value: vec![] });
            let is_newer = version > highest;
            highest = highest.max(version);
            let held = register.get(&team).map_or(0, |held| held.version);
            is_stored == is_newer && held == highest && register.clock() == highest
        })
    }
    check(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_lease_runs_from_when_its_renewal_was_sent() {
    let mut lease = LeaseClock::new(Millis(5_000), Millis(500));

    lease.renewed(Millis(1_000));

    assert!(lease.is_valid(Millis(5_499)));
    assert!(!lease.is_valid(Millis(5_500)));
}

#[test]
fn a_late_reply_to_an_earlier_renewal_does_not_shorten_a_lease() {
    let mut lease = LeaseClock::new(Millis(5_000), Millis(0));

    lease.renewed(Millis(3_000));
    lease.renewed(Millis(1_000));

    assert!(lease.is_valid(Millis(7_999)));
}

#[test]
fn retries_stay_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryBudgetSettings { earned_milli: 200, saved_max: 5 });
    while budget.spend_retry() {}

    let allowed = (0..100).filter(|_| {
        budget.count_attempt();
        budget.spend_retry()
    });

    assert_eq!(allowed.count(), 20);
}

#[test]
fn a_peer_is_dead_after_silence_or_at_once_after_a_refused_connection() {
    let mut members = Membership::new(MembershipSettings::default(), member("entry-1", 1));
    let (second, third) = (member("entry-2", 1), member("entry-3", 1));
    members.record_heartbeat(Millis(0), &second, false);
    members.record_heartbeat(Millis(0), &third, false);

    members.record_refusal(&third.name);

    assert!(members.is_alive(Millis(1_999), &second));
    assert_eq!(members.health(Millis(2_000), &second.name), PeerHealth::Dead);
    assert_eq!(members.health(Millis(1), &third.name), PeerHealth::Dead);
}

#[test]
fn a_reported_death_applies_to_that_incarnation_until_the_next_heartbeat() {
    let mut members = Membership::new(MembershipSettings::default(), member("entry-1", 1));
    let (old, new) = (member("entry-2", 1), member("entry-2", 2));
    members.record_heartbeat(Millis(0), &old, false);

    members.mark_gone(&new);
    let after_other = members.is_alive(Millis(10), &old);
    members.mark_gone(&old);
    let after_own = members.is_alive(Millis(10), &old);
    members.record_heartbeat(Millis(20), &new, false);

    assert!(after_other && !after_own);
    assert!(members.is_alive(Millis(30), &new));
    assert_eq!(members.gone(), []);
}

#[test]
fn an_older_incarnation_does_not_replace_a_newer_one() {
    let mut members = Membership::new(MembershipSettings::default(), member("entry-1", 1));
    let (old, new) = (member("entry-2", 1), member("entry-2", 2));

    members.record_heartbeat(Millis(10), &new, false);
    members.record_heartbeat(Millis(20), &old, false);

    assert!(members.is_alive(Millis(30), &new));
    assert!(!members.is_alive(Millis(30), &old));
}

#[test]
fn a_daemon_that_was_paused_does_not_count_the_pause_as_silence() {
    let mut members = Membership::new(MembershipSettings::default(), member("entry-1", 1));
    let second = member("entry-2", 1);
    members.record_heartbeat(Millis(0), &second, false);

    members.record_suspension(Millis(60_000));

    assert!(members.is_alive(Millis(60_100), &second));
}

#[test]
fn a_witness_that_answered_a_successor_refuses_consent() {
    let mut witness = GapWitness::default();
    let (slot, owner) = (SlotId(3), Incarnation(9));

    let answer = witness.answer_successor(slot, 5, owner);

    assert_eq!(answer, WitnessAnswer::NoGap);
    assert!(!witness.try_consent(slot, 5..=6, owner));
    assert!(witness.try_consent(slot, 6..=6, owner));
}

#[test]
fn a_witness_that_consented_reports_a_gap() {
    let mut witness = GapWitness::default();
    let (slot, owner) = (SlotId(3), Incarnation(9));

    let consented = witness.try_consent(slot, 5..=6, owner);

    assert!(consented);
    assert_eq!(witness.answer_successor(slot, 6, owner), WitnessAnswer::Gap);
    assert!(!witness.try_consent(slot, 6..=6, owner));
}

#[test]
fn removing_a_candidate_moves_only_its_own_subjects() {
    let names: Vec<DaemonName> = (1..=6).map(|number| format!("entry-{number}").parse().expect("a name")).collect();
    let all = || names.iter().map(DaemonName::as_str);
    let remaining = || names.iter().skip(1).map(DaemonName::as_str);

    let moved = (0..200).filter(|slot| {
        let subject = format!("slot/{slot}");
        let before = winner(&subject, all());
        before != Some("entry-1") && before != winner(&subject, remaining())
    });

    assert_eq!(moved.count(), 0);
}

#[test]
fn slot_records_and_digests_round_trip_through_their_wire_forms() {
    fn holds(high: u64, low: u64, epoch: u64, claims: Vec<u64>) -> bool {
        let digest = KeyDigest::from_halves(high, low);
        let record = SlotRecord {
            owner: Some(member("entry-1", epoch)),
            epoch,
            write: low,
            gap: Gap::Witnessed,
            witnesses: vec![member("entry-2", high)],
            claims: claims.into_iter().map(|claim| KeyDigest::from_halves(claim, low)).collect(),
        };
        let text = serde_json::to_string(&SlotRecordWire::from(&record)).expect("a record is JSON");
        let wire: SlotRecordWire = serde_json::from_str(&text).expect("a record is read back");
        let same = SlotRecord::try_from(wire) == Ok(record);
        same && digest.to_string().parse() == Ok(digest) && slot_of(digest, 8).0 < 8
    }
    check(holds as fn(u64, u64, u64, Vec<u64>) -> bool);
}

#[test]
fn parsing_names_and_hashes_never_panics() {
    fn holds(text: String) -> bool {
        let name: Result<DaemonName, _> = text.parse();
        let is_unchanged = name.is_ok_and(|name| name.as_str() == text);
        let _: Result<Fingerprint, _> = text.parse();
        let _: Result<KeyDigest, _> = text.parse();
        let _: Result<Millis, _> = text.parse();
        is_unchanged || text.is_empty() || text.len() > 128 || text.chars().any(char::is_control)
    }
    check(holds as fn(String) -> bool);
}
