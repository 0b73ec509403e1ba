//! Encoding of API calls, heartbeats and routing tables.
//!
//! [`Dialect::default`] is the native encoding, see docs/API.md; a platform with another one
//! supplies its own functions.

use std::fmt;
use std::sync::Arc;

use hornbeam_model::{Incarnation, Routing, ServerId, TrafficPolicy, Zone};
use hornbeam_protocol::discovery::ServerClaim;
use hyper::Method;
use serde_json::error::Category;

/// An API call to the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A server sends a heartbeat.
    Heartbeat(ServerId),
    /// A server reports that it has left.
    Depart(ServerId),
    /// An operator proposes a routing table.
    PutTable,
    /// An operator reads the routing table in force.
    GetTable,
    /// An operator orders that nothing is sent to the servers of a zone.
    BeginEvacuation(Zone),
    /// An operator ends the evacuation of a zone.
    FinishEvacuation(Zone),
}

/// Parsers of API calls and their bodies. Their errors are shown to the caller and name the remedy.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Parses the method and path of a request; `None` if there is no such call.
    pub parse_call: fn(&Method, &str) -> Option<Call>,
    /// Parses the body of a heartbeat of the given server.
    pub parse_heartbeat: fn(ServerId, &[u8]) -> Result<ServerClaim, String>,
    /// Parses the body of a departure and returns its incarnation, if it names one.
    pub parse_departure: fn(&[u8]) -> Option<Incarnation>,
    /// Parses a routing table; its content is validated later.
    pub parse_table: fn(&[u8]) -> Result<Routing, String>,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            parse_call: parse_default_call,
            parse_heartbeat: parse_default_heartbeat,
            parse_departure: parse_default_departure,
            parse_table: parse_default_table,
        }
    }
}

fn parse_default_call(method: &Method, path: &str) -> Option<Call> {
    let server = |rest: &str, end: &str| rest.strip_suffix(end)?.parse().ok();
    match (method, path) {
        (&Method::PUT, "/v1/routing") => Some(Call::PutTable),
        (&Method::GET, "/v1/routing") => Some(Call::GetTable),
        (&Method::POST, path) => {
            if let Some(rest) = path.strip_prefix("/v1/zones/") {
                return parse_zone_call(rest);
            }
            let rest = path.strip_prefix("/v1/servers/")?;
            server(rest, "/heartbeat")
                .map(Call::Heartbeat)
                .or_else(|| server(rest, "/depart").map(Call::Depart))
        }
        _ => None,
    }
}

fn parse_zone_call(rest: &str) -> Option<Call> {
    let (zone, action) = rest.rsplit_once('/')?;
    let zone = zone.parse().ok()?;
    match action {
        "evacuate" => Some(Call::BeginEvacuation(zone)),
        "restore" => Some(Call::FinishEvacuation(zone)),
        _ => None,
    }
}

fn parse_default_heartbeat(server: ServerId, body: &[u8]) -> Result<ServerClaim, String> {
    let claim: ServerClaim = serde_json::from_slice(body)
        .map_err(|e| format!("the heartbeat cannot be parsed ({e}): see docs/API.md"))?;
    if claim.server != server {
        return Err(
            "the heartbeat names another server than the request path: correct one of them"
                .to_owned(),
        );
    }
    Ok(claim)
}

fn parse_default_departure(body: &[u8]) -> Option<Incarnation> {
    #[derive(serde::Deserialize)]
    struct Departure {
        incarnation: Incarnation,
    }
    serde_json::from_slice::<Departure>(body).ok().map(|d| d.incarnation)
}

/// Text about a routing table that cannot be parsed. It quotes nothing of the document, which contains
/// keys, but the names of missing fields.
#[derive(Clone, Copy, Debug)]
pub struct TableFault<'a>(pub &'a serde_json::Error);

impl fmt::Display for TableFault<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        if text.starts_with("missing field `") {
            return f.write_str(&text);
        }
        let problem = match self.0.classify() {
            Category::Data => "a value of the wrong type or out of range",
            Category::Eof => "it ends early",
            Category::Io | Category::Syntax => "invalid JSON",
        };
        write!(f, "{problem} at line {} column {}", self.0.line(), self.0.column())
    }
}

fn parse_default_table(body: &[u8]) -> Result<Routing, String> {
    let mut table: Routing = serde_json::from_slice(body).map_err(|e| {
        format!("the routing table cannot be parsed ({}): see docs/API.md", TableFault(&e))
    })?;
    #[derive(serde::Deserialize)]
    struct Rules {
        #[serde(default)]
        policy: Arc<TrafficPolicy>,
    }
    let rules: Rules = serde_json::from_slice(body).map_err(|e| {
        format!("the policy of the table cannot be parsed ({}): see docs/API.md", TableFault(&e))
    })?;
    table.document = body.to_vec();
    table.policy = rules.policy;
    Ok(table)
}
