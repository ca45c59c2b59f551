//! Daemons that missed heartbeats learn of crashes from the list of a peer.

use teaselcroft_gateway::heartbeat::CrashList;
use teaselcroft_gateway::{CrashSync, CrashTracker, Suspect};
use teaselcroft_parts::Millis;

const CONTENT: Suspect = Suspect::Content(7);

/// The users' bound on the time until a daemon must know what its peers know.
const CONTACT_TIME: u64 = 3_000;

fn merge(tracker: &mut CrashTracker, list: &CrashList, now: Millis) {
    list.cleared.iter().for_each(|clearance| tracker.note_clearance(*clearance, now));
    list.crashes.iter().for_each(|crash| tracker.note(*crash, false, now));
}

#[test]
fn crashes_that_daemons_saw_while_they_were_cut_off_from_each_other_add_up() {
    let mut trackers = [CrashTracker::default(), CrashTracker::default(), CrashTracker::default()];
    for (index, tracker) in trackers.iter_mut().enumerate() {
        tracker.note(CONTENT.crash_of(index as u64), true, Millis(0));
    }
    let now = Millis(20_000);
    let is_blocked = |trackers: &[CrashTracker; 3]| trackers.each_ref().map(|one| one.is_blocked(&[CONTENT], now));
    let before = is_blocked(&trackers);

    let lists = trackers.each_ref().map(|tracker| tracker.all(now));
    trackers.iter_mut().for_each(|tracker| lists.iter().for_each(|list| merge(tracker, list, now)));

    assert_eq!((before, is_blocked(&trackers)), ([false; 3], [true; 3]));
    let digests = trackers.each_mut().map(CrashTracker::digest);
    assert!(digests[0] != 0 && digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
}

#[test]
fn a_list_with_crashes_from_before_an_answer_does_not_bring_them_back() {
    let (mut answered, mut cut_off) = (CrashTracker::default(), CrashTracker::default());
    for runner in 1..=3 {
        answered.note(CONTENT.crash_of(runner), true, Millis(100));
        cut_off.note(CONTENT.crash_of(runner), false, Millis(100));
    }
    answered.note_complete(CONTENT, Millis(5_000));

    let lists = [answered.all(Millis(20_000)), cut_off.all(Millis(20_000))];
    merge(&mut cut_off, &lists[0], Millis(20_000));
    merge(&mut answered, &lists[1], Millis(20_000));

    assert!(!answered.is_blocked(&[CONTENT], Millis(20_000)) && !cut_off.is_blocked(&[CONTENT], Millis(20_000)));
    assert_eq!(answered.digest(), cut_off.digest());
}

#[test]
fn a_starting_daemon_fetches_at_once_and_others_when_heartbeats_had_time_to_tell() {
    let mut sync = CrashSync::default();

    let first = sync.is_due("a", 5, 0, Millis(100));
    let other = (1..=10).map(|beat| sync.is_due("b", 6, 5, Millis(200 + beat * 120))).filter(|is_due| *is_due).count();
    let due_at = (0..CONTACT_TIME).step_by(120).find(|late| sync.is_due("b", 6, 5, Millis(5_000 + late)));
    let repeated = (0..100).any(|beat| sync.is_due("b", 6, 5, Millis(9_000 + beat * 120)));
    sync.fetch_failed("b");
    let after_failure = (0..20).any(|beat| sync.is_due("b", 6, 5, Millis(30_000 + beat * 120)));

    assert!(first, "a daemon that knows nothing");
    assert_eq!(other, 0, "heartbeats may still deliver it");
    assert!(due_at.is_some(), "within the time until the daemon must know");
    assert!(!repeated, "what still differs was fetched and not taken");
    assert!(after_failure);
}
