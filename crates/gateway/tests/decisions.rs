//! Decisions that need no network: retries, crashes, members, routes, streams, settings and bodies.

#![allow(clippy::unwrap_used)]

use quickcheck::{TestResult, quickcheck};
use teaselcroft_gateway::heartbeat::{Crash, Datagram, MemberRecord, Phase};
use teaselcroft_gateway::http::{ChunkedDecoder, RequestHead, ResponseHead, request_body};
use teaselcroft_gateway::{
    Bounds, CrashTracker, EventStream, MalformedEvent, Priority, RetryLimiter, Roster, Route, RouteKind, RouteTable,
    Settings, Split, Suspect,
};
use teaselcroft_parts::{Millis, ModelName};

fn member(name: &str, zone: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        incarnation,
        zone: zone.into(),
        ip: format!("10.0.0.{}", name.len()),
        front_port: 7_000,
        peer_port: 7_001,
        phase: Phase::Ready.into(),
        cpu_milli: 250,
        is_settled: false,
        period_ms: 120,
    }
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Millis(1_000),
        target: Millis(300),
        max_attempts: 2,
        priority: Priority(1),
        is_public: false,
        is_resumable: false,
        longest_pause: None,
        splits: vec![
            Split { service: "one".parse().unwrap(), weight: 90 },
            Split { service: "two".parse().unwrap(), weight: 10 },
        ],
    }
}

#[test]
fn daemons_together_stay_within_the_retry_budget() {
    let service: ModelName = "compost".parse().unwrap();
    let bounds = Bounds { retry_ratio: 0.2, retry_slack: 50.0, ..Bounds::default() };
    let mut limiters: Vec<RetryLimiter> = (0..6).map(|_| RetryLimiter::new(bounds.clone())).collect();

    let mut retries = 0;
    for step in 0..1_000 {
        let now = Millis(step * 10);
        let limiter = &mut limiters[usize::try_from(step).unwrap() % 6];
        limiter.count_request(&service, now);
        retries += u32::from(limiter.try_retry(&service, 6, now));
    }

    assert!(retries <= 250, "{retries} retries for 1000 requests");
    assert!(retries >= 150, "the budget can be used: {retries}");
}

#[test]
fn a_request_is_blocked_after_crashing_three_runners_whoever_saw_the_crashes() {
    let mut tracker = CrashTracker::default();
    let crash = |runner| Crash { suspect: 5, runner, is_part: false, age_ms: 0 };
    let is_blocked = |tracker: &CrashTracker, suspect| tracker.is_blocked(&[Suspect::Content(suspect)], Millis(40));

    tracker.note(crash(1), true, Millis(0));
    tracker.note(crash(1), true, Millis(10));
    tracker.note(crash(2), false, Millis(20));
    let before = is_blocked(&tracker, 5);
    tracker.note(crash(3), false, Millis(30));

    assert!(!before, "two crashes of one runner count once");
    assert!(is_blocked(&tracker, 5) && !is_blocked(&tracker, 6));
    assert_eq!(
        tracker.recent_crashes(Millis(120), Millis(40)),
        vec![Crash { age_ms: 40, ..crash(1) }],
        "peers are told only of crashes seen here"
    );
}

#[test]
fn a_part_that_died_with_runners_is_unblocked_once_any_daemon_sees_it_answered() {
    let part = Suspect::Part(7);
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    let blocked =
        |trackers: &[CrashTracker; 2], now| trackers.each_ref().map(|tracker| tracker.is_blocked(&[part], now));
    for runner in 1..=3 {
        trackers.iter_mut().for_each(|tracker| tracker.note(part.crash_of(runner), false, Millis(runner * 100)));
    }
    let after_crashes = blocked(&trackers, Millis(400));

    trackers[0].note_answered(&[part], Millis(500));
    let after_answer = blocked(&trackers, Millis(500));
    for clearance in trackers[0].recent_clearances(Millis(120), Millis(510)) {
        trackers[1].note_clearance(clearance, Millis(520));
    }

    assert_eq!((after_crashes, after_answer), ([true; 2], [false, true]));
    assert_eq!(blocked(&trackers, Millis(60_000)), [false; 2]);
}

#[test]
fn a_part_is_not_suspected_of_crashes_soon_after_its_answer() {
    let part = Suspect::Part(7);
    let mut tracker = CrashTracker::default();

    tracker.note_answered(&[part], Millis(0));
    for runner in 1..=5 {
        tracker.note(part.crash_of(runner), true, Millis(runner * 100));
    }

    assert!(!tracker.is_suspicious(part, Millis(600)) && !tracker.is_blocked(&[part], Millis(600)));
    let cleared = tracker.recent_clearances(Millis(120), Millis(600));
    assert_eq!(cleared, [part.clearance(100)], "peers learn that it is harmless");
    assert!(tracker.is_suspicious(part, Millis(20_000)));
}

