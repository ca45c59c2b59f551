//! Tests the trace parser, and that the traces under `traces/` match the generator.

#![allow(clippy::expect_used)]

use quickcheck::{Gen, QuickCheck};
use teaselcroft_standins::{Trace, scenarios};

const HEAD: &str = r#"{"site":"reservoir","daemons":6,"seed":1}"#;
const LINE: &str = r#"{"at_ms":0,"id":"r1","customer":"c1","class":"quick-question","zone":"fayon","prompt_tokens":200,"output_tokens":80}"#;

fn refused(lines: &[&str]) -> (usize, String) {
    let error = Trace::parse(&lines.join("\n")).expect_err("the trace is refused");
    (error.line, error.reason)
}

#[test]
fn stored_traces_match_the_generator() {
    for scenario in scenarios() {
        let path = format!("{}/../../traces/{}.jsonl", env!("CARGO_MANIFEST_DIR"), scenario.name);
        let stored = std::fs::read_to_string(&path).expect("the trace file is readable");
        let trace = Trace::parse(&stored).expect("the trace is valid");

        assert_eq!(stored, scenario.trace.to_text().expect("JSON"), "run make-traces: {}", scenario.name);
        assert_eq!(trace, scenario.trace);
    }
}

#[test]
fn an_invalid_line_is_reported_with_its_number_and_reason() {
    let class = LINE.replace("quick-question", "slow-question");
    let event = r#"{"at_ms":5,"event":"kv-up"}"#;
    let target = r#"{"at_ms":5,"event":"runner-crash","target":"assistant-99"}"#;

    let refusals = [
        refused(&[]),
        refused(&["{}"]),
        refused(&[HEAD, LINE, "{"]),
        refused(&[HEAD, &class]),
        refused(&[HEAD, "", event]),
        refused(&[HEAD, target]),
    ];

    assert_eq!(refusals.clone().map(|(line, _)| line), [1, 1, 3, 2, 3, 2]);
    assert!(refusals[3].1.contains("slow-question"));
    assert!(refusals[5].1.contains("assistant-99"));
}

#[test]
fn parsing_never_panics() {
    fn holds(noise: String, at: u16, byte: u8) -> bool {
        let mut line = LINE.as_bytes().to_vec();
        let index = usize::from(at) % line.len();
        line[index] = byte;
        let line = String::from_utf8_lossy(&line).into_owned();
        let _ = Trace::parse(&format!("{HEAD}\n{line}"));
        Trace::parse(&noise).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(10_000)
        .quickcheck(holds as fn(String, u16, u8) -> bool);
}
