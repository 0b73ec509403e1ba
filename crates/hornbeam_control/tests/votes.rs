//! Durability of votes when a write fails or the process restarts.

use hornbeam_control::{RaftInput, RaftOutput, RaftParams, Voter};
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{
    ControlBody, ControlMessage, DiskId, HelloVerdict, LogIndex, LogPos, Term,
};
use hornbeam_storage::{Folder, MemoryFolder};

const NOW: Mono = Mono::from_millis(10);

fn name(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn open(disk: &MemoryFolder, nonce: u64) -> Voter {
    let params = RaftParams {
        me: name("b"),
        initial_voters: vec![name("a"), name("b"), name("c")],
        nonce,
        seed: 1,
        snapshot_interval_entries: 100,
        repair: None,
        founding_wait: std::time::Duration::ZERO,
    };
    let folder = Folder::Memory(disk.clone());
    Voter::open(Mono::default(), folder, params, DiskId(2), &mut Vec::new()).unwrap()
}

fn step(voter: &mut Voter, from: &str, disk: u64, term: u64, body: ControlBody) -> Vec<RaftOutput> {
    let message = ControlMessage { disk: DiskId(disk), term: Term(term), body };
    let mut out = Vec::new();
    voter.step(NOW, RaftInput::Message { from: name(from), message }, &mut out);
    out
}

/// Lets `a` and `c` exchange hellos with the voter, so that it takes part.
fn verify(voter: &mut Voter, nonce: u64, verdict: HelloVerdict) {
    let last = LogPos::default();
    for (from, disk) in [("a", 1), ("c", 3)] {
        step(voter, from, disk, 0, ControlBody::Hello { boot: 1, nonce: disk, last });
        step(voter, from, disk, 0, ControlBody::HelloReply { nonce, verdict });
    }
}

fn granted(out: &[RaftOutput]) -> Option<bool> {
    out.iter().find_map(|o| match o {
        RaftOutput::Send { message, .. } => match message.body {
            ControlBody::VoteReply { granted } => Some(granted),
            _ => None,
        },
        _ => None,
    })
}

fn request_vote(voter: &mut Voter, from: &str, disk: u64, term: u64) -> Option<bool> {
    let body = ControlBody::Vote { last: LogPos::default(), leadership_transfer: false };
    granted(&step(voter, from, disk, term, body))
}

#[test]
fn keeps_vote() {
    let disk = MemoryFolder::default();
    let mut voter = open(&disk, 7);
    verify(&mut voter, 7, HelloVerdict::Blank);
    assert_eq!(request_vote(&mut voter, "a", 1, 5), Some(true));
    drop(voter);
    let mut voter = open(&disk, 8);
    verify(&mut voter, 8, HelloVerdict::Known);
    assert_eq!(
        request_vote(&mut voter, "c", 3, 5),
        Some(false),
        "the voter has voted for a in this term"
    );
    assert_eq!(
        request_vote(&mut voter, "a", 1, 5),
        Some(true),
        "a gets the same vote when it requests it again"
    );
}

#[test]
fn vote_needs_disk() {
    // A vote whose write fails is not granted, and the control role stops.
    for steps in 0..2 {
        let disk = MemoryFolder::default();
        let mut voter = open(&disk, 7);
        verify(&mut voter, 7, HelloVerdict::Blank);
        disk.crash_after(steps);
        let granted = request_vote(&mut voter, "a", 1, 5);
        assert_eq!(granted, None, "after {steps} writes");
        assert!(voter.raft().is_none(), "the control role has stopped");
        disk.restart();
        let mut voter = open(&disk, 8);
        verify(&mut voter, 8, HelloVerdict::Known);
        assert_eq!(request_vote(&mut voter, "c", 3, 6), Some(true));
    }
}

#[test]
fn silent_until_verified() {
    let disk = MemoryFolder::default();
    let mut voter = open(&disk, 7);
    assert_eq!(
        request_vote(&mut voter, "a", 1, 5),
        None,
        "no other voter has verified the disk yet"
    );
    let append = ControlBody::Append {
        prev: LogPos::default(),
        entries: Vec::new(),
        commit: LogIndex(0),
        round: 1,
    };
    assert!(step(&mut voter, "a", 1, 5, append).is_empty(), "entries are not acknowledged either");
}

#[test]
fn full_disk() {
    let disk = MemoryFolder::default();
    let mut voter = open(&disk, 7);
    verify(&mut voter, 7, HelloVerdict::Blank);
    disk.set_full(true);
    assert_eq!(request_vote(&mut voter, "a", 1, 5), None);
    disk.set_full(false);
    assert_eq!(
        request_vote(&mut voter, "a", 1, 6),
        None,
        "the control role stays stopped until a restart"
    );
}
