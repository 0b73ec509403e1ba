//! Valid and invalid settings of entries and controllers.

use hornbeam_settings::{FleetSettings, ZoneSpillSettings};
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
    assert_eq!(settings.warm_up.overshoot, 1.5);
}

#[test]
fn zone_spill_is_optional() {
    assert_eq!(read(VALID).unwrap().zone_spill, None);
    let all_measured = read(&format!("{VALID}zone_spill: {{}}\n")).unwrap().zone_spill;
    assert_eq!(all_measured, Some(ZoneSpillSettings::default()));
    let text = format!("{VALID}zone_spill: {{min_gain_ms: 9, byte_cost: 0.5}}\n");
    assert_eq!(read(&text).unwrap().zone_spill.unwrap().min_gain_ms, Some(9.0));
}

#[test]
fn separate_bind_address() {
    let settings = read(&format!("{VALID}bind: 127.0.0.77\n")).unwrap();
    let advertised = settings.feed_address(&settings.inner_name().unwrap()).unwrap();
    assert_eq!(settings.bind_address(advertised).to_string(), "127.0.0.77:7380");
}

/// The templates fill in null or an empty name for a deployment without zones and regions.
#[parameterized(
    absent = { "", &[] },
    empty = { "zones:\nregion: \"\"\n", &[] },
    own = { "region: east\n", &[("olomouc", "east")] },
    listed = { "zones: {\"olomouc\":\"east\",\"tabor\":\"west\"}\nregion: north\n",
        &[("olomouc", "east"), ("tabor", "west")] },
)]
fn regions(lines: &str, expected: &[(&str, &str)]) {
    let regions = read(&format!("{VALID}{lines}")).unwrap().zone_regions();
    let named = regions.iter().map(|(zone, region)| (zone.as_str(), region.as_str()));
    assert_eq!(named.collect::<Vec<_>>(), expected);
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
    warm_up = { "warm_up: {overshoot: 0.5, tolerance: 5}\n", "use at least 1" },
    quota_window = { "quota: {window_s: 0}\n", "use at least 1" },
    quota_overshoot = { "quota: {overshoot: 2}\n", "use 0 to 1" },
    quota_tolerance = { "quota: {tolerance: -1}\n", "use 0 or more" },
    log = { "log: {failures_per_s: -1, others_per_s: 3}\n", "use 0 or more" },
    spill_time = { "zone_spill: {min_gain_ms: -1}\n", "use 0 to 60000" },
    spill_number = { "zone_spill: {byte_cost: .nan}\n", "use 0 to 60000" },
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
