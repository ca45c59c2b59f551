//! The tables of result codes and log events in the docs match the code.

use teaselcroft_policy::ResultCode;
use teaselcroft_router::Event;

const CODES: &str = include_str!("../../../docs/RESULT-CODES.md");
const EVENTS: &str = include_str!("../../../docs/LOG-EVENTS.md");

fn rows(page: &str) -> Vec<String> {
    page.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_result_code_is_in_its_table() {
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            let (number, name, ran) = (code.number(), code.name(), code.ran().as_str());
            format!("| {number} | {name} | {} | {ran} | {} |", code.status(), code.text())
        })
        .collect();

    assert_eq!(rows(CODES), expected, "\n{}\n", expected.join("\n"));
}

#[test]
fn every_log_event_is_in_its_table() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| format!("| {} | {} | {} |", event.number(), event.name(), event.text().trim()))
        .collect();

    assert_eq!(rows(EVENTS), expected, "\n{}\n", expected.join("\n"));
}

#[test]
fn every_result_code_number_is_unique() {
    let mut codes: Vec<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let count = codes.len();

    codes.sort_unstable();
    codes.dedup();

    assert_eq!(codes.len(), count);
    assert!(ResultCode::ALL.iter().all(|code| ResultCode::from_number(code.number()) == Some(*code)));
}
