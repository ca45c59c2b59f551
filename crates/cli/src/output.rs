//! Prints results to standard output, as tables or JSON.

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

/// Prints `value` as indented JSON; a failure is reported on standard error only.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("teaselcroft: cannot serialize the result as JSON: {error}"),
    }
}

/// Prints a table with the column `titles`, at its natural width.
pub fn print_table(titles: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(titles.to_vec());
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}
