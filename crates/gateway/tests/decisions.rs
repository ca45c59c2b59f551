//! Decisions without a network: retries, crashes, members, routes, streams, bodies.

#![allow(clippy::unwrap_used)]

use quickcheck::{TestResult, quickcheck};
use teaselcroft_gateway::heartbeat::{Crash, Datagram, MemberRecord, Phase};
use teaselcroft_gateway::http::{ChunkedDecoder, RequestHead, ResponseHead, request_body};
use teaselcroft_gateway::{
    Bounds, CrashTracker, EventStream, Priority, RetryLimiter, Roster, Route, RouteKind, RouteTable, Settings, Split,
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
    let mut ledgers: Vec<RetryLimiter> = (0..6).map(|_| RetryLimiter::new(bounds.clone())).collect();

    let mut repeats = 0;
    for step in 0..1_000 {
        let now = Millis(step * 10);
        let ledger = &mut ledgers[usize::try_from(step).unwrap() % 6];
        ledger.count_request(&service, now);
        repeats += u32::from(ledger.try_retry(&service, 6, now));
    }

    assert!(repeats <= 250, "{repeats} second sends for 1000 requests");
    assert!(repeats >= 150, "the budget can be used: {repeats}");
}

#[test]
fn a_request_is_condemned_after_three_runners_whoever_saw_them() {
    let mut ledger = CrashTracker::default();
    let crash = |runner| Crash { content: 5, runner };

    ledger.note(crash(1), true, Millis(0));
    ledger.note(crash(1), true, Millis(10));
    ledger.note(crash(2), false, Millis(20));
    let before = ledger.is_blocked(5);
    ledger.note(crash(3), false, Millis(30));

    assert!(!before, "one runner counts once");
    assert!(ledger.is_blocked(5) && !ledger.is_blocked(6));
    assert_eq!(ledger.news(Millis(120), Millis(40)), vec![crash(1)], "peers are told what was seen here");
}

#[test]
fn callers_are_named_daemons_of_their_zone_that_are_heard() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(member("bb", "fayon", 1), Millis(0));
    roster.heard(member("ccc", "caspe", 1), Millis(0));
    let ports = |roster: &Roster, zone, now| roster.addresses(Some(zone), Millis(now)).len();

    assert_eq!((ports(&roster, "fayon", 500), ports(&roster, "caspe", 500), ports(&roster, "none", 500)), (2, 1, 3));
    roster.heard(member("ccc", "caspe", 1), Millis(1_400));
    assert_eq!(ports(&roster, "fayon", 1_500), 1, "a silent one is not named");
    assert_eq!(ports(&roster, "none", 9_000), 3, "a daemon that hears nobody names all it knew");
}

#[test]
fn a_peer_is_silent_by_the_time_that_it_states_between_heartbeats() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { period_ms: 700, ..member("bb", "fayon", 1) }, Millis(0));

    assert_eq!(roster.sweep(Millis(1_100), Millis(900)), Vec::<String>::new());
    assert_eq!(roster.live_count(Millis(2_800)), 1);
    assert_eq!(roster.sweep(Millis(2_900), Millis(2_700)), ["bb"]);
    assert_eq!(roster.live_count(Millis(2_900)), 0);
}

#[test]
fn an_old_incarnation_does_not_replace_a_new_one() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { phase: Phase::Leaving.into(), ..member("bb", "fayon", 5) }, Millis(0));

    roster.heard(member("bb", "fayon", 4), Millis(10));
    roster.learn(member("bb", "fayon", 3), true, Millis(20));

    assert_eq!(roster.addresses(Some("fayon"), Millis(30)).len(), 1);
}

#[test]
fn placing_goes_to_a_settled_daemon_then_to_the_largest() {
    let mut roster = Roster::new(member("a", "fayon", 1));
    roster.heard(MemberRecord { cpu_milli: 500, ..member("bb", "fayon", 1) }, Millis(0));
    let largest = roster.placing_daemon(Millis(10)).name.clone();

    roster.heard(MemberRecord { is_settled: true, ..member("ccc", "fayon", 1) }, Millis(0));

    assert_eq!((largest.as_str(), roster.placing_daemon(Millis(10)).name.as_str()), ("bb", "ccc"));
    assert_eq!(roster.placing_daemon(Millis(5_000)).name, "a", "silent daemons do not place");
}

#[test]
fn the_longest_prefix_wins_and_weights_share_requests() {
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
fn only_whole_events_are_handed_out() {
    let mut stream = EventStream::default();
    let mut out = Vec::new();

    stream.input().extend_from_slice(b"id: 1\ndata: a\n\nid: 2\nda");
    assert!(stream.take_events(&mut out));
    stream.input().extend_from_slice(b"ta: b\n");
    assert!(!stream.take_events(&mut out));

    assert_eq!((out.as_slice(), stream.last_id(), stream.count()), (&b"id: 1\ndata: a\n\n"[..], Some("1"), 1));
    assert!(stream.is_mid_event());
}

#[test]
fn settings_name_the_key_that_cannot_be_used() {
    let text = "daemon: entry-1\nzone: fayon\nip: 127.0.0.1\nfront: 127.0.0.1:1\nready: 127.0.0.1:2\ndirectory: 127.0.0.1:3\n\
                peer: 127.0.0.1:4\nheartbeat_port: 5\nstore: 127.0.0.1:6\nmemory_mb: 260\ncpu_share: 0.25\nunknown: 1\n";

    assert!(Settings::parse(text).is_ok(), "fields that are not known are ignored");
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
    fn chunks_decode_whatever_the_pieces(parts: Vec<Vec<u8>>, size: u8, rest: Vec<u8>) -> TestResult {
        let mut bytes = chunks(&parts);
        let length = bytes.len();
        bytes.extend_from_slice(&rest);
        let (mut decoder, mut out, mut used) = (ChunkedDecoder::default(), Vec::new(), 0);
        for piece in bytes.chunks(usize::from(size) + 1) {
            used += decoder.decode(piece, &mut out).unwrap();
        }
        TestResult::from_bool(decoder.is_done() && used == length && out == parts.concat())
    }

    fn no_bytes_make_a_parser_panic(bytes: Vec<u8>) -> bool {
        let _chunks = ChunkedDecoder::default().decode(&bytes, &mut Vec::new());
        let _datagram = <Datagram as prost::Message>::decode(bytes.as_slice());
        let _response = ResponseHead::parse(&bytes, 100);
        let mut request = b"POST /a HTTP/1.1\r\nContent-Length: ".to_vec();
        request.extend_from_slice(&bytes);
        request.extend_from_slice(b"\r\n\r\n");
        let parsed = RequestHead::parse(&request, 10_000);
        parsed.ok().flatten().is_none_or(|(head, _)| request_body(&head).is_ok() || request_body(&head).is_err())
    }

    fn no_settings_make_the_reader_panic(text: String) -> bool {
        Settings::parse(&text).is_err()
    }
}
