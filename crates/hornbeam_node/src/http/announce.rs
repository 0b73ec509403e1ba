//! Announcements of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_membership::AnnounceError;
use hornbeam_model::Announcement;
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;

use super::app::App;
use super::body::read_json;
use super::reply::Reply;

/// Maximum size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

#[derive(Serialize)]
struct AnnounceReply {
    announce_every_ms: u64,
    lease_ms: u64,
    registrars: Vec<SocketAddr>,
}

/// Handler of `POST /v1/announce`.
pub struct PostAnnounce(pub Arc<App>);

#[async_trait]
impl Handler for PostAnnounce {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match read_json::<Announcement>(&self.0, req, MAX_BODY_BYTES).await {
            Ok(announcement) => announce(&self.0, announcement).await,
            Err(reply) => reply,
        };
        let result = if reply.status == 200 { "taken" } else { "refused" };
        self.0.metrics.announcements.with_label_values(&[result]).inc();
        reply.write(res);
    }
}

async fn announce(app: &App, announcement: Announcement) -> Reply {
    if app.is_draining() {
        let message = "this instance is shutting down: announce the server to another registrar";
        return Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "draining", message);
    }
    match app.control.announce(announcement).await {
        Some(Ok(())) => {}
        Some(Err(e)) => {
            let status = match e {
                AnnounceError::Invalid { .. } => StatusCode::BAD_REQUEST,
                AnnounceError::Outdated { .. } => StatusCode::CONFLICT,
                AnnounceError::TooManyServers => StatusCode::SERVICE_UNAVAILABLE,
            };
            return Reply::refuse(status, "announcement_refused", &e.to_string());
        }
        None => {
            let message = "this instance is stopping: announce the server to another registrar";
            return Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "draining", message);
        }
    }
    let s = &app.settings;
    let mut registrars = vec![s.http];
    let own_zone = s.peers.iter().filter(|p| p.zone == s.zone);
    let other_zones = s.peers.iter().filter(|p| p.zone != s.zone);
    registrars.extend(own_zone.chain(other_zones).map(|p| p.http));
    Reply::json(
        StatusCode::OK,
        &AnnounceReply {
            announce_every_ms: s.announce_interval.as_millis() as u64,
            lease_ms: s.lease.as_millis() as u64,
            registrars,
        },
    )
}
