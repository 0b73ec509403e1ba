//! The configuration and its changes.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{Proposal, ProposalOutcome};
use hornbeam_model::{Change, ChangeId, Config, InstanceId, Revision};
use hornbeam_protocol::control::{ChangeCommand, ChangeOutcome};
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::app::App;
use super::body::{parse_json, read_json};
use super::forward::{self, ForwardError, ForwardParams};
use super::operate::check_operator;
use super::reply::Reply;
use crate::clock::unix_ms;
use crate::control::ProposalResponse;

/// Header that carries the operator's token to the leader.
const PASSED_ON: [&str; 1] = ["authorization"];
/// Longest change accepted, in bytes.
const MAX_CHANGE_BYTES: usize = 4 << 20;
/// Longest time for a change that is passed on.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Serialize)]
struct ConfigBody<'a> {
    revision: Revision,
    confirmed_ms_ago: Option<u64>,
    config: &'a Config,
}

/// `GET /v1/config`
pub struct ShowConfig(pub Arc<App>);

#[async_trait]
impl Handler for ShowConfig {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => show_config(&self.0).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn show_config(app: &App) -> Reply {
    let view = app.control.config().await.unwrap_or_default();
    Reply::json(
        StatusCode::OK,
        &ConfigBody {
            revision: view.config.revision,
            confirmed_ms_ago: view.confirmed_ago.map(|d| d.as_millis() as u64),
            config: &view.config,
        },
    )
}

/// `GET /v1/config/history`
pub struct ShowHistory(pub Arc<App>);

#[async_trait]
impl Handler for ShowHistory {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => show_history(&self.0).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn show_history(app: &App) -> Reply {
    let view = app.control.config().await.unwrap_or_default();
    match view.history {
        Some(history) => Reply::json(StatusCode::OK, &history),
        None => {
            let message = "this instance does not vote and keeps no history: ask a voter";
            Reply::refuse(StatusCode::NOT_FOUND, "no_history", message)
        }
    }
}

/// Body of `POST /v1/config/changes`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    change_id: ChangeId,
    expect_revision: Revision,
    change: Box<RawValue>,
}

/// Body of a refused change.
#[derive(Serialize)]
struct ChangeError<'a> {
    error: ChangeErrorPart<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted: Option<Accepted>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

#[derive(Serialize)]
struct ChangeErrorPart<'a> {
    kind: &'a str,
    message: &'a str,
}

/// Whether a change that was not answered in good order was accepted.
#[derive(Clone, Copy, Debug)]
enum Accepted {
    No,
    Unknown,
}

impl Serialize for Accepted {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::No => s.serialize_bool(false),
            Self::Unknown => s.serialize_str("unknown"),
        }
    }
}

#[derive(Serialize)]
struct AcceptedBody {
    revision: Revision,
}

fn problem(status: StatusCode, kind: &str, message: &str, accepted: Option<Accepted>) -> Reply {
    let error = ChangeErrorPart { kind, message };
    Reply::json(status, &ChangeError { error, accepted, revision: None })
}

fn unavailable(message: &str, accepted: Accepted) -> Reply {
    problem(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message, Some(accepted))
}

/// `POST /v1/config/changes`
pub struct SubmitChange(pub Arc<App>);

#[async_trait]
impl Handler for SubmitChange {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => submit(&self.0, req).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn submit(app: &App, req: &mut Request) -> Reply {
    let body: ChangeBody = match read_json(req, MAX_CHANGE_BYTES).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let change: Change = match parse_json(body.change.get().as_bytes()) {
        Ok(change) => change,
        Err(reply) => return reply,
    };
    let command = ChangeCommand {
        id: body.change_id,
        expect: body.expect_revision,
        change,
        unix_ms: unix_ms(),
    };
    propose(app, req, Proposal::Change(command)).await
}

/// Body of `POST /v1/control/replace`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceBody {
    outgoing: InstanceId,
    incoming: InstanceId,
}

/// `POST /v1/control/replace`
pub struct ReplaceVoter(pub Arc<App>);

#[async_trait]
impl Handler for ReplaceVoter {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => replace(&self.0, req).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn replace(app: &App, req: &mut Request) -> Reply {
    let body: ReplaceBody = match read_json(req, MAX_CHANGE_BYTES).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let proposal = Proposal::Replace { outgoing: body.outgoing, incoming: body.incoming };
    propose(app, req, proposal).await
}

async fn propose(app: &App, req: &mut Request, proposal: Proposal) -> Reply {
    match app.control.propose(proposal).await {
        Some(ProposalResponse::Decided(decision)) => decided(&decision),
        Some(ProposalResponse::NotLeader(leader)) => forward(app, req, leader).await,
        None => unavailable(
            "no majority answered in time: send the same change_id again for its outcome",
            Accepted::Unknown,
        ),
    }
}

fn decided(decision: &ProposalOutcome) -> Reply {
    match decision {
        ProposalOutcome::Change(ChangeOutcome::Accepted { revision }) => {
            Reply::json(StatusCode::OK, &AcceptedBody { revision: *revision })
        }
        ProposalOutcome::Change(ChangeOutcome::Conflict { current }) => {
            let error = ChangeErrorPart {
                kind: "conflict",
                message: "another change came first: read the configuration and decide anew",
            };
            let body = ChangeError { error, accepted: None, revision: Some(*current) };
            Reply::json(StatusCode::CONFLICT, &body)
        }
        ProposalOutcome::Change(ChangeOutcome::Invalid { problem: text }) => {
            problem(StatusCode::BAD_REQUEST, "invalid", text, Some(Accepted::No))
        }
        ProposalOutcome::ReplacementStarted => {
            Reply::json(StatusCode::ACCEPTED, &serde_json::json!({"replacement": "begun"}))
        }
        ProposalOutcome::TableInForce(version) => {
            Reply::json(StatusCode::OK, &serde_json::json!({ "table": version }))
        }
        ProposalOutcome::Refused(text) => unavailable(text, Accepted::No),
        ProposalOutcome::NotLeader => {
            unavailable("this instance does not lead: try again", Accepted::No)
        }
        ProposalOutcome::Unknown => unavailable(
            "the leader changed meanwhile: send the same change_id again for its outcome",
            Accepted::Unknown,
        ),
    }
}

/// Passes a change on to the leader, once.
async fn forward(app: &App, req: &mut Request, leader: Option<InstanceId>) -> Reply {
    if forward::is_forwarded(req) {
        return unavailable("the leader is changing: send the change again", Accepted::No);
    }
    let peer = leader.and_then(|l| app.settings.peers.iter().find(|p| p.instance == l));
    let Some(peer) = peer else {
        return unavailable(
            "no leader is known: check that a majority of control instances runs",
            Accepted::No,
        );
    };
    let way = ForwardParams {
        to: peer.http,
        headers: &PASSED_ON,
        max_body: MAX_CHANGE_BYTES,
        timeout: FORWARD_TIMEOUT,
    };
    forward::forward(app, req, &way).await.unwrap_or_else(|e| match e {
        ForwardError::UnreadableBody => {
            unavailable("the body could not be passed on", Accepted::No)
        }
        ForwardError::ConnectFailed => {
            unavailable("the leader cannot be reached: send it again", Accepted::No)
        }
        ForwardError::NoResponse => {
            unavailable("the leader did not answer: send it again", Accepted::Unknown)
        }
        ForwardError::ResponseInterrupted => {
            unavailable("the leader broke off: send it again", Accepted::Unknown)
        }
    })
}
