//! The catalogue has ascending numbers and matches its page in the documentation.

use std::path::Path;

use hornbeam_events::catalogue;

#[test]
fn numbers_ascend() {
    let numbers: Vec<u16> = catalogue::kinds().iter().map(|k| k.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn page_matches() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = std::fs::read_to_string(&page).unwrap();
    let table = catalogue::markdown();
    assert!(
        text.contains(&table),
        "docs/EVENTS.md differs from the code: replace its table with this one\n{table}"
    );
}
