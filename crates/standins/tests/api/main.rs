//! Calls daemons over real sockets as callers and operators do.

#![allow(clippy::expect_used)]

mod fixture;

use std::time::Duration;

use fixture::{CUSTOMER_KEY, Cell};
use http_types::Method;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use teaselcroft_parts::Millis;
use teaselcroft_router::http_client::HttpCall;
use teaselcroft_standins::TraceRequest;

fn code_of(body: &[u8]) -> u64 {
    let reply: serde_json::Value = serde_json::from_slice(body).expect("a refusal is JSON");
    reply["error"]["code"].as_u64().expect("a refusal has a code")
}

fn question(id: &str, output_tokens: u32) -> TraceRequest {
    serde_json::from_value(serde_json::json!({
        "at_ms": 0, "id": id, "customer": "c1", "class": "quick-question", "zone": "fayon",
        "prompt_tokens": 20, "output_tokens": output_tokens
    }))
    .expect("a request line")
}

fn chat(id: &str, class: &str, stream: bool) -> HttpCall {
    let body = serde_json::json!({
        "model": class, "stream": stream, "messages": [{ "role": "user", "content": format!("weed {id}") }]
    });
    let headers = vec![("authorization", format!("Bearer {CUSTOMER_KEY}")), ("x-request-id", id.to_owned())];
    let base = HttpCall::get("", "/v1/chat/completions".to_owned(), Millis(60_000));
    HttpCall { method: Method::Post, headers, body: body.to_string().into_bytes(), ..base }
}

fn booking(id: &str, key: &str) -> HttpCall {
    let headers = vec![
        ("authorization", format!("Bearer {CUSTOMER_KEY}")),
        ("x-request-id", id.to_owned()),
        ("idempotency-key", key.to_owned()),
    ];
    let base = HttpCall::get("", "/v1/services/booking".to_owned(), Millis(60_000));
    HttpCall { method: Method::Post, headers, body: b"{}".to_vec(), ..base }
}

#[test]
fn chat_answers_are_complete_with_and_without_streaming() {
    let cell = Cell::start(2);
    cell.context.register(question("q1", 5));
    cell.context.register(question("q2", 3));

    let whole = cell.send(0, chat("q1", "quick-question", false));
    let streamed = cell.send(1, chat("q2", "quick-question", true));

    let whole_text = String::from_utf8(whole.body).expect("text");
    let streamed_text = String::from_utf8(streamed.body).expect("text");
    assert_eq!((whole.status, streamed.status), (200, 200));
    assert!(whole_text.contains("q1#0 q1#1 q1#2 q1#3 q1#4 "), "{whole_text}");
    assert!(streamed_text.contains("q2#2 ") && streamed_text.ends_with("data: [DONE]\n\n"), "{streamed_text}");
}

#[test]
fn refusals_carry_their_result_codes() {
    let cell = Cell::start(1);
    let bad_key = HttpCall {
        headers: vec![("authorization", "Bearer of-another".to_owned())],
        ..chat("q1", "quick-question", false)
    };
    let too_large = HttpCall { body: vec![b' '; 2_000_000], ..chat("q1", "quick-question", false) };
    let malformed = HttpCall { body: b"{".to_vec(), ..chat("q1", "quick-question", false) };
    let no_key = HttpCall { headers: vec![("authorization", format!("Bearer {CUSTOMER_KEY}"))], ..booking("b1", "k1") };
    let no_path = HttpCall { path: "/v2".to_owned(), ..chat("q1", "quick-question", false) };

    let codes = [bad_key, too_large, malformed, chat("q1", "no-class", false), no_key, no_path]
        .map(|call| code_of(&cell.send(0, call).body));

    assert_eq!(codes, [1002, 1004, 1001, 1003, 1006, 1007]);
}

#[test]
fn a_request_body_that_stalls_is_refused() {
    let cell = Cell::start_with(1, "limits:\n  body_ms: 200\n");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );

    let reply = smol::block_on(async {
        let mut stream = smol::net::TcpStream::connect(cell.address(0)).await.expect("a connection");
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        let mut reply = vec![0; 4_096];
        let count = stream.read(&mut reply).await.expect("a reply");
        String::from_utf8_lossy(&reply[..count]).into_owned()
    });

    assert!(reply.contains("x-teaselcroft-code: 1005"), "{reply}");
}

#[test]
fn a_disconnected_caller_frees_its_runner() {
    let cell = Cell::start(1);
    cell.context.register(question("q1", 10_000));

    smol::block_on(async {
        let call = HttpCall { address: cell.address(0), ..chat("q1", "quick-question", true) };
        let mut response = call.open().await.expect("a stream");
        let mut some = [0; 64];
        response.read(&mut some).await.expect("the first token");
    });

    assert!(cell.wait_for(|cell| cell.status(0)["in_flight"] == 0));
}

