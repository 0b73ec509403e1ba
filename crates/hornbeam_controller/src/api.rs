//! HTTP API for backend servers and operators.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::{Incarnation, InstanceId, Routing, ServerId, Zone, ZoneOrder};
use hornbeam_node::connections::{Connection, ConnectionGroup};
use hornbeam_node::pages::ServerLimits;
use hornbeam_node::request_body::{BodyError, read_body};
use hornbeam_protocol::discovery::{LifeStage, ServerClaim};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::dialect::{Call, Dialect};

/// Maximum body size of a heartbeat or departure, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 << 10;
/// Maximum body size of a routing table, in bytes.
const MAX_TABLE_BYTES: usize = 8 << 20;
/// Memory that a routing table takes while it is decoded, checked and committed, per byte of its document.
const DECODED_TABLE_FACTOR: usize = 4;
/// When a call that found no memory may be sent again, in seconds: connections without progress have given way then.
const NO_ROOM_RETRY_AFTER: &str = "0.25";
/// Maximum wait for the response of the controller loop; callers give up after 1 second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(950);
/// Limits on each connection of a server or an operator.
const API_LIMITS: ServerLimits =
    ServerLimits { idle: Duration::from_secs(60), head_bytes: 64 << 10 };
/// Delay of the acknowledgment of a departure, in which the feeds carry the departure to the
/// entries.
const DEPARTURE_FLUSH: Duration = Duration::from_millis(20);

/// A request from the HTTP API to the controller loop.
#[derive(Debug)]
pub enum ApiRequest {
    /// A server sent a heartbeat.
    Heartbeat(ServerClaim),
    /// A server has left; `None` stands for its incarnation that is known here.
    Depart(ServerId, Option<Incarnation>),
    /// An operator proposes a routing table.
    PutTable(Arc<Routing>, oneshot::Sender<ApiResponse>),
    /// An operator reads the latest committed routing table.
    GetTable(oneshot::Sender<ApiResponse>),
    /// An operator gives an order about a zone.
    OrderZone(ZoneOrder, oneshot::Sender<ApiResponse>),
}

/// Response of the controller loop to an [`ApiRequest`].
#[derive(Clone, Debug)]
pub enum ApiResponse {
    /// The proposed table or a later one is in force, or the order is committed.
    InForce,
    /// The latest committed table.
    Table(Arc<Routing>),
    /// This controller does not lead; this is the leader.
    Redirect(InstanceId),
    /// The request cannot be answered now, for this reason; it may be sent again.
    Unavailable(&'static str),
    /// No server, entry or controller of this zone has been seen; nothing changed.
    UnknownZone(Zone),
}

/// Returns the API address of a controller, or `None` if its name contains no address.
pub type AddressLookup = Box<dyn Fn(&InstanceId) -> Option<SocketAddr>>;

/// State shared by the HTTP handlers.
pub struct Api {
    dialect: Dialect,
    tx: mpsc::UnboundedSender<ApiRequest>,
    address_of: AddressLookup,
    /// Number of routing tables that are decoded or wait to be committed.
    pending_tables: Cell<usize>,
}

/// Accepts connections and serves API calls until the task is dropped.
pub async fn accept(api: Rc<Api>, listener: TcpListener, clients: ConnectionGroup) {
    hornbeam_node::pages::accept(listener, clients, API_LIMITS, move |req, connection| {
        let api = api.clone();
        async move { api.handle(req, &connection).await }
    })
    .await;
}

type HttpResponse = Response<Full<Bytes>>;

impl Api {
    /// Creates the state of an API with this encoding of calls and bodies, which passes requests to the controller
    /// loop and looks up the API addresses of controllers for redirects to the leader.
    pub fn new(
        dialect: Dialect,
        tx: mpsc::UnboundedSender<ApiRequest>,
        address_of: AddressLookup,
    ) -> Self {
        Self { dialect, tx, address_of, pending_tables: Cell::new(0) }
    }

    /// Handles one HTTP request.
    async fn handle(&self, req: Request<Incoming>, connection: &Connection) -> HttpResponse {
        let path = req.uri().path().to_owned();
        let Some(call) = (self.dialect.parse_call)(req.method(), &path) else {
            return error_response(StatusCode::NOT_FOUND, "no such API call: see docs/API.md");
        };
        let max = match call {
            Call::PutTable => MAX_TABLE_BYTES,
            _ => MAX_HEARTBEAT_BYTES,
        };
        let body = match read_body(connection, req.into_body(), max).await {
            Ok(body) => body,
            Err(e) => return unread_response(e),
        };
        match call {
            Call::Heartbeat(server) => self.heartbeat(server, &body).await,
            Call::Depart(server) => {
                let incarnation = (self.dialect.parse_departure)(&body);
                self.submit(ApiRequest::Depart(server, incarnation), true).await
            }
            Call::PutTable => self.put_table(&path, &body, connection).await,
            Call::GetTable => self.submit_and_wait(&path, ApiRequest::GetTable).await,
            Call::BeginEvacuation(zone) => self.order_zone(&path, zone, true).await,
            Call::FinishEvacuation(zone) => self.order_zone(&path, zone, false).await,
        }
    }

    async fn heartbeat(&self, server: ServerId, body: &[u8]) -> HttpResponse {
        match (self.dialect.parse_heartbeat)(server, body) {
            Ok(claim) => {
                let departs = claim.order.stage != LifeStage::Ready;
                self.submit(ApiRequest::Heartbeat(claim), departs).await
            }
            Err(e) => {
                log::warn!("rejected the heartbeat of a server: {e}");
                error_response(StatusCode::BAD_REQUEST, &e)
            }
        }
    }