#[test]
fn a_whole_answer_clears_a_content_of_earlier_crashes_only() {
    let content = Suspect::Content(7);
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    for runner in 1..=3 {
        trackers.iter_mut().for_each(|tracker| tracker.note(content.crash_of(runner), false, Millis(runner * 100)));
    }

    trackers[0].note_complete(content, Millis(350));
    for runner in 4..=5 {
        trackers[1].note(content.crash_of(runner), true, Millis(400));
    }
    for clearance in trackers[0].recent_clearances(Millis(120), Millis(500)) {
        trackers[1].note_clearance(clearance, Millis(500));
    }
    let old = Crash { age_ms: 400, ..content.crash_of(6) };
    trackers[1].note(old, false, Millis(600));
    let after_answer = trackers.each_ref().map(|tracker| tracker.is_blocked(&[content], Millis(600)));
    trackers[1].note(content.crash_of(7), false, Millis(700));

    assert_eq!(after_answer, [false; 2]);
    assert!(trackers[1].is_blocked(&[content], Millis(700)), "three crashes after the answer");
}

/// Lets `runner` crash with `count` other requests at it.
fn crash_beside_bystanders(tracker: &mut CrashTracker, runner: u64, count: u64) {
    for bystander in 0..count {
        tracker.note(Suspect::Content(runner * 1_000 + bystander).crash_of(runner), true, Millis(runner * 100));
    }
}

#[test]
fn heartbeats_carry_the_crashes_that_may_block_a_request_before_those_of_bystanders() {
    let content = Suspect::Content(7);
    let mut tracker = CrashTracker::default();
    for runner in 1..=3 {
        crash_beside_bystanders(&mut tracker, runner, 400);
        tracker.note(content.crash_of(runner), true, Millis(runner * 100));
    }

    let reported = tracker.recent_crashes(Millis(120), Millis(400));

    assert_eq!(reported.iter().filter(|crash| Suspect::from(**crash) == content).count(), 3);
}

#[test]
fn a_request_is_blocked_although_bystanders_fill_the_tracker() {
    let content = Suspect::Content(7);
    let mut tracker = CrashTracker::default();

    for runner in 1..=30 {
        crash_beside_bystanders(&mut tracker, runner, 400);
        if runner > 20 && runner % 3 == 0 {
            tracker.note(content.crash_of(runner), true, Millis(runner * 100));
        }
    }

    assert!(tracker.is_blocked(&[content], Millis(3_100)));
}

#[test]
fn a_request_that_returns_seldom_is_blocked_after_crashing_three_runners() {
    let content = Suspect::Content(7);
    let mut tracker = CrashTracker::default();

    for runner in 1..=3 {
        tracker.note(content.crash_of(runner), true, Millis(runner * 100_000));
    }
    let is_blocked = tracker.is_blocked(&[content], Millis(400_000));
    tracker.note(content.crash_of(4), true, Millis(650_000));

    assert!(is_blocked);
    assert!(tracker.is_blocked(&[content], Millis(750_000)), "one more crash blocks it again");
}

#[test]
fn a_repeated_request_that_crashes_runners_does_not_block_its_prompt_parts_for_others() {
    let (content, part) = (Suspect::Content(7), Suspect::Part(9));
    let sound = [Suspect::Content(8), part];
    let mut tracker = CrashTracker::default();
    for runner in 1..=4 {
        tracker.note(content.crash_of(runner), true, Millis(runner * 100));
        tracker.note(part.crash_of(runner), true, Millis(runner * 100));
    }

    let (is_repeat_blocked, is_sound_blocked) =
        (tracker.is_blocked(&[content, part], Millis(500)), tracker.is_blocked(&sound, Millis(500)));
    tracker.note(sound[0].crash_of(5), true, Millis(600));
    tracker.note(part.crash_of(5), true, Millis(600));

    assert!(is_repeat_blocked && !is_sound_blocked);
    assert!(
        tracker.is_blocked(&[Suspect::Content(10), part], Millis(700)),
        "the part crashes runners without that content"
    );
}

