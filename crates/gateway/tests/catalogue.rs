//! The catalogue in the docs says what the code says.

use teaselcroft_gateway::Event;

const PAGE: &str = include_str!("../../../docs/GATEWAY-EVENTS.md");

#[test]
fn every_event_is_in_its_catalogue() {
    let rows: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| 6")).collect();

    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| format!("| {} | {} | {} |", event.number(), event.name(), event.text().trim()))
        .collect();

    assert_eq!(rows, expected, "\n{}\n", expected.join("\n"));
}
