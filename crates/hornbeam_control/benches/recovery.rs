//! Measures changes per second, disk size and recovery time of a voter on a real disk.
//!
//! Run with `cargo bench -p hornbeam_control --bench recovery`; writes docs/capacity/recovery.json.
//! The results are wall-clock times, so the benchmark checks no bounds and is not part of CI.

use std::path::Path;
use std::time::Instant;

use hornbeam_control::{Proposal, ProposalId, RaftInput, RaftOutput, RaftParams, Voter};
use hornbeam_model::{Change, InstanceId, Mono, Revision};
use hornbeam_protocol::control::{ChangeCommand, DiskId};
use hornbeam_storage::Folder;
use hornbeam_testkit::samples;

/// Numbers of changes for which throughput, disk size and recovery time are measured.
const SIZES: [u64; 3] = [10_000, 50_000, 100_000];
/// Number of services that the changes update in turn.
const SERVICES: u64 = 50;
/// Applied entries after which a snapshot is taken; the value of the node program.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;

type Error = Box<dyn std::error::Error>;

fn open(path: &Path, now: Mono) -> Result<Voter, Error> {
    let me: InstanceId = "node-0".parse()?;
    let params = RaftParams {
        me: me.clone(),
        initial_voters: vec![me],
        nonce: 1,
        seed: 1,
        snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
        repair: None,
        founding_wait: std::time::Duration::ZERO,
    };
    let folder = Folder::open(path)?;
    Ok(Voter::open(now, folder, params, DiskId(1), &mut Vec::new())?)
}

fn become_leader(voter: &mut Voter) -> Mono {
    let mut now = Mono::default();
    for _ in 0..100 {
        now = Mono(now.0 + 100_000);
        voter.step(now, RaftInput::Tick, &mut Vec::new());
    }
    now
}

fn propose(voter: &mut Voter, now: Mono, n: u64) -> Result<(), Error> {
    let change = Change::PutService {
        name: format!("service-{}", n % SERVICES).parse()?,
        service: samples::service(100 + n % 900),
    };
    let command = ChangeCommand {
        id: format!("ctl-{n:032x}").parse()?,
        expect: Revision(n),
        change,
        unix_ms: 1_796_000_000_000,
    };
    let mut out: Vec<RaftOutput> = Vec::new();
    let proposal = Proposal::Change(command);
    voter.step(now, RaftInput::Propose { id: ProposalId(n), proposal }, &mut out);
    if out.iter().any(|o| matches!(o, RaftOutput::ChangeCommitted { .. })) {
        return Ok(());
    }
    Err(format!("change {n} was not accepted: {out:?}").into())
}

fn measure(count: u64) -> Result<serde_json::Value, Error> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("data");
    let mut voter = open(&path, Mono::default())?;
    let now = become_leader(&mut voter);
    let started_at = Instant::now();
    for n in 0..count {
        propose(&mut voter, now, n)?;
    }
    let took = started_at.elapsed().as_secs_f64();
    drop(voter);
    let size = {
        let folder = Folder::open(&path)?;
        folder.size()?
    };
    let started_at = Instant::now();
    let mut voter = open(&path, Mono::default())?;
    let recovery = started_at.elapsed().as_secs_f64();
    become_leader(&mut voter);
    let revision = voter.raft().map(|r| r.state().config.revision.0).unwrap_or_default();
    assert_eq!(revision, count, "the latest configuration is recovered");
    let line = serde_json::json!({
        "changes": count,
        "changes_per_s": count as f64 / took,
        "disk_bytes": size,
        "recovery_ms": recovery * 1e3,
    });
    println!("{line}");
    Ok(line)
}

fn main() -> Result<(), Error> {
    // `cargo test` also runs benchmarks, without --bench; nothing is measured then.
    if !std::env::args().any(|a| a == "--bench") {
        return Ok(());
    }
    let lines = SIZES.into_iter().map(measure).collect::<Result<Vec<_>, _>>()?;
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity/recovery.json");
    std::fs::write(&path, serde_json::to_string_pretty(&lines)? + "\n")?;
    println!("{} written", path.display());
    Ok(())
}
