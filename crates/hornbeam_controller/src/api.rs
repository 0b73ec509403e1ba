//! HTTP for backend servers and operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::{Incarnation, InstanceId, Routing, ServerId};
use hornbeam_protocol::discovery::{LifeStage, ServerClaim};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::dialect::{Call, Dialect};

/// Longest body of a heartbeat or departure, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 << 10;
/// Longest routing table, in bytes.
const MAX_TABLE_BYTES: usize = 8 << 20;
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a decision; callers give up after a second.
const DECISION_TIMEOUT: Duration = Duration::from_millis(950);
/// Time for which a caller's connection may be idle.
const IDLE: Duration = Duration::from_secs(60);
/// Time between a departure and its acknowledgement, in which the feeds carry it to the entries.
const DEPARTURE_FLUSH: Duration = Duration::from_millis(20);

/// A request to the loop.
#[derive(Debug)]
pub enum Ask {
    /// A heartbeat came.
    Heartbeat(ServerClaim),
    /// A server has left.
    Depart(ServerId, Option<Incarnation>),
    /// A routing table is proposed.
    PutTable(Arc<Routing>, oneshot::Sender<Answer>),
    /// The newest routing table is asked for.
    GetTable(oneshot::Sender<Answer>),
}

/// What the loop answers.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The table, or a later one, is in force.
    InForce,
    /// The newest table.
    Table(Arc<Routing>),
    /// Ask the leader.
    Elsewhere(InstanceId),
    /// It is not known: ask again.
    Unknown(&'static str),
}

/// Where a controller takes calls, if its name tells.
pub type AddressOf = Box<dyn Fn(&InstanceId) -> Option<SocketAddr>>;

/// What the handlers share.
pub struct Api {
    /// How calls and bodies are written.
    pub dialect: Dialect,
    /// The loop.
    pub tx: mpsc::UnboundedSender<Ask>,
    /// Where a controller takes calls.
    pub address_of: AddressOf,
}

/// Takes calls until the task is dropped.
pub async fn accept(api: Rc<Api>, listener: TcpListener) {
    hornbeam_node::pages::accept(listener, IDLE, move |req| {
        let api = api.clone();
        async move { api.answer(req).await }
    })
    .await;
}

type Reply = Response<Full<Bytes>>;

impl Api {
    async fn answer(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        let Some(call) = (self.dialect.parse_call)(req.method(), &path) else {
            return problem(StatusCode::NOT_FOUND, "no such call: see docs/API.md");
        };
        let max = match call {
            Call::PutTable => MAX_TABLE_BYTES,
            _ => MAX_HEARTBEAT_BYTES,
        };
        let body = Limited::new(req.into_body(), max).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                return problem(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}"));
            }
            Err(_) => return problem(StatusCode::REQUEST_TIMEOUT, "the body did not arrive"),
        };
        match call {
            Call::Heartbeat(server) => self.heartbeat(server, &body).await,
            Call::Depart(server) => {
                let incarnation = (self.dialect.parse_departure)(&body);
                self.tell(Ask::Depart(server, incarnation), true).await
            }
            Call::PutTable => self.put_table(&path, &body).await,
            Call::GetTable => self.decide(&path, Ask::GetTable).await,
        }
    }

    async fn heartbeat(&self, server: ServerId, body: &[u8]) -> Reply {
        match (self.dialect.parse_heartbeat)(server, body) {
            Ok(claim) => {
                let departs = claim.order.stage != LifeStage::Ready;
                self.tell(Ask::Heartbeat(claim), departs).await
            }
            Err(e) => {
                log::warn!("a heartbeat was refused: {e}");
                problem(StatusCode::BAD_REQUEST, &e)
            }
        }
    }

    async fn tell(&self, ask: Ask, departs: bool) -> Reply {
        if self.tx.send(ask).is_err() {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "this controller is stopping");
        }
        if departs {
            tokio::time::sleep(DEPARTURE_FLUSH).await;
        }
        json(StatusCode::OK, b"{}".to_vec())
    }

    async fn put_table(&self, path: &str, body: &[u8]) -> Reply {
        let table = (self.dialect.parse_table)(body);
        let checked = table.and_then(|t| match t.check() {
            Ok(()) => Ok(t),
            Err(e) => Err(e.to_string()),
        });
        match checked {
            Ok(table) => {
                let table = Arc::new(table);
                self.decide(path, |tx| Ask::PutTable(table, tx)).await
            }
            Err(e) => {
                log::warn!("a routing table was refused: {e}");
                problem(StatusCode::BAD_REQUEST, &e)
            }
        }
    }

    async fn decide(&self, path: &str, ask: impl FnOnce(oneshot::Sender<Answer>) -> Ask) -> Reply {
        let (tx, rx) = oneshot::channel();
        let asked = self.tx.send(ask(tx));
        let answer = match (asked, tokio::time::timeout(DECISION_TIMEOUT, rx).await) {
            (Ok(()), Ok(Ok(answer))) => answer,
            (Err(_), _) | (_, Ok(Err(_))) => Answer::Unknown("this controller is stopping"),
            (_, Err(_)) => Answer::Unknown("no majority answered in time: send it again"),
        };
        match answer {
            Answer::InForce => json(StatusCode::OK, b"{}".to_vec()),
            Answer::Table(table) => json(StatusCode::OK, document(&table)),
            Answer::Elsewhere(leader) => self.redirect(&leader, path),
            Answer::Unknown(why) => problem(StatusCode::SERVICE_UNAVAILABLE, why),
        }
    }

    fn redirect(&self, leader: &InstanceId, path: &str) -> Reply {
        let location = (self.address_of)(leader).map(|a| format!("http://{a}{path}"));
        let location = location.and_then(|l| HeaderValue::from_str(&l).ok());
        let Some(location) = location else {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "the leader's address is not known");
        };
        let mut response = json(StatusCode::TEMPORARY_REDIRECT, b"{}".to_vec());
        response.headers_mut().insert(header::LOCATION, location);
        response
    }
}

/// A table as it is read back: as its operator sent it.
fn document(table: &Routing) -> Vec<u8> {
    if table.document.is_empty() {
        return serde_json::to_vec(table).unwrap_or_default();
    }
    table.document.clone()
}

fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn problem(status: StatusCode, text: &str) -> Reply {
    json(status, serde_json::json!({ "error": text }).to_string().into_bytes())
}
