//! Runs stand-in backend servers.

use hornbeam_events::outln;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use hornbeam_model::{
    Incarnation, IndexHolding, IndexVersion, SchemaVersion, ShardId, ShardRanges, Zone,
};
use hornbeam_standin::{Behaviour, StandIn, StandInParams};

use crate::args::StandinsArgs;

/// Parses a list of addresses separated by commas.
pub fn addresses(list: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |part: &str| {
        SocketAddr::from_str(part.trim())
            .map_err(|_| format!("{part:?} is not ip:port: correct it"))
    };
    list.split(',').map(parse).collect()
}

/// Shards that stand-in `i` of `count` holds, so that each shard has `replicas` holders.
pub fn shards_of(i: u32, count: u32, shards: u32, replicas: u32) -> ShardRanges {
    let groups = (count / replicas.max(1)).max(1);
    let group = i % groups;
    (0..shards).filter(|s| s % groups == group).map(ShardId).collect()
}

/// Runs stand-ins until interrupted.
pub fn run(args: &StandinsArgs) -> Result<(), String> {
    let registrars = addresses(&args.registrars)?;
    let runtime = crate::runtime(2)?;
    runtime.block_on(async {
        for i in 0..args.count {
            let params = params(args, i, &registrars)?;
            StandIn::start(params).await.map_err(|e| e.to_string())?;
        }
        outln!("{} stand-ins run; stop them with ctrl-c", args.count);
        tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
    })
}

fn params(args: &StandinsArgs, i: u16, registrars: &[SocketAddr]) -> Result<StandInParams, String> {
    let count = u32::from(args.count);
    let started = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let zone: Zone = args.zone.parse().map_err(|e| format!("{e}"))?;
    let name = format!("{}-{zone}-{i}", args.service);
    let mut registrars = registrars.to_vec();
    let first = usize::from(i) % registrars.len();
    registrars.rotate_left(first);
    Ok(StandInParams {
        server: name.parse().map_err(|e| format!("{e}"))?,
        zone,
        service: args.service.parse().map_err(|e| format!("{e}"))?,
        address: SocketAddr::new(args.listen.ip(), args.listen.port() + i),
        registrars,
        slots: args.slots,
        connections: args.connections,
        indexes: vec![IndexHolding {
            version: IndexVersion(args.index),
            shard_count: args.shards,
            shards: shards_of(u32::from(i), count, args.shards, args.replicas),
            schemas: vec![SchemaVersion(1), SchemaVersion(2)],
        }],
        behaviour: Behaviour {
            service_us: args.service_us,
            straggle_per_10k: args.straggle_per_10k,
            ..Behaviour::default()
        },
        incarnation: Incarnation(started),
        seed: u64::from(i) + 1,
    })
}
