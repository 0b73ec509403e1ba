//! Claims for the tests of this crate.

use hornbeam_model::Incarnation;
use hornbeam_protocol::discovery::{ClaimOrder, LifeStage, ServerClaim, ServerInfo};

/// Returns a claim of server `name`; its info is the same each time.
pub fn claim(name: &str, incarnation: u64, stage: LifeStage, seq: u64) -> ServerClaim {
    ServerClaim {
        server: name.parse().unwrap(),
        order: ClaimOrder { incarnation: Incarnation(incarnation), stage, seq },
        info: Some(ServerInfo {
            service: "planner".parse().unwrap(),
            address: "127.0.0.1:9001".parse().unwrap(),
            zone: "olomouc".parse().unwrap(),
            slots: 2,
            warm_up_ms: 0,
        }),
    }
}
