//! Checks that the tables in the documentation match the code.
//! Run with `UPDATE_DOCS=1` to rewrite them.

use std::fmt::Write;
use std::path::Path;

use daemon::metrics::Counts;
use world::error_kind::ErrorKind;

const START: &str = "<!-- table: made by a test -->\n";
const END: &str = "<!-- end of table -->";

/// Compares the table of a page with the expected one, or rewrites it with `UPDATE_DOCS`.
fn check_table(file: &str, table: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(file);
    let text = std::fs::read_to_string(&path).expect("page");
    let (before, rest) = text.split_once(START).expect("start of the table");
    let (committed, after) = rest.split_once(END).expect("end of the table");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let updated = format!("{before}{START}{table}{END}{after}");
        std::fs::write(&path, updated).expect("writable");
        return;
    }
    assert_eq!(committed, table, "{file}: run with UPDATE_DOCS=1");
}

#[test]
fn callers_page_lists_every_error() {
    let mut table = String::from("| `pg-error` | status | ran | advice | wait (ms) | meaning |\n");
    table.push_str("|---|---|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let row = kind.response();
        let _ = writeln!(
            table,
            "| `{}` | {} | {} | {} | {} | {} |",
            row.code,
            row.status,
            row.ran.as_str(),
            row.advice.as_str(),
            row.retry_after_ms,
            row.message
        );
    }
    check_table("callers.md", &table);
}

#[test]
fn metrics_page_lists_every_metric() {
    let mut table = String::from("| metric | kind |\n|---|---|\n");
    for name in Counts::NAMES {
        let _ = writeln!(table, "| `plantaingauge.{name}` | counter |");
    }
    check_table("operations/metrics.md", &table);
}
