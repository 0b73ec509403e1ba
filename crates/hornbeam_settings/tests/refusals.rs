//! Invalid settings are refused with file, line, field and remedy.

use std::path::PathBuf;

use hornbeam_settings::Settings;
use yare::parameterized;

const VALID: &str = "instance: a-1
zone: a
http: 127.0.0.1:7001
inner: 127.0.0.1:7101
key_file: key
peers:
  - {instance: a-2, zone: a, http: 127.0.0.1:7002, inner: 127.0.0.1:7102}
";

fn read(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("key"), "a key of enough bytes").unwrap();
    let file: PathBuf = folder.path().join("settings.yaml");
    std::fs::write(&file, text).unwrap();
    Settings::read(&file).map_err(|e| e.to_string())
}

#[test]
fn valid_loads() {
    read(VALID).unwrap();
}

/// The longest body that settings of earlier builds may name fits the default memory.
#[test]
fn longest_body_loads() {
    read(&format!("{VALID}max_body_bytes: 67108864\n")).unwrap();
}

#[parameterized(
    unknown = { "colour: red\n", ":8", "colour" },
    lease = { "lease_ms: 9000\n", ":8: lease_ms", "choose a value in that range" },
    announce = { "announce_every_ms: 800\nlease_ms: 1500\n", ":8: announce_every_ms", "twice within" },
    control = { "roles: [control]\n", ":8: roles", "set data_dir" },
    no_role = { "roles: []\n", ":8: roles", "list entry, control or both" },
    unknown_role = { "roles: [boss]\n", ":8", "boss" },
    two_voters = { "voters: [a-1, a-2]\n", ":8: voters", "1, 3 or 5" },
    unknown_voter = { "voters: [b-9]\n", ":8: voters", "b-9" },
    token = { "operator_token_file: none\n", ":8: operator_token_file", "random bytes" },
    bad_number = { "max_in_flight: many\n", ":8", "" },
    zero = { "max_in_flight: 0\n", ":8: max_in_flight", "range" },
    little_memory = { "memory_mb: 63\n", ":8: memory_mb", "range" },
    long_body = { "max_body_bytes: 8388609\nmemory_mb: 64\n", ":8: max_body_bytes", "raise memory_mb" },
    few_descriptors = { "descriptors: 0\n", ":8: descriptors", "range" },
)]
fn added_line(line: &str, location: &str, remedy: &str) {
    let error = read(&format!("{VALID}{line}")).unwrap_err();
    assert!(error.contains(location), "{error}");
    assert!(error.contains(remedy), "{error}");
}

#[parameterized(
    port = { "http: 127.0.0.1:7001", "http: 127.0.0.1:0", "name the port" },
    unspecified = { "inner: 127.0.0.1:7101", "inner: 0.0.0.0:7101", "address at which peers" },
    same_address = { "inner: 127.0.0.1:7101", "inner: 127.0.0.1:7001", "choose another port" },
    name = { "instance: a-1", "instance: a 1", "remove it" },
    own_peer = { "instance: a-2", "instance: a-1", "without this one" },
    no_key = { "key_file: key", "key_file: nokey", "random bytes" },
    not_ip = { "http: 127.0.0.1:7001", "http: localhost:7001", "" },
)]
fn changed_line(from: &str, to: &str, remedy: &str) {
    let error = read(&VALID.replace(from, to)).unwrap_err();
    assert!(error.contains("settings.yaml:"), "{error}");
    assert!(error.contains(remedy), "{error}");
}

#[test]
fn secret_hidden() {
    let settings = read(VALID).unwrap();
    assert!(!format!("{settings:?}").contains("enough bytes"));
}
