//! Messages of the build before teams, as recorded bytes: this build reads them, and it writes the same
//! ones. A field added to one of these types would shift the fields after it.

use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_model::{
    Fingerprint, RequestRate, Route, RoutedService, Routing, Scatter, TableVersion, Target,
};
use hornbeam_protocol::discovery::{EntryInfo, FeedDown, FeedUp, FleetStatus};
use hornbeam_protocol::gather::{GatherRequest, GatherUp};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, b| {
        write!(text, "{b:02x}").unwrap();
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Checks that `recorded` is read as `message`, and that `message` is written as `recorded`.
fn check<T: Debug + DeserializeOwned + PartialEq + Serialize>(message: &T, recorded: &str) {
    assert_eq!(hex(&postcard::to_allocvec(message).unwrap()), recorded, "{message:?}");
    assert_eq!(postcard::from_bytes::<T>(&bytes(recorded)).unwrap(), *message);
}

fn route(name: &str, timeout_ms: u32) -> Route {
    let shards = vec!["tablet-a".parse().unwrap(), "tablet-b".parse().unwrap()];
    Route {
        name: name.parse().unwrap(),
        host: "plots.example".into(),
        prefix: "/lookup/".into(),
        idempotent: true,
        timeout_ms,
        objective_ms: 250,
        priority: 2,
        max_attempts: 3,
        target: Target::Scatter(Scatter { shards, limit: 5, min_covered_ppm: 750_000 }),
    }
}

fn table(version: u64, timeout_ms: u32) -> Routing {
    let service = |name: &str| (name.parse().unwrap(), RoutedService { max_connections: 26 });
    Routing {
        version: TableVersion(version),
        routes: vec![Arc::new(route("lookup", timeout_ms))],
        services: [service("tablet-a"), service("tablet-b")].into(),
        ..Routing::default()
    }
}

#[test]
fn follow() {
    let address: SocketAddr = "10.0.0.7:9100".parse().unwrap();
    let (entry, zone) = ("e0".parse().unwrap(), "olomouc".parse().unwrap());
    check(&FeedUp::Follow(EntryInfo { entry, address, zone }), FOLLOW);
}

#[test]
fn fleet_status() {
    let status = FleetStatus {
        controllers: vec!["10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap()],
        entries: 80,
        table: TableVersion(300),
        demand: RequestRate(1_234_567),
    };
    check(&FeedDown::FleetStatus(status), FLEET_STATUS);
}

#[test]
fn whole_table() {
    check(&FeedDown::Table(Arc::new(table(7, 800))), TABLE);
}

#[test]
fn table_delta() {
    let delta = table(8, 900).delta_from(&table(7, 800));
    check(&FeedDown::TableDelta(Box::new(delta)), TABLE_DELTA);
}

#[test]
fn gather_request() {
    let request = GatherRequest {
        group: 17,
        request: "r1".into(),
        route: route("lookup", 800),
        head: b"GET /lookup/1 HTTP/1.1\r\nhost: plots.example\r\n".to_vec(),
        body: b"sward".to_vec(),
        due_us: 160_000,
        left_us: 790_000,
        fingerprint: Fingerprint { caller: 0, content: 5, query: Some(9), service: None },
        demand_ppm: 500_000,
    };
    check(&GatherUp::Gather(Box::new(request)), GATHER_REQUEST);
}

// Written by the build of commit 99c03a4.
const FOLLOW: &str = "00026530000a0000078c47076f6c6f6d6f7563";
const FLEET_STATUS: &str = "02020831302e302e302e310831302e302e302e3250ac0287ad4b";
const TABLE: &str = "040701066c6f6f6b75700d706c6f74732e6578616d706c65082f6c6f6f6b75702f01a006fa01\
    02030202087461626c65742d61087461626c65742d6205b0e32d02087461626c65742d611a087461626c65742d621a\
    808001808010b817987500";
const TABLE_DELTA: &str = "0307080001066c6f6f6b75700d706c6f74732e6578616d706c65082f6c6f6f6b75702f018407\
    fa0102030202087461626c65742d61087461626c65742d6205b0e32d00808001808010b8179875";
const GATHER_REQUEST: &str = "0111027231066c6f6f6b75700d706c6f74732e6578616d706c65082f6c6f6f6b75702f01a0\
    06fa0102030202087461626c65742d61087461626c65742d6205b0e32d2d474554202f6c6f6f6b75702f3120485454\
    502f312e310d0a686f73743a20706c6f74732e6578616d706c650d0a05737761726480e209f09b300005010900a0c2\
    1e";
