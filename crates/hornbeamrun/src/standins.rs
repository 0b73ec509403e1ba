//! Runs stand-in backend servers.

use hornbeam_events::outln;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hornbeam_model::{
    Incarnation, IndexHolding, IndexVersion, SchemaVersion, ShardId, ShardRanges, Zone,
};
use hornbeam_standin::routed::{self, RoutedParams};
use hornbeam_standin::{Behaviour, StandIn, StandInParams};

use crate::args::StandinsArgs;

/// Parses `ip:port` addresses that are separated by commas.
pub fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |address: &str| {
        SocketAddr::from_str(address.trim())
            .map_err(|_| format!("{address:?} is not ip:port: correct it"))
    };
    text.split(',').map(parse).collect()
}

/// Returns the shards that stand-in `i` of `count` holds, so that `replicas` stand-ins hold each
/// shard.
pub fn shards_of(i: u32, count: u32, shards: u32, replicas: u32) -> ShardRanges {
    let groups = (count / replicas.max(1)).max(1);
    let group = i % groups;
    (0..shards).filter(|s| s % groups == group).map(ShardId).collect()
}

/// Runs stand-ins until SIGINT.
pub fn run(args: &StandinsArgs) -> Result<(), String> {
    let runtime = crate::runtime(2)?;
    if let Some(controllers) = &args.controllers {
        return runtime.block_on(run_routed(args, parse_addresses(controllers)?));
    }
    let registrars = args
        .registrars
        .as_deref()
        .ok_or("neither --registrars nor --controllers is set: pass one of them")?;
    let registrars = parse_addresses(registrars)?;
    runtime.block_on(async {
        for i in 0..args.count {
            let params = params(args, i, &registrars)?;
            StandIn::start(params).await.map_err(|e| e.to_string())?;
        }
        outln!("{} stand-ins are running; stop them with ctrl-c", args.count);
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

/// Runs stand-ins that serve routed requests until SIGINT.
async fn run_routed(args: &StandinsArgs, controllers: Vec<SocketAddr>) -> Result<(), String> {
    let controllers = Arc::new(controllers);
    let mut running = Vec::new();
    for i in 0..args.count {
        let shard = u32::from(i) % args.shards.max(1);
        let service = match args.shards {
            0 | 1 => args.service.clone(),
            _ => format!("{}-{shard}", args.service),
        };
        let params = RoutedParams {
            name: format!("{service}-{}-{i}", args.zone).parse().map_err(|e| format!("{e}"))?,
            service: service.parse().map_err(|e| format!("{e}"))?,
            zone: args.zone.parse().map_err(|e| format!("{e}"))?,
            listen: SocketAddr::new(args.listen.ip(), args.listen.port() + i),
            advertise: None,
            work: Duration::from_micros(args.service_us),
            controllers: controllers.clone(),
            on_event: Arc::new(|_| {}),
        };
        let (listen, started) = (params.listen, routed::start(params).await);
        let started = started.map_err(|e| format!("{listen} cannot be bound ({e}): free it"));
        running.push(started?);
    }
    outln!("{} stand-ins are running; stop them with ctrl-c", running.len());
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
}
