//! Valid configurations and announcements that tests start from.

use std::net::{Ipv4Addr, SocketAddr};

use hornbeam_model::{
    Announcement, Budgets, Config, Incarnation, IndexHolding, IndexVersion, Limits, Patience,
    Prefer, Revision, SchemaVersion, ServerState, Service, ShardId, ShardRanges,
};

/// Returns a service with the same patience at every hour and schema versions 1 and 2.
pub fn service(patience_ms: u64) -> Service {
    Service {
        patience: Patience::constant(patience_ms),
        prefer: Prefer::Latency,
        schemas: vec![SchemaVersion(1), SchemaVersion(2)],
        budgets: Budgets::default(),
        limits: Limits::default(),
        require_token: false,
    }
}

/// Returns a configuration of one service, at revision 1.
///
/// # Panics
///
/// Panics if `name` is not a valid service name.
pub fn config(name: &str, service: Service) -> Config {
    let mut config = Config { revision: Revision(1), ..Config::default() };
    config.services.insert(name.parse().expect("a valid service name"), service);
    config
}

/// Returns the holding of some shards of an index version, in schema versions 1 and 2.
pub fn holding(
    version: u64,
    shard_count: u32,
    shards: impl IntoIterator<Item = u32>,
) -> IndexHolding {
    IndexHolding {
        version: IndexVersion(version),
        shard_count,
        shards: shards.into_iter().map(ShardId).collect::<ShardRanges>(),
        schemas: vec![SchemaVersion(1), SchemaVersion(2)],
    }
}

/// Returns the first announcement of a ready server with 2 slots and 25 connections.
///
/// # Panics
///
/// Panics if the name of the server, zone or service is not valid.
pub fn announcement(
    server: &str,
    zone: &str,
    service: &str,
    indexes: Vec<IndexHolding>,
) -> Announcement {
    let digest = server.bytes().fold(0u16, |h, b| h.wrapping_mul(31).wrapping_add(u16::from(b)));
    Announcement {
        server: server.parse().expect("a valid server name"),
        incarnation: Incarnation(1),
        seq: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1_024 + digest % 60_000)),
        zone: zone.parse().expect("a valid zone name"),
        service: service.parse().expect("a valid service name"),
        state: ServerState::Ready,
        slots: 2,
        connections: 25,
        indexes,
    }
}
