//! HTTP routes and handlers of an instance.
//!
//! - [`app`]: state that the handlers share
//! - [`clients`]: connections of clients
//! - [`body`]: parsing of JSON request bodies within limits
//! - [`query`]: queries of callers
//! - [`token`]: tokens that make a request run at most once
//! - [`announce`]: announcements of backend servers
//! - [`config`]: reading and changing the configuration, replacing voters
//! - [`forward`]: forwarding of requests to another instance
//! - [`operate`]: health, metrics, events, status and shutdown
//! - [`reply`]: replies that the handlers build

pub mod announce;
pub mod app;
pub mod body;
pub mod clients;
pub mod config;
pub mod forward;
pub mod operate;
pub mod query;
pub mod reply;
pub mod token;

use std::sync::Arc;

use hornbeam_settings::Role;
use salvo::Router;

use app::App;

/// Builds the routes of an instance according to its roles.
pub fn router(app: &Arc<App>) -> Router {
    let config = Router::with_path("config")
        .get(config::ShowConfig(app.clone()))
        .push(Router::with_path("changes").post(config::SubmitChange(app.clone())))
        .push(Router::with_path("history").get(config::ShowHistory(app.clone())))
        .push(Router::with_path("status").get(operate::ShowStatus(app.clone())));
    let replace = Router::with_path("control/replace").post(config::ReplaceVoter(app.clone()));
    let v1 = Router::with_path("v1")
        .push(Router::with_path("health").get(operate::Health(app.clone())))
        .push(Router::with_path("events").get(operate::ShowEvents(app.clone())))
        .push(Router::with_path("drain").post(operate::StartDrain(app.clone())))
        .push(config)
        .push(replace);
    let v1 = if app.settings.has_role(Role::Entry) { push_entry_routes(v1, app) } else { v1 };
    Router::new()
        .hoop(clients::TrackRequests(app.clients.clone()))
        .push(v1)
        .push(Router::with_path("metrics").get(operate::ShowMetrics(app.clone())))
}

/// Adds the routes for callers and backend servers, which only entries serve.
fn push_entry_routes(v1: Router, app: &Arc<App>) -> Router {
    v1.push(Router::with_path("services/{service}/query").post(query::PostQuery(app.clone())))
        .push(Router::with_path("tokens").post(token::PostTokens(app.clone())))
        .push(Router::with_path("announce").post(announce::PostAnnounce(app.clone())))
}