#[test]
fn a_call_resent_to_any_daemon_runs_once() {
    let cell = Cell::start(3);

    let first = cell.send(0, booking("b1", "k1"));
    let again: Vec<Vec<u8>> = (0..3).map(|daemon| cell.send(daemon, booking("b1-again", "k1")).body).collect();

    let runs = cell.context.recorder.read().starts.iter().filter(|start| start.key.as_deref() == Some("k1")).count();
    assert_eq!(first.status, 200);
    assert!(again.iter().all(|body| *body == first.body));
    assert_eq!(runs, 1);
}

#[test]
fn the_status_page_requires_the_operator_key() {
    let cell = Cell::start(1);
    let wrong = HttpCall::get(&cell.address(0), "/admin/status".to_owned(), Millis(5_000));

    let refused = smol::block_on(wrong.send()).expect("a reply");

    assert_eq!(refused.status, 401);
}

#[test]
fn addresses_list_the_callers_zone_first_and_omit_stopped_daemons() {
    let cell = Cell::start(3);
    let ask = || {
        let call = HttpCall::get(&cell.address(1), "/v1/addresses?zone=caspe".to_owned(), Millis(5_000));
        let reply = smol::block_on(call.send()).expect("a reply");
        let reply: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
        reply["daemons"].as_array().expect("a list").clone()
    };
    assert!(cell.wait_for(|_| ask().len() == 3));

    let before = ask();
    cell.stop(2);

    assert_eq!(before[0]["zone"], "caspe");
    assert!(cell.wait_for(|_| ask().len() == 2));
    assert!(ask().iter().all(|daemon| daemon["name"] != "entry-3"));
}

#[test]
fn one_of_several_concurrent_revisions_wins_and_a_late_one_sees_the_current() {
    let cell = Cell::start(3);
    let answers = cell.show("harvest")["questionnaire"].clone();
    let revised = |target: u64| {
        let mut answers = answers.clone();
        answers["classes"]["shift-plan"]["target_ms"] = target.into();
        answers
    };

    let mut statuses: Vec<u16> = std::thread::scope(|scope| {
        let cell = &cell;
        let racers: Vec<_> = (0..3)
            .map(|racer| {
                let answers = revised(100_000 + racer as u64);
                scope.spawn(move || cell.apply(racer, "harvest", 1, &answers).status)
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().expect("no panic")).collect()
    });
    statuses.sort_unstable();
    let late = cell.apply(0, "harvest", 1, &revised(5_000));
    let late: serde_json::Value = serde_json::from_slice(&late.body).expect("JSON");

    assert_eq!(statuses, [200, 409, 409]);
    assert_eq!(late["current"]["revision"], 2);
    assert!(cell.wait_for(|cell| (0..3).all(|daemon| cell.status(daemon)["revisions"]["harvest"] == 2)));
}

#[test]
fn a_revision_whose_store_reply_was_lost_is_accepted() {
    let cell = Cell::start(1);
    let answers = cell.show("harvest")["questionnaire"].clone();

    cell.standins.store.lose_replies(1_500);
    let reply = cell.apply(0, "harvest", 1, &answers);

    assert_eq!(reply.status, 200);
    assert_eq!(cell.show("harvest")["revision"], 2);
}

#[test]
fn bookings_succeed_while_the_store_is_down() {
    let cell = Cell::start(3);
    assert!(cell.wait_for(|cell| cell.slots_owned() == 8));
    cell.send(0, booking("b0", "k0"));

    cell.standins.store.go_down(20_000);
    let statuses: Vec<u16> = (1..6)
        .map(|number| cell.send(number % 3, booking(&format!("b{number}"), &format!("k{number}"))).status)
        .collect();

    assert_eq!(statuses, [200; 5]);
}

#[test]
fn a_silent_stream_resumes_at_its_offset() {
    let cell = Cell::start(2);
    cell.context.register(question("q1", 120));
    let call = HttpCall { address: cell.address(0), ..chat("q1", "quick-question", false) };

    let reply = std::thread::scope(|scope| {
        let caller = scope.spawn(move || smol::block_on(call.send()).expect("a reply"));
        assert!(cell.wait_for(|cell| !cell.context.recorder.read().tokens.is_empty()));
        std::thread::sleep(Duration::from_millis(300));
        cell.silence_engines();
        caller.join().expect("no panic")
    });

    let text = String::from_utf8(reply.body).expect("text");
    let resumed = cell.context.recorder.read().starts.iter().any(|start| start.resume_from > 0);
    assert!(text.contains("q1#118 q1#119 "), "{text}");
    assert!(resumed);
}