#[test]
fn the_store_gets_a_blocked_content_beside_its_parts_and_a_part_that_is_blocked_alone() {
    let [content, other] = [7, 8].map(Suspect::Content);
    let [first, crashing] = [1, 2].map(Suspect::Part);
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    for runner in 1..=3 {
        for suspect in [content, first, crashing] {
            trackers[0].note(suspect.crash_of(runner), true, Millis(runner * 100));
        }
        for suspect in [Suspect::Content(100 + runner), crashing] {
            trackers[1].note(suspect.crash_of(runner), true, Millis(runner * 100));
        }
    }
    let carried = [[content, first, crashing], [other, first, crashing]];

    let unstored = [0, 1].map(|index| trackers[index].unstored(&carried[index], Millis(400)));
    trackers[0].set_stored(content);

    assert_eq!(unstored, [vec![content], vec![crashing]]);
    assert_eq!(trackers[0].unstored(&carried[0], Millis(400)), Vec::new(), "once");
    trackers[0].forget_stored();
    assert_eq!(trackers[0].unstored(&carried[0], Millis(400)), [content], "again after the store may have lost them");
}

#[test]
fn other_parts_at_the_same_runners_do_not_hide_a_request_for_long() {
    let (content, other) = (Suspect::Content(7), Suspect::Part(9));
    let mut tracker = CrashTracker::default();
    for runner in 1..=3 {
        tracker.note(content.crash_of(runner), true, Millis(runner * 100));
        tracker.note(other.crash_of(runner), true, Millis(runner * 100));
    }
    for runner in 4..=5 {
        tracker.note(content.crash_of(runner), true, Millis(runner * 100));
    }

    assert!(tracker.is_blocked(&[content], Millis(600)), "five crashes: three, and fewer than three more");
}

#[test]
fn callers_get_the_addresses_of_live_daemons_in_their_zone() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(member("bb", "fayon", 1), Millis(0));
    roster.heard(member("ccc", "caspe", 1), Millis(0));
    let ports = |roster: &Roster, zone, now| roster.addresses(Some(zone), Millis(now)).len();

    assert_eq!((ports(&roster, "fayon", 500), ports(&roster, "caspe", 500), ports(&roster, "none", 500)), (2, 1, 3));
    roster.heard(member("ccc", "caspe", 1), Millis(1_400));
    assert_eq!(ports(&roster, "fayon", 1_500), 1, "a silent peer is left out");
    assert_eq!(ports(&roster, "none", 3_900), 3, "a daemon that hears no peer returns those that it heard lately");
    assert_eq!(ports(&roster, "none", 9_000), 1, "and later itself alone");
}

#[test]
fn a_peer_falls_silent_after_four_of_the_heartbeat_periods_that_it_states() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { period_ms: 700, ..member("bb", "fayon", 1) }, Millis(0));

    assert_eq!(roster.fell_silent(Millis(1_100), Millis(900)), Vec::<String>::new());
    assert_eq!(roster.live_count(Millis(2_800)), 1);
    assert_eq!(roster.fell_silent(Millis(2_900), Millis(2_700)), ["bb"]);
    assert_eq!(roster.live_count(Millis(2_900)), 0);
}

#[test]
fn a_stopping_daemon_does_not_become_ready_again() {
    let mut roster = Roster::new(MemberRecord { phase: Phase::Starting.into(), ..member("a", "fayon", 1) });

    roster.become_ready();
    let ready = roster.me.phase();
    roster.me.phase = Phase::Leaving.into();
    roster.become_ready();

    assert_eq!((ready, roster.me.phase()), (Phase::Ready, Phase::Leaving));
}

#[test]
fn an_older_incarnation_does_not_replace_a_newer_one() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { phase: Phase::Leaving.into(), ..member("bb", "fayon", 5) }, Millis(0));

    roster.heard(member("bb", "fayon", 4), Millis(10));
    roster.learn(member("bb", "fayon", 3), true, Millis(20));

    assert_eq!(roster.addresses(Some("fayon"), Millis(30)).len(), 1);
}

#[test]
fn a_daemon_that_restarted_after_its_clock_went_back_is_heard_again() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.learn(member("bb", "fayon", 5), true, Millis(0));
    roster.heard(member("bb", "fayon", 5), Millis(0));

    let while_heard = roster.heard(member("bb", "fayon", 4), Millis(900));
    let after_silence = roster.heard(member("bb", "fayon", 4), Millis(1_500));

    assert_eq!((while_heard, after_silence), (false, true));
    assert_eq!(roster.addresses(Some("fayon"), Millis(1_600)).len(), 2);
}

#[test]
fn the_placement_leader_is_a_settled_daemon_or_else_the_largest() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { cpu_milli: 500, ..member("bb", "fayon", 1) }, Millis(0));
    let largest = roster.placement_leader(Millis(10)).name.clone();

    roster.heard(MemberRecord { is_settled: true, ..member("ccc", "fayon", 1) }, Millis(0));

    assert_eq!((largest.as_str(), roster.placement_leader(Millis(10)).name.as_str()), ("bb", "ccc"));
    assert_eq!(roster.placement_leader(Millis(5_000)).name, "a", "silent daemons do not lead placement");
}

