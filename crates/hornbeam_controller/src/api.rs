//! HTTP API for backend servers and operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::{Incarnation, InstanceId, Routing, ServerId, Zone, ZoneOrder};
use hornbeam_protocol::discovery::{LifeStage, ServerClaim};
use http_body_util::{BodyExt, Full, Limited};
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
/// Maximum time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for the response of the controller loop; callers give up after 1 second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(950);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
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
    /// Encoding of calls and bodies.
    pub dialect: Dialect,
    /// Sender to the controller loop.
    pub tx: mpsc::UnboundedSender<ApiRequest>,
    /// Looks up the API address of a controller, for redirects to the leader.
    pub address_of: AddressLookup,
}

/// Accepts connections and serves API calls until the task is dropped.
pub async fn accept(api: Rc<Api>, listener: TcpListener) {
    hornbeam_node::pages::accept(listener, IDLE_TIMEOUT, move |req| {
        let api = api.clone();
        async move { api.handle(req).await }
    })
    .await;
}

type HttpResponse = Response<Full<Bytes>>;

impl Api {
    /// Handles one HTTP request.
    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        let Some(call) = (self.dialect.parse_call)(req.method(), &path) else {
            return error_response(StatusCode::NOT_FOUND, "no such API call: see docs/API.md");
        };
        let max = match call {
            Call::PutTable => MAX_TABLE_BYTES,
            _ => MAX_HEARTBEAT_BYTES,
        };
        let body = Limited::new(req.into_body(), max).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                return closing(error_response(
                    StatusCode::BAD_REQUEST,
                    &format!("the request body cannot be read: {e}"),
                ));
            }
            Err(_) => {
                return closing(error_response(
                    StatusCode::REQUEST_TIMEOUT,
                    "the request body did not arrive in time",
                ));
            }
        };
        match call {
            Call::Heartbeat(server) => self.heartbeat(server, &body).await,
            Call::Depart(server) => {
                let incarnation = (self.dialect.parse_departure)(&body);
                self.submit(ApiRequest::Depart(server, incarnation), true).await
            }
            Call::PutTable => self.put_table(&path, &body).await,
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

    async fn put_table(&self, path: &str, body: &[u8]) -> HttpResponse {
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
            ApiResponse::Table(table) => json_response(StatusCode::OK, table_body(&table)),
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

/// Returns the body for reading a table: the document as the operator sent it, if it is kept.
fn table_body(table: &Routing) -> Vec<u8> {
    if table.document.is_empty() {
        return serde_json::to_vec(table).unwrap_or_default();
    }
    table.document.clone()
}

fn json_response(status: StatusCode, body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Closes the connection after the response, because the request was not read to its end.
fn closing(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn error_response(status: StatusCode, text: &str) -> HttpResponse {
    json_response(status, serde_json::json!({ "error": text }).to_string().into_bytes())
}
