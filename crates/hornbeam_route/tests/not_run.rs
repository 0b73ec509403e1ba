//! Requests that no server ran are refused as such, also if other entries gathered their shards.

mod common;

use std::time::Duration;

use common::{Fault, World, scatter};
use hornbeam_route::{Completion, RefusalKind};

const SECOND: Duration = Duration::from_secs(1);
/// Enough shards for a search to be delegated in groups.
const SHARDS: usize = 40;

/// The refusal of one search after all servers have this fault.
fn refusal_with(fault: Fault, seed: u64) -> (RefusalKind, Option<Duration>) {
    let route = scatter("sweep", SHARDS, 150, 0.9);
    let mut world = World::new(seed, 6, vec![route], vec![Duration::from_millis(5)], 2);
    world.connect_peers();
    common::warm_up(&mut world, 20);
    for shard in 0..SHARDS {
        world.set_fault(&format!("s{shard}"), fault);
    }
    world.content = Some(77);
    world.request_at(0, 0);
    world.run(4 * SECOND);
    let Completion::Refuse(refusal) = world.ended[0].completion else { panic!("answered") };
    (refusal.kind, refusal.retry_after)
}

/// Guards against a 502 for shards that a gathering entry sent in vain.
#[yare::parameterized(
    shed = { Fault::Shed(1.0) },
    refused = { Fault::Refused },
    paused = { Fault::Pause(Duration::from_secs(2)) },
)]
fn nothing_ran(fault: Fault) {
    for seed in 40..44 {
        let (kind, retry_after) = refusal_with(fault, seed);
        assert!(kind.has_not_run(), "seed {seed}: {kind:?}");
        assert!(retry_after.is_some(), "seed {seed}: no time");
    }
}

/// Guards against the promise that a request did not run whose connections were lost.
#[test]
fn may_have_run() {
    let (kind, retry_after) = refusal_with(Fault::Crash(77), 45);
    assert_eq!((kind, retry_after), (RefusalKind::Failed, None));
}
