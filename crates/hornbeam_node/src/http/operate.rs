//! Health, metrics, events, status and shutdown.

use std::sync::Arc;

use salvo::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use hornbeam_events::Event;

use super::app::App;
use super::reply::Reply;
use crate::control::ControlStatus;
use crate::traffic::{TrafficMessage, TrafficReport};

/// Prefix of the operator token in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Handler of `GET /v1/health`.
pub struct Health(pub Arc<App>);

#[derive(Serialize)]
struct HealthBody {
    status: &'static str,
}

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = if self.0.is_draining() {
            Reply::json(StatusCode::SERVICE_UNAVAILABLE, &HealthBody { status: "draining" })
        } else if !self.0.is_ready() {
            Reply::json(StatusCode::SERVICE_UNAVAILABLE, &HealthBody { status: "starting" })
        } else {
            Reply::json(StatusCode::OK, &HealthBody { status: "ok" })
        };
        reply.write(res);
    }
}

/// Handler of `GET /metrics`.
pub struct ShowMetrics(pub Arc<App>);

#[async_trait]
impl Handler for ShowMetrics {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (tx, rx) = oneshot::channel();
        let _ = self.0.traffic.send(TrafficMessage::Report(tx));
        if let Ok(report) = rx.await {
            self.0.metrics.update_outstanding(&report.servers);
        }
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        let _ = res.write_body(self.0.metrics.render());
    }
}

/// Handler of `GET /v1/events?since=`.
pub struct ShowEvents(pub Arc<App>);

#[async_trait]
impl Handler for ShowEvents {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = match req.query::<String>("since") {
            None => Some(0),
            Some(text) => text.parse::<u64>().ok(),
        };
        let Some(since) = since else {
            let message =
                "since must be a whole number, the seq of the last event received: correct it";
            return Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", message).write(res);
        };
        let mut lines = Vec::new();
        for record in self.0.events.since(since) {
            if serde_json::to_writer(&mut lines, &record).is_ok() {
                lines.push(b'\n');
            }
        }
        let content_type = HeaderValue::from_static("application/jsonl");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        let _ = res.write_body(lines);
    }
}

/// Checks the operator token of a request in constant time and records a refusal as an event.
///
/// # Errors
///
/// Returns a reply with status 401 that does not say why.
pub fn check_operator(app: &App, req: &Request) -> Result<(), Reply> {
    let token = req.headers().get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = token.and_then(|v| v.strip_prefix(BEARER_PREFIX)).unwrap_or_default();
    let authorized = app
        .settings
        .operator_token
        .as_ref()
        .is_some_and(|expected| bool::from(expected.bytes().ct_eq(token.as_bytes())));
    if authorized {
        return Ok(());
    }
    app.events.record(Event::OperatorRefused {});
    Err(Reply::refuse(StatusCode::UNAUTHORIZED, "unauthorized", "unauthorized"))
}

#[derive(Serialize)]
struct StatusBody {
    instance: String,
    zone: String,
    incarnation: u64,
    draining: bool,
    #[serde(flatten)]
    control: ControlStatus,
    traffic: TrafficReport,
}

/// Handler of `GET /v1/config/status`.
pub struct ShowStatus(pub Arc<App>);

#[async_trait]
impl Handler for ShowStatus {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => status(&self.0).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn status(app: &App) -> Reply {
    let (tx, rx) = oneshot::channel();
    let _ = app.traffic.send(TrafficMessage::Report(tx));
    let traffic = rx.await.unwrap_or_default();
    let control = app.control.status().await.unwrap_or_default();
    Reply::json(
        StatusCode::OK,
        &StatusBody {
            instance: app.settings.instance.to_string(),
            zone: app.settings.zone.to_string(),
            incarnation: app.incarnation.0,
            draining: app.is_draining(),
            control,
            traffic,
        },
    )
}

/// Handler of `POST /v1/drain`.
pub struct StartDrain(pub Arc<App>);

#[async_trait]
impl Handler for StartDrain {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => {
                self.0.stop.notify_one();
                Reply::json(StatusCode::OK, &HealthBody { status: "draining" })
            }
            Err(reply) => reply,
        };
        reply.write(res);
    }
}
