//! Prints results as tables or JSON.

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

/// Prints `value` as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("teaselcroft: the result cannot be written as JSON: {error}"),
    }
}

/// Prints a table.
pub fn print_table(head: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(head.to_vec());
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}
