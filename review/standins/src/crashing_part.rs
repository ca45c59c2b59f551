//! Case: a part of a prompt crashes each runner that begins to write an answer on it; answers end with their connection.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::{CannotRun, Cell, configuration, route};
use crate::http::{read_answer, send};
use crate::record::Record;
use crate::runner::{Behavior, head};

/// The part that crashes runners.
const CRASHING_PART: &str = "bad0:900";

/// How long a runner that crashed is away.
const DOWN: Duration = Duration::from_millis(3_000);

/// The users' `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The most requests with the part that may reach runners later than `CONTACT` after its fifth crash.
const MAX_LATE: usize = 3;

/// Requests with the part, the time between them, and sound requests for each of them.
const REQUESTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(800);
const SOUND: usize = 2;

const EVENTS: u32 = 10;

fn event(number: u32) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Streams an answer that ends with its connection, or crashes after the first event of one on the crashing part.
fn engine() -> Behavior {
    // FRAMED=1 sends chunks instead, for comparison.
    let is_framed = std::env::var("FRAMED").is_ok_and(|value| value == "1");
    Arc::new(move |runner, request, stream| {
        runner.note_run(request);
        thread::sleep(Duration::from_millis(40));
        let framing = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
        let fields = format!("Content-Type: text/event-stream\r\nConnection: close\r\n{framing}");
        send(stream, head(request, "200 OK", &fields).as_bytes());
        let crashes = request.header("x-prompt-prefix").is_some_and(|parts| parts.contains(CRASHING_PART));
        for number in 1..=EVENTS {
            let text = event(number);
            let text = if is_framed { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
            send(stream, text.as_bytes());
            if crashes {
                thread::sleep(Duration::from_millis(2));
                runner.crash(DOWN);
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        if is_framed {
            send(stream, b"0\r\n\r\n");
        }
        false
    })
}

/// Sends one streaming request and reads its answer to the end.
fn stream(record: &Record, front: SocketAddr, id: &str, parts: &str) {
    let Ok(mut connection) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return record.note(format!("no connection for {id}"));
    };
    let _set = connection.set_read_timeout(Some(Duration::from_secs(5)));
    let body = format!("{{\"prompt\":\"{id}\"}}");
    let message = format!(
        "POST /chat/reply HTTP/1.1\r\nHost: barges.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\nX-Key: key-one\r\n\
         X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.note(format!("sent {id} with the parts {parts}"));
    send(&mut connection, message.as_bytes());
    let answer = read_answer(&mut connection, &mut Vec::new());
    let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
    record.note(format!("answer to {id}: {}, events: {events}, whole: {}", answer.status, answer.is_whole));
}

/// Returns whether the rule held.
pub fn run(cell: &Cell, is_troubled: bool) -> Result<bool, CannotRun> {
    let routes = [
        route("/chat/", "streaming", 1, 15_000, "asistente-modelo", ",\"gap_aim_ms\":250"),
        route("/look/", "safe", 2, 3_000, "mostrador", ""),
    ];
    cell.store.put("op/config", &configuration(7, &routes, &["asistente-modelo", "mostrador"]));
    cell.start_runner(20, "mostrador", crate::runner::plain(Duration::from_millis(60)))?;
    for number in 0..9 {
        cell.start_runner(number, "asistente-modelo", engine())?;
    }
    let daemons = [cell.start_daemon(1, 110)?, cell.start_daemon(2, 110)?];
    for daemon in &daemons {
        cell.wait_until_serving(daemon, "/look/warm")?;
    }
    thread::sleep(Duration::from_millis(3_500));

    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let front = daemons[number % daemons.len()].front;
        let record = cell.record.clone();
        let crashing = if is_troubled { CRASHING_PART } else { "90d0:900" };
        callers.push(thread::spawn(move || {
            let parts = format!("5c1e:{},{crashing},{:x}:250", 400 + number, 0x1000 + number);
            stream(&record, front, &format!("part-{number}"), &parts);
        }));
        for sound in 0..SOUND {
            let (record, front) = (cell.record.clone(), daemons[(number + sound) % daemons.len()].front);
            callers.push(thread::spawn(move || {
                let parts = format!("5c1e:{},{:x}:250", 400 + number, 0x9000 + number * SOUND + sound);
                stream(&record, front, &format!("sound-{number}-{sound}"), &parts);
            }));
        }
        thread::sleep(PAUSE);
    }
    for caller in callers {
        caller.join().map_err(|_| CannotRun("a caller failed".to_owned()))?;
    }
    // In this case each run of a request with the part is a crash.
    let runs: Vec<Duration> = cell.runs().iter().filter(|run| run.id.starts_with("part-")).map(|run| run.at).collect();
    let late = match runs.get(4) {
        Some(fifth) if is_troubled => runs.iter().filter(|at| **at > *fifth + CONTACT).count(),
        _ => 0,
    };
    cell.record.note(format!(
        "{} requests with the part reached runners, {late} of them later than contact_ms after the fifth crash; {MAX_LATE} may",
        runs.len()
    ));
    Ok(late <= MAX_LATE)
}
