//! Connections of the clients of an instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Acceptor, Holding, StraightStream};
use salvo::fuse::ArcFusePolicy;
use salvo::http::header::{CONNECTION, HeaderValue};
use salvo::http::{Method, Request, ResBody, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use tokio::net::TcpStream;

use super::body::no_room;
use crate::client_stream::ClientStream;
use crate::connections::{Connection, ConnectionGroup};
use crate::pages::REFUSAL_LINGER;

/// The open connections of clients by the address of the client; clones share them.
#[derive(Clone, Debug)]
pub struct Clients {
    group: ConnectionGroup,
    by_address: Arc<Mutex<HashMap<SocketAddr, Weak<Connection>>>>,
}

impl Clients {
    /// Creates an empty set of connections of a group.
    pub fn new(group: ConnectionGroup) -> Self {
        Self { group, by_address: Arc::default() }
    }

    async fn admit(&self, address: Option<SocketAddr>) -> Option<Arc<Connection>> {
        let connection = Arc::new(self.group.admit().await?);
        let mut known = self.by_address.lock().unwrap_or_else(|e| e.into_inner());
        if known.len() > 2 * self.group.limit() {
            known.retain(|_, connection| connection.strong_count() > 0);
        }
        if let Some(address) = address {
            known.insert(address, Arc::downgrade(&connection));
        }
        Some(connection)
    }

    /// Returns the connection that carries a request, unless it has just been closed.
    pub fn connection_of(&self, req: &Request) -> Option<Arc<Connection>> {
        let address = req.remote_addr().clone().into_std()?;
        let known = self.by_address.lock().unwrap_or_else(|e| e.into_inner());
        known.get(&address)?.upgrade()
    }
}

/// Accepts connections and admits them to a set.
pub struct ClientAcceptor {
    /// Accepts the connections.
    pub listener: TcpAcceptor,
    /// The set.
    pub clients: Clients,
}

type ClientTcpStream = ClientStream<StraightStream<TcpStream>>;

impl Acceptor for ClientAcceptor {
    type Coupler = TcpCoupler<ClientTcpStream>;
    type Stream = ClientTcpStream;

    fn holdings(&self) -> &[Holding] {
        self.listener.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> std::io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let accepted = self.listener.accept(fuse_policy.clone()).await?;
            let address = accepted.remote_addr.clone().into_std();
            let Some(connection) = self.clients.admit(address).await else {
                log::warn!("closing a new connection because all others are being served");
                continue;
            };
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream: ClientStream::new(accepted.stream, connection),
                fuse_config: accepted.fuse_config,
                conn_ctrl: accepted.conn_ctrl,
                local_addr: accepted.local_addr,
                remote_addr: accepted.remote_addr,
                http_scheme: accepted.http_scheme,
            });
        }
    }
}

/// Reserves memory for the body of a response until the client has taken it. If there is none, a read without
/// effect is refused.
async fn hold_response(connection: &Connection, req: &Request, res: &mut Response) {
    let body = match res.take_body() {
        ResBody::Once(body) => body,
        other => return drop(res.replace_body(other)),
    };
    let mut reservation = connection.reservation();
    if !connection.reserve(&mut reservation, body.len()).await {
        if req.method() == Method::GET {
            return no_room().write(res);
        }
        reservation.set(body.len());
    }
    connection.begin_response(body.len());
    res.replace_body(ResBody::Once(reservation.hold(body)));
}

/// Records the begin and the end of each request at its connection.
pub struct TrackRequests(pub Clients);

#[async_trait]
impl Handler for TrackRequests {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Some(connection) = self.0.connection_of(req) else {
            ctrl.call_next(req, depot, res).await;
            return;
        };
        let has_body = !salvo::http::Body::is_end_stream(req.body());
        connection.begin_request(!has_body);
        ctrl.call_next(req, depot, res).await;
        hold_response(&connection, req, res).await;
        connection.await_request();
        if connection.is_unread() {
            // The rest of the body is not read, so the connection cannot carry another request.
            res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            tokio::spawn(async move {
                tokio::time::sleep(REFUSAL_LINGER).await;
                connection.close();
            });
        }
    }
}