    /// Passes a heartbeat or departure to the loop and acknowledges it.
    async fn submit(&self, request: ApiRequest, departs: bool) -> HttpResponse {
        if self.tx.send(request).is_err() {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "this controller is stopping");
        }
        if departs {
            tokio::time::sleep(DEPARTURE_FLUSH).await;
        }
        json_response(StatusCode::OK, b"{}".to_vec())
    }

    async fn put_table(&self, path: &str, body: &[u8], connection: &Connection) -> HttpResponse {
        let _pending = PendingTable::new(&self.pending_tables);
        let mut decoded = connection.reservation();
        let size = DECODED_TABLE_FACTOR * body.len();
        if !connection.reserve(&mut decoded, size).await {
            if self.pending_tables.get() > 1 {
                return unread_response(BodyError::NoRoom);
            }
            // A single table is taken in any case.
            decoded.set(size);
        }
        let table = (self.dialect.parse_table)(body);
        let checked = table.and_then(|t| match t.check() {
            Ok(()) => Ok(t),
            Err(e) => Err(e.to_string()),
        });
        match checked {
            Ok(table) => {
                let table = Arc::new(table).with_distinct_shards().with_distinct_names();
                self.submit_and_wait(path, |tx| ApiRequest::PutTable(table, tx)).await
            }
            Err(e) => {
                log::warn!("rejected a routing table: {e}");
                error_response(StatusCode::BAD_REQUEST, &e)
            }
        }
    }

    async fn order_zone(&self, path: &str, zone: Zone, evacuate: bool) -> HttpResponse {
        let order = ZoneOrder { zone, evacuate };
        self.submit_and_wait(path, |tx| ApiRequest::OrderZone(order, tx)).await
    }

    /// Passes a request to the loop and waits for its response.
    async fn submit_and_wait(
        &self,
        path: &str,
        request: impl FnOnce(oneshot::Sender<ApiResponse>) -> ApiRequest,
    ) -> HttpResponse {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(request(tx));
        let response = match (sent, tokio::time::timeout(RESPONSE_TIMEOUT, rx).await) {
            (Ok(()), Ok(Ok(response))) => response,
            (Err(_), _) | (_, Ok(Err(_))) => {
                ApiResponse::Unavailable("this controller is stopping")
            }
            (_, Err(_)) => ApiResponse::Unavailable(
                "no majority of the controllers replied in time: send the request again",
            ),
        };
        match response {
            ApiResponse::InForce => json_response(StatusCode::OK, b"{}".to_vec()),
            ApiResponse::Table(table) => json_response(StatusCode::OK, table_body(table)),
            ApiResponse::Redirect(leader) => self.redirect(&leader, path),
            ApiResponse::UnknownZone(zone) => {
                let text = format!(
                    "no server, entry or controller has been seen in zone {zone}: check its name"
                );
                error_response(StatusCode::NOT_FOUND, &text)
            }
            ApiResponse::Unavailable(reason) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
        }
    }

    fn redirect(&self, leader: &InstanceId, path: &str) -> HttpResponse {
        let location = (self.address_of)(leader).map(|a| format!("http://{a}{path}"));
        let location = location.and_then(|l| HeaderValue::from_str(&l).ok());
        let Some(location) = location else {
            return error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the API address of the leader is not known: call another controller",
            );
        };
        let mut response = json_response(StatusCode::TEMPORARY_REDIRECT, b"{}".to_vec());
        response.headers_mut().insert(header::LOCATION, location);
        response
    }
}

/// Counts a routing table as pending until dropped.
struct PendingTable<'a>(&'a Cell<usize>);

impl<'a> PendingTable<'a> {
    fn new(pending: &'a Cell<usize>) -> Self {
        pending.set(pending.get() + 1);
        Self(pending)
    }
}

impl Drop for PendingTable<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The document of a routing table, which all its readers share.
struct TableDocument(Arc<Routing>);

impl AsRef<[u8]> for TableDocument {
    fn as_ref(&self) -> &[u8] {
        &self.0.document
    }
}

/// Returns the body for reading a table: the document as the operator sent it, if it is kept.
fn table_body(table: Arc<Routing>) -> Bytes {
    if table.document.is_empty() {
        return serde_json::to_vec(&*table).unwrap_or_default().into();
    }
    Bytes::from_owner(TableDocument(table))
}

/// Returns the response to a request whose body was not read.
fn unread_response(e: BodyError) -> HttpResponse {
    let (status, problem) = match e {
        BodyError::TooLong => {
            (StatusCode::BAD_REQUEST, "the request body is too long: see docs/API.md")
        }
        BodyError::Invalid => {
            (StatusCode::BAD_REQUEST, "the request body is malformed or incomplete: send it again")
        }
        BodyError::TimedOut => {
            (StatusCode::REQUEST_TIMEOUT, "the request body did not arrive in time")
        }
        BodyError::NoRoom => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this controller holds too many large requests: call another controller",
        ),
    };
    let mut response = error_response(status, problem);
    if e == BodyError::NoRoom {
        let after = HeaderValue::from_static(NO_ROOM_RETRY_AFTER);
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn error_response(status: StatusCode, text: &str) -> HttpResponse {
    json_response(status, serde_json::json!({ "error": text }).to_string().into_bytes())
}
