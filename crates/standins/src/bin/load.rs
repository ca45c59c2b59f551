//! Sends a constant request rate through daemon processes and measures the latency that they add over direct requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use futures_lite::StreamExt;
use futures_lite::io::AsyncBufReadExt;
use hdrhistogram::Histogram;
use http_types::Method;
use smol::Timer;
use teaselcroft_parts::ExitCode;
use teaselcroft_parts::Millis;
use teaselcroft_router::http_client::HttpCall;
use teaselcroft_standins::load::{Cell, start_cell};
use teaselcroft_standins::{DaemonCommand, Runtime, TraceRequest, customer_key};

/// One in this many requests of each kind is also sent directly to a runner.
const DIRECT_ONE_IN: u64 = 10;
/// Upper bound of the latency histograms.
const LONGEST_US: u64 = 600_000_000;
/// Answer length of a chat request.
const CHAT_TOKENS: u32 = 6;

/// Sends a constant request rate through daemon processes and measures the latency that they add over direct requests.
#[derive(Debug, Parser)]
#[command(name = "load", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<DaemonCommand>,

    /// Number of daemons.
    #[arg(long, default_value_t = 3)]
    daemons: usize,

    /// Requests per second.
    #[arg(long, default_value_t = 500)]
    rate: u64,

    /// Time in which requests are sent, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Chat,
}

/// Latencies in microseconds: routed and direct reads, then routed and direct times to first token.
struct Times {
    histograms: [Histogram<u64>; 4],
    failed: u64,
    sent: u64,
}

impl Times {
    fn record(&mut self, kind: Kind, direct: bool, micros: Option<u64>) {
        self.sent += u64::from(!direct);
        match micros {
            Some(micros) => {
                let index = usize::from(kind == Kind::Chat) * 2 + usize::from(direct);
                self.histograms[index].saturating_record(micros);
            }
            None => self.failed += 1,
        }
    }

    fn table_row(&self, name: &str, routed_index: usize) -> String {
        let at = |index: usize, quantile| self.histograms[index].value_at_quantile(quantile) as f64 / 1_000.0;
        let (p50, p99) =
            ([at(routed_index, 0.5), at(routed_index + 1, 0.5)], [at(routed_index, 0.99), at(routed_index + 1, 0.99)]);
        format!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            p50[1],
            p50[0],
            p50[0] - p50[1],
            p99[1],
            p99[0],
            p99[0] - p99[1]
        )
    }
}

fn call(cell: &Cell, id: u64, kind: Kind, direct: bool) -> HttpCall {
    let name = format!("load-{id}");
    let pick = |addresses: &[String]| addresses[id as usize % addresses.len()].clone();
    let headers = vec![
        ("authorization", format!("Bearer {}", customer_key("c1"))),
        ("x-request-id", name.clone()),
        ("x-request-class", "booking-read".to_owned()),
    ];
    let messages = serde_json::json!([{ "role": "user", "content": name }]);
    let (address, path, body) = match (kind, direct) {
        (Kind::Read, true) => (pick(&cell.services), "/call".to_owned(), serde_json::json!({})),
        (Kind::Read, false) => (pick(&cell.daemons), "/v1/services/booking-read".to_owned(), serde_json::json!({})),
        (Kind::Chat, true) => {
            let wire = serde_json::json!({
                "request": name, "priority": 1, "resume_from": 0, "messages": messages
            });
            (pick(&cell.engines), "/generate".to_owned(), wire)
        }
        (Kind::Chat, false) => {
            let body = serde_json::json!({ "model": "quick-question", "stream": true, "messages": messages });
            (pick(&cell.daemons), "/v1/chat/completions".to_owned(), body)
        }
    };
    let base = HttpCall::get(&address, path, Millis(60_000));
    HttpCall { method: Method::Post, headers, body: body.to_string().into_bytes(), ..base }
}

/// Time to the reply, or to the first token of a complete answer, in microseconds; `None` on failure.
async fn time(call: HttpCall, kind: Kind) -> Option<u64> {
    let began = Instant::now();
    let mut response = call.open().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut lines = response.take_body().lines();
    let mut first = None;
    while let Some(line) = lines.next().await {
        let line = line.ok()?;
        let token = kind == Kind::Read || (line.starts_with("data: {") && line.contains('#'));
        if token && first.is_none() {
            first = Some(began.elapsed().as_micros() as u64);
        }
        if line == "data: [DONE]" {
            return first;
        }
    }
    if kind == Kind::Read { first } else { None }
}

fn trace_request(id: u64) -> Option<TraceRequest> {
    let line = serde_json::json!({
        "at_ms": 0, "id": format!("load-{id}"), "customer": "c1", "class": "quick-question", "zone": "fayon",
        "prompt_tokens": 10, "output_tokens": CHAT_TOKENS
    });
    serde_json::from_value(line).ok()
}

fn run(arguments: &Arguments) -> Result<ExitCode, String> {
    let runtime = Runtime::start().map_err(|error| error.to_string())?;
    let cell = smol::block_on(start_cell(&runtime, arguments.daemons)).map_err(|error| error.to_string())?;
    let cell = Arc::new(cell);
    let histogram = || Histogram::new_with_max(LONGEST_US, 3).map_err(|error| error.to_string());
    let histograms = [histogram()?, histogram()?, histogram()?, histogram()?];
    let times = Arc::new(Mutex::new(Times { histograms, failed: 0, sent: 0 }));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for id in 0..arguments.rate * arguments.seconds {
        let due = began + Duration::from_micros(id * 1_000_000 / arguments.rate);
        smol::block_on(Timer::at(due));
        let kind = if id % 2 == 0 { Kind::Read } else { Kind::Chat };
        for direct in [false, true] {
            if direct && (id / 2) % DIRECT_ONE_IN != 0 {
                continue;
            }
            let id = id * 2 + u64::from(direct);
            if let Some(request) = trace_request(id) {
                cell.context.register(request);
            }
            let (call, times) = (call(&cell, id, kind, direct), times.clone());
            let task = async move {
                let micros = time(call, kind).await;
                times.lock().unwrap_or_else(PoisonError::into_inner).record(kind, direct, micros);
            };
            tasks.push(runtime.executor().spawn(task));
        }
    }
    smol::block_on(async {
        for task in tasks {
            task.await;
        }
    });
    let times = times.lock().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{} requests at {}/s through {} daemons, {} without a whole answer",
        times.sent, arguments.rate, arguments.daemons, times.failed
    );
    println!(
        "| milliseconds | direct p50 | routed p50 | added | direct p99 | routed p99 | added |\n|---|---|---|---|---|---|---|"
    );
    println!("{}", times.table_row("booking-read, whole", 0));
    println!("{}", times.table_row("quick-question, first token", 2));
    Ok(if times.failed == 0 { ExitCode::Success } else { ExitCode::Failure })
}

fn main() -> std::process::ExitCode {
    let arguments = Arguments::parse();
    let result = match &arguments.command {
        Some(daemon) => daemon.run(),
        None => run(&arguments),
    };
    let code = result.unwrap_or_else(|reason| {
        eprintln!("load: {reason}");
        ExitCode::BadInput
    });
    code.into()
}
