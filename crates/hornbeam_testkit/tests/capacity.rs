//! Checks that docs/CAPACITY.md contains the table computed from the measured slopes.

use std::path::{Path, PathBuf};

use hornbeam_testkit::capacity::{self, Recovery, Slopes};

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

#[test]
fn page_matches() {
    let read = |name: &str| std::fs::read_to_string(docs(name)).unwrap();
    let slopes: Slopes = serde_json::from_str(&read("capacity/slopes.json")).unwrap();
    let recovery: Vec<Recovery> = serde_json::from_str(&read("capacity/recovery.json")).unwrap();
    let table = capacity::table(&slopes, &recovery);
    let page = read("CAPACITY.md");
    assert!(
        page.contains(&table),
        "docs/CAPACITY.md does not contain the current table; replace it with this one:\n{table}"
    );
}
