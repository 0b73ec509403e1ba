//! Prints the encoded size of a registrar's view with shards listed individually, merged into
//! ranges, and with identical holdings listed once; see docs/design/05-merging-views.md.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

use hornbeam_model::{
    Announcement, Incarnation, IndexHolding, IndexVersion, SchemaVersion, ServerState, ShardId,
    ShardRange, ShardRanges,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Number of servers of one registrar at the design size.
const SERVERS: u32 = 1_889;
/// Number of shards of the index, and of one server.
const SHARDS: (u32, u32) = (1_600, 40);

fn announcement(n: u32, shards: ShardRanges) -> Announcement {
    Announcement {
        server: format!("searcher-{n}").parse().expect("a valid name"),
        incarnation: Incarnation(1_796_000_000_000_000 + u64::from(n)),
        seq: 100_000,
        address: SocketAddr::from((Ipv4Addr::new(10, 1, (n >> 8) as u8, n as u8), 9_000)),
        zone: "zone-1".parse().expect("a valid name"),
        service: "planner".parse().expect("a valid name"),
        state: ServerState::Ready,
        slots: 2,
        connections: 25,
        indexes: vec![IndexHolding {
            version: IndexVersion(7),
            shard_count: SHARDS.0,
            shards,
            schemas: vec![SchemaVersion(1), SchemaVersion(2)],
        }],
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(0, |b| b.len())
}

/// Prints the sizes of a view in which server `n` holds the shards `holding(n)`.
fn print_sizes(name: &str, mut holding: impl FnMut(u32) -> Vec<u32>) {
    let (mut single, mut merged, mut shared) = (0, 0, 0);
    let mut seen = HashSet::new();
    for n in 0..SERVERS {
        let shards = holding(n);
        let ranges: ShardRanges = shards.iter().map(|s| ShardId(*s)).collect();
        let empty = encoded_len(&announcement(n, ShardRanges::default()));
        let pairs: Vec<ShardRange> =
            shards.iter().map(|s| ShardRange(ShardId(*s), ShardId(*s))).collect();
        single += empty + encoded_len(&pairs);
        merged += empty + encoded_len(&ranges);
        shared += empty + 2;
        if seen.insert(ranges.clone()) {
            shared += encoded_len(&ranges);
        }
    }
    println!(
        "{name}: individual {single}, merged {merged}, identical holdings once {shared} bytes"
    );
}

fn main() {
    let groups = SHARDS.0 / SHARDS.1;
    print_sizes("adjacent shards", |n| {
        let first = n % groups * SHARDS.1;
        (first..first + SHARDS.1).collect()
    });
    print_sizes("every 40th shard", |n| (0..SHARDS.1).map(|k| k * groups + n % groups).collect());
    let mut rng = SmallRng::seed_from_u64(1);
    print_sizes("random shards, each set on several servers", |n| {
        let mut own = SmallRng::seed_from_u64(u64::from(n % groups));
        let mut all: Vec<u32> = (0..SHARDS.0).collect();
        all.shuffle(&mut own);
        all.truncate(SHARDS.1 as usize);
        all
    });
    print_sizes("random shards, a different set on each server", |_| {
        let mut set = HashSet::new();
        while set.len() < SHARDS.1 as usize {
            set.insert(rng.random_range(0..SHARDS.0));
        }
        set.into_iter().collect()
    });
}
