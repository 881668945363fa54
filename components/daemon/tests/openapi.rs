//! Checks that the committed OpenAPI description of the callers' API matches the code.
//! Run with `UPDATE_DOCS=1` to rewrite it.

use std::path::Path;

#[test]
fn committed_description_is_current() {
    let api = daemon::caller_api::api().expect("consistent API");
    let version = semver::Version::new(1, 0, 0);
    let document = api.openapi("plantaingauge callers' API", version);
    let json = document.json().expect("JSON");
    let mut text = serde_json::to_string_pretty(&json).expect("text");
    text.push('\n');
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &text).expect("writable");
    }
    let committed = std::fs::read_to_string(&path).expect("docs/openapi.json");
    assert_eq!(committed, text, "run with UPDATE_DOCS=1");
}