#[test]
fn the_longest_path_prefix_wins_and_weights_split_requests() {
    let table: RouteTable = [route("/a/"), route("/a/b/"), route("/")].into_iter().collect();
    let find = |path| table.find("A.example:80", path).map(|found| found.prefix.clone());

    assert_eq!(find("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("/x").as_deref(), Some("/"));
    assert_eq!(table.find("b.example", "/a/"), None);
    let ones = (0..1_000).filter(|draw| route("/").service(*draw).unwrap().as_str() == "one").count();
    assert_eq!(ones, 900);
}

#[test]
fn only_complete_events_are_released() {
    let mut stream = EventStream::default();
    let mut out = Vec::new();

    stream.input().extend_from_slice(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(stream.take_events(&mut out), Ok(true));
    stream.input().extend_from_slice(b"ta: b\n");
    assert_eq!(stream.take_events(&mut out), Ok(false));

    assert_eq!((out.as_slice(), stream.last_id(), stream.count()), (&b"id: 1\ndata: a\n\n"[..], Some("1"), 1));
    assert!(stream.is_mid_event());
}

#[test]
fn blocks_without_an_id_and_events_without_end_are_malformed() {
    let (mut blocks, mut endless, mut out) = (EventStream::default(), EventStream::default(), Vec::new());

    blocks
        .input()
        .extend_from_slice(b"id: 1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: b\n\ndata: no event\n\nid: 3\n\n");
    let first = blocks.take_events(&mut out);
    let second = blocks.take_events(&mut out);
    endless.input().extend_from_slice(&[b'x'; 100_000]);
    let mut comments = EventStream::default();
    comments.input().extend_from_slice(&b":\n\n".repeat(30_000));

    assert_eq!((first, second), (Ok(true), Err(MalformedEvent)));
    assert_eq!(out, b"id: 1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: b\n\n");
    assert_eq!((blocks.last_id(), blocks.count()), (Some("2"), 2));
    assert_eq!(endless.take_events(&mut out), Err(MalformedEvent));
    assert_eq!((comments.take_events(&mut out), comments.take_events(&mut out)), (Ok(true), Err(MalformedEvent)));
}

#[test]
fn a_settings_error_names_the_invalid_key() {
    let text = "daemon: entry-1\nzone: fayon\nip: 127.0.0.1\nfront: 127.0.0.1:1\nready: 127.0.0.1:2\ndirectory: 127.0.0.1:3\n\
                peer: 127.0.0.1:4\nheartbeat_port: 5\nstore: 127.0.0.1:6\nmemory_mb: 260\ncpu_share: 0.25\nunknown: 1\n";

    assert!(Settings::parse(text).is_ok(), "unknown keys are ignored");
    assert!(Settings::parse(&text.replace("0.25", "0")).unwrap_err().contains("cpu_share"));
    assert!(Settings::parse(&text.replace("zone: fayon\n", "")).unwrap_err().contains("zone"));
}

fn chunks(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        bytes.extend_from_slice(format!("{:x};note=1\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    bytes
}

quickcheck! {
    fn chunked_bodies_decode_however_the_bytes_are_split(parts: Vec<Vec<u8>>, size: u8, rest: Vec<u8>) -> TestResult {
        let mut bytes = chunks(&parts);
        let length = bytes.len();
        bytes.extend_from_slice(&rest);
        let (mut decoder, mut out, mut used) = (ChunkedDecoder::default(), Vec::new(), 0);
        for piece in bytes.chunks(usize::from(size) + 1) {
            used += decoder.decode(piece, &mut out).unwrap();
        }
        TestResult::from_bool(decoder.is_done() && used == length && out == parts.concat())
    }

    fn parsers_never_panic(bytes: Vec<u8>) -> bool {
        let _chunks = ChunkedDecoder::default().decode(&bytes, &mut Vec::new());
        let _datagram = <Datagram as prost::Message>::decode(bytes.as_slice());
        let _response = ResponseHead::parse(&bytes, 100);
        let mut request = b"POST /a HTTP/1.1\r\nContent-Length: ".to_vec();
        request.extend_from_slice(&bytes);
        request.extend_from_slice(b"\r\n\r\n");
        let parsed = RequestHead::parse(&request, 10_000);
        parsed.ok().flatten().is_none_or(|(head, _)| request_body(&head).is_ok() || request_body(&head).is_err())
    }

    fn settings_parser_never_panics(text: String) -> bool {
        Settings::parse(&text).is_err()
    }
}
