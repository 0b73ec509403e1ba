//! How heartbeats and routing tables are written.
//!
//! The default is the product's own; a platform that writes otherwise gives its own functions here.

use hornbeam_model::{Incarnation, Routing, ServerId};
use hornbeam_protocol::discovery::ServerClaim;
use hyper::Method;

/// A call to the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A server shows that it lives.
    Heartbeat(ServerId),
    /// A server has left.
    Depart(ServerId),
    /// An operator sends a routing table.
    PutTable,
    /// An operator reads the routing table.
    GetTable,
}

/// How calls and their bodies are written. Problems are told with their remedy.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// The call of a method and path.
    pub parse_call: fn(&Method, &str) -> Option<Call>,
    /// A heartbeat's body.
    pub parse_heartbeat: fn(ServerId, &[u8]) -> Result<ServerClaim, String>,
    /// The incarnation that a departure's body names, if it names one.
    pub parse_departure: fn(&[u8]) -> Option<Incarnation>,
    /// A routing table.
    pub parse_table: fn(&[u8]) -> Result<Routing, String>,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            parse_call: own_call,
            parse_heartbeat: own_heartbeat,
            parse_departure: own_departure,
            parse_table: own_table,
        }
    }
}

fn own_call(method: &Method, path: &str) -> Option<Call> {
    let server = |rest: &str, end: &str| rest.strip_suffix(end)?.parse().ok();
    match (method, path) {
        (&Method::PUT, "/v1/routing") => Some(Call::PutTable),
        (&Method::GET, "/v1/routing") => Some(Call::GetTable),
        (&Method::POST, path) => {
            let rest = path.strip_prefix("/v1/servers/")?;
            server(rest, "/heartbeat")
                .map(Call::Heartbeat)
                .or_else(|| server(rest, "/depart").map(Call::Depart))
        }
        _ => None,
    }
}

fn own_heartbeat(server: ServerId, body: &[u8]) -> Result<ServerClaim, String> {
    let claim: ServerClaim = serde_json::from_slice(body)
        .map_err(|e| format!("the heartbeat cannot be read ({e}): see docs/API.md"))?;
    if claim.server != server {
        return Err("the heartbeat names another server than its path: correct one".to_owned());
    }
    Ok(claim)
}

fn own_departure(body: &[u8]) -> Option<Incarnation> {
    #[derive(serde::Deserialize)]
    struct Departure {
        incarnation: Incarnation,
    }
    serde_json::from_slice::<Departure>(body).ok().map(|d| d.incarnation)
}

fn own_table(body: &[u8]) -> Result<Routing, String> {
    let mut table: Routing = serde_json::from_slice(body)
        .map_err(|e| format!("the routing table cannot be read ({e}): see docs/API.md"))?;
    table.document = body.to_vec();
    Ok(table)
}
