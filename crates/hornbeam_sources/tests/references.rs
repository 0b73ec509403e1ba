//! Sources outside tests refer to nothing that the platform refuses before it builds anything: the folder of its own
//! programs, preloaded libraries, the tracing of other processes, memory that processes share. A landing that did
//! passed all tests and could not be built there.

use std::path::{Path, PathBuf};

use hornbeam_sources::reference::{Finding, Rule, findings};
use yare::parameterized;

const RULES: [Rule; 4] = [
    Rule { subject: "the programs of the platform", matches: names_platform_programs },
    Rule {
        subject: "preloading",
        matches: |line| line.contains("preload") || line.contains("ld_audit"),
    },
    Rule { subject: "the tracing of other processes", matches: names_tracing },
    Rule { subject: "shared memory", matches: names_shared_memory },
];

fn names_platform_programs(line: &str) -> bool {
    ["../given", "given/kit", "kit/more", "fleetbench"].iter().any(|term| line.contains(term))
}

fn names_tracing(line: &str) -> bool {
    let terms = ["ptrace", "process_vm_", "strace", "perf_event_open", "pidfd_getfd"];
    let is_memory_file =
        line.split_once("/proc/").and_then(|(_, rest)| rest.split_once('/')).is_some_and(
            |(_, file)| starts_with_word(file, "mem") || starts_with_word(file, "syscall"),
        );
    is_memory_file || terms.iter().any(|term| line.contains(term))
}

fn names_shared_memory(line: &str) -> bool {
    let terms = ["memfd", "map_shared", "shared_memory", "shared memory"];
    // Not the end of a word such as the name of a hash map.
    let is_shm = line
        .match_indices("shm")
        .any(|(at, _)| !line[..at].ends_with(|c: char| c.is_ascii_alphabetic()));
    is_shm || terms.iter().any(|term| line.contains(term))
}

fn starts_with_word(text: &str, word: &str) -> bool {
    text.strip_prefix(word).is_some_and(|rest| !rest.starts_with(|c: char| c.is_alphanumeric()))
}

fn check(root: &Path) -> Vec<Finding> {
    findings(root, &RULES).unwrap()
}

#[test]
fn repository() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap();
    assert!(root.join("deploy/system.toml").is_file(), "{} is the repository", root.display());
    let lines: Vec<String> = check(&root).iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}

/// Writes a file with this line below an empty folder and returns what is found there.
fn check_line(file: &str, line: &str) -> Vec<Finding> {
    let root = tempfile::tempdir().unwrap();
    let path = root.path().join(file);
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    if file.starts_with("crates/a/") {
        std::fs::write(root.path().join("crates/a/Cargo.toml"), "").unwrap();
    }
    std::fs::write(path, format!("\n{line}\n")).unwrap();
    check(root.path())
}

#[parameterized(
    kit = { "../given/kit/more/system/bin/anything", "the programs of the platform" },
    kit_elsewhere = { "elsewhere/given/kit/bin", "the programs of the platform" },
    bench = { "Command::new(\"fleetbench\")", "the programs of the platform" },
    preload = { "command.env(\"LD_PRELOAD\", library)", "preloading" },
    preload_file = { "/etc/ld.so.preload", "preloading" },
    audit = { "LD_AUDIT=library.so", "preloading" },
    ptrace = { "nix::sys::ptrace::attach(pid)", "the tracing of other processes" },
    ptrace_constant = { "libc::PTRACE_SEIZE", "the tracing of other processes" },
    foreign_memory = { "process_vm_readv(pid)", "the tracing of other processes" },
    memory_file = { "format!(\"/proc/{pid}/mem\")", "the tracing of other processes" },
    mounted = { "Path::new(\"/dev/shm\")", "shared memory" },
    posix = { "shm_open(name)", "shared memory" },
    system_v = { "libc::shmget(key)", "shared memory" },
    file_in_memory = { "memfd_create(name)", "shared memory" },
    mapping = { "MAP_SHARED", "shared memory" },
)]
fn found_everywhere(line: &str, subject: &str) {
    let files = [
        "Cargo.toml",
        "crates/a/src/lib.rs",
        "crates/a/src/deep/down.rs",
        "crates/a/src/tests/mod.rs",
        "crates/a/benches/speed.rs",
        "crates/a/build.rs",
        "crates/a/Cargo.toml",
        "crates/a/examples/one.rs",
        "platform/src/lib.rs",
        "platform/build.rs",
        "examples/single/run.sh",
        "examples/single/node.yaml",
        "deploy/system.toml",
        "review/build.sh",
        ".ci/run",
        ".cargo/config.toml",
    ];
    for file in files {
        let found = check_line(file, line);
        let [finding] = found.as_slice() else { panic!("{file}: {found:?}") };
        assert_eq!((finding.path.as_path(), finding.line), (Path::new(file), 2));
        assert_eq!((finding.subject, finding.text.as_str()), (subject, line));
    }
}

#[parameterized(
    tests = { "crates/a/tests/one.rs" },
    common = { "crates/a/tests/common/mod.rs" },
    document = { "docs/MEASURES.md" },
    root_document = { "README.md" },
    build_folder = { "target/release/build/out.rs" },
    journal = { "journal/one.json" },
)]
fn left_out(file: &str) {
    assert_eq!(check_line(file, "/dev/shm LD_PRELOAD ptrace fleetbench"), Vec::new());
}

#[parameterized(
    hash_map = { "use std::collections::HashMap;" },
    hash_map_name = { "let hashmap = 1;" },
    descriptors = { "std::fs::read_dir(format!(\"/proc/{pid}/fd\"))" },
    status = { "std::fs::read_to_string(format!(\"/proc/{pid}/status\"))" },
    own_memory = { "memory_mb: 256" },
)]
fn allowed(line: &str) {
    assert_eq!(check_line("crates/a/src/lib.rs", line), Vec::new());
}

/// A file of tests that a source includes is part of that source, and so are the modules beside it.
#[parameterized(
    module = { "#[path = \"../tests/common/mod.rs\"]", "common/mod.rs" },
    module_beside = { "#[path = \"../tests/common/mod.rs\"]", "common/folders.rs" },
    text = { "include!(\"../tests/folders.rs\");", "folders.rs" },
)]
fn included_test_file(inclusion: &str, file: &str) {
    let root = tempfile::tempdir().unwrap();
    let package = root.path().join("crates/a");
    std::fs::create_dir_all(package.join("tests/common")).unwrap();
    std::fs::create_dir_all(package.join("examples")).unwrap();
    std::fs::write(package.join("Cargo.toml"), "").unwrap();
    std::fs::write(package.join("tests/common/mod.rs"), "").unwrap();
    std::fs::write(package.join("tests").join(file), "/dev/shm\n").unwrap();
    assert_eq!(check(root.path()), Vec::new());
    std::fs::write(package.join("examples/one.rs"), inclusion).unwrap();
    assert_eq!(check(root.path()).len(), 1);
}
