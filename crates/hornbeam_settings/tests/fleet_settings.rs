//! Valid and invalid settings of entries and controllers.

use hornbeam_settings::FleetSettings;
use yare::parameterized;

const VALID: &str = "instance: entry-1
zone: olomouc
address: 127.0.0.9
inner_port: 7380
seeds: [\"127.0.0.1:8106\", \"127.0.0.2:8106\"]
key: shared
callers: 127.0.0.9:8104
heartbeat_ms: 1200
grace_s: 6
";

fn read(text: &str) -> Result<FleetSettings, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fleet.yaml");
    std::fs::write(&file, text).unwrap();
    FleetSettings::read(&file).map_err(|e| e.to_string())
}

#[test]
fn valid_loads() {
    let settings = read(VALID).unwrap();
    assert_eq!(settings.seed_names().len(), 2);
    assert_eq!(settings.inner_name().unwrap().as_str(), "127.0.0.9");
    let seed = &settings.seed_names()[0];
    assert_eq!(settings.feed_address(seed).unwrap().to_string(), "127.0.0.1:7380");
    assert_eq!(settings.control_address(seed).unwrap().to_string(), "127.0.0.1:7381");
    assert_eq!(settings.target_voters(), 1);
}

#[test]
fn separate_bind_address() {
    let settings = read(&format!("{VALID}bind: 127.0.0.77\n")).unwrap();
    let advertised = settings.feed_address(&settings.inner_name().unwrap()).unwrap();
    assert_eq!(settings.bind_address(advertised).to_string(), "127.0.0.77:7380");
}

#[test]
fn revocation_window() {
    let window = |line: &str| {
        let settings = read(&format!("{VALID}{line}")).unwrap();
        settings.revocation.strict_window().map(|w| w.as_millis())
    };
    assert_eq!(window(""), None);
    assert_eq!(window("revocation: {strict: false, window_ms: 700}\n"), None);
    assert_eq!(window("revocation: {strict: true, window_ms: 700}\n"), Some(700));
    // A platform that does not state the values leaves them empty.
    assert_eq!(window("revocation:\n  strict:\n  window_ms:\n"), None);
    assert_eq!(window("revocation:\n  strict: true\n  window_ms:\n"), Some(5_000));
}

#[parameterized(
    unknown = { "colour: red\n", "colour" },
    no_folder = { "api: 127.0.0.9:8106\n", "data_dir" },
    ratio = { "budget: {ratio: 2, window_s: 10, allowance: 3}\n", "use 0 to 1" },
    window = { "budget: {ratio: 0.1, window_s: 0, allowance: 3}\n", "use at least 1" },
    log = { "log: {failures_per_s: -1, others_per_s: 3}\n", "use 0 or more" },
    mistyped = { "tolerated_losses: many\n", "" },
)]
fn added_line(line: &str, expected: &str) {
    let error = read(&format!("{VALID}{line}")).unwrap_err();
    assert!(error.contains("fleet.yaml") && error.contains(expected), "{error}");
}

#[parameterized(
    nothing_to_do = { "callers: 127.0.0.9:8104\n", "", "set callers" },
    no_grace = { "grace_s: 6", "grace_s: 0.2", "use at least 1" },
    no_heartbeat = { "heartbeat_ms: 1200", "heartbeat_ms: 0", "use 100 or more" },
)]
fn changed_line(from: &str, to: &str, expected: &str) {
    let error = read(&VALID.replace(from, to)).unwrap_err();
    assert!(error.contains(expected), "{error}");
}
