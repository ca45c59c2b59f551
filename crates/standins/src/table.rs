//! Renders a report as text tables for a terminal.

use comfy_table::{ContentArrangement, Table, presets};

use crate::report::Report;

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(head.to_vec());
    table
}

/// The report as text; `targets` gives the target of a class in milliseconds.
pub fn render(report: &Report, targets: impl Fn(&str) -> u64) -> String {
    let head = [
        "class",
        "target",
        "attained",
        "p50",
        "p95",
        "p99",
        "first p95",
        "sent",
        "whole",
        "not run",
        "unknown",
        "lost",
    ];
    let mut classes = table(&head);
    for (name, class) in &report.classes {
        classes.add_row(vec![
            name.clone(),
            format!("{} ms", targets(name)),
            format!("{:.1}%", class.attainment * 100.0),
            class.total_ms.p50.to_string(),
            class.total_ms.p95.to_string(),
            class.total_ms.p99.to_string(),
            class.ttft_ms.p95.to_string(),
            class.sent.to_string(),
            class.whole.to_string(),
            class.not_run.to_string(),
            class.unknown.to_string(),
            class.lost.to_string(),
        ]);
    }
    let mut promises = table(&["promise", "checked", "violations"]);
    for promise in &report.promises {
        promises.add_row(vec![promise.name.clone(), promise.checked.to_string(), promise.violations.to_string()]);
    }
    format!(
        "{classes}\n\ngoodput: {:.1} requests/s, {:.0} tokens/s in target; wasted: {} tokens, {:.2}%\n\n{promises}",
        report.goodput.requests_per_s,
        report.goodput.tokens_per_s,
        report.wasted_tokens.tokens,
        report.wasted_tokens.share * 100.0,
    )
}
