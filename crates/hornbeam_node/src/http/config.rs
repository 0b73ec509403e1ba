//! Reading and changing the configuration, and replacing voters.

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

/// Headers copied to a request that is forwarded to the leader: the operator's token.
const FORWARDED_HEADERS: [&str; 1] = ["authorization"];
/// Maximum body size of a change, in bytes.
const MAX_CHANGE_BYTES: usize = 4 << 20;
/// Limit for a request that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Serialize)]
struct ConfigBody<'a> {
    revision: Revision,
    confirmed_ms_ago: Option<u64>,
    config: &'a Config,
}

/// Handler of `GET /v1/config`.
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

/// Handler of `GET /v1/config/history`.
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
            let message =
                "this instance is not a voter and keeps no history: send the request to a voter";
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

/// Body of the reply to a change that was not accepted or whose outcome is unknown.
#[derive(Serialize)]
struct ChangeError<'a> {
    error: ChangeErrorDetail<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted: Option<Accepted>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

#[derive(Serialize)]
struct ChangeErrorDetail<'a> {
    kind: &'a str,
    message: &'a str,
}

/// Whether a change that ended in an error may have been accepted.
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

fn change_error(
    status: StatusCode,
    kind: &str,
    message: &str,
    accepted: Option<Accepted>,
) -> Reply {
    let error = ChangeErrorDetail { kind, message };
    Reply::json(status, &ChangeError { error, accepted, revision: None })
}

fn unavailable(message: &str, accepted: Accepted) -> Reply {
    change_error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message, Some(accepted))
}

/// Handler of `POST /v1/config/changes`.
pub struct SubmitChange(pub Arc<App>);

#[async_trait]
impl Handler for SubmitChange {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => submit_change(&self.0, req).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn submit_change(app: &App, req: &mut Request) -> Reply {
    let body: ChangeBody = match read_json(app, req, MAX_CHANGE_BYTES).await {
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

/// Handler of `POST /v1/control/replace`.
pub struct ReplaceVoter(pub Arc<App>);

#[async_trait]
impl Handler for ReplaceVoter {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match check_operator(&self.0, req) {
            Ok(()) => replace_voter(&self.0, req).await,
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

async fn replace_voter(app: &App, req: &mut Request) -> Reply {
    let body: ReplaceBody = match read_json(app, req, MAX_CHANGE_BYTES).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let proposal = Proposal::Replace { outgoing: body.outgoing, incoming: body.incoming };
    propose(app, req, proposal).await
}

async fn propose(app: &App, req: &mut Request, proposal: Proposal) -> Reply {
    match app.control.propose(proposal).await {
        Some(ProposalResponse::Decided(outcome)) => outcome_reply(&outcome),
        Some(ProposalResponse::NotLeader(leader)) => forward_to_leader(app, req, leader).await,
        None => unavailable(
            "no majority decided in time: send the same change_id again for its outcome",
            Accepted::Unknown,
        ),
    }
}

fn outcome_reply(outcome: &ProposalOutcome) -> Reply {
    match outcome {
        ProposalOutcome::Change(ChangeOutcome::Accepted { revision }) => {
            Reply::json(StatusCode::OK, &AcceptedBody { revision: *revision })
        }
        ProposalOutcome::Change(ChangeOutcome::Conflict { current }) => {
            let error = ChangeErrorDetail {
                kind: "conflict",
                message: "expect_revision is not current: read the configuration and retry",
            };
            let body = ChangeError { error, accepted: None, revision: Some(*current) };
            Reply::json(StatusCode::CONFLICT, &body)
        }
        ProposalOutcome::Change(ChangeOutcome::Invalid { problem: text }) => {
            change_error(StatusCode::BAD_REQUEST, "invalid", text, Some(Accepted::No))
        }
        ProposalOutcome::ZoneOrdered(order) => {
            Reply::json(StatusCode::OK, &serde_json::json!({"zone": order.zone}))
        }
        ProposalOutcome::ReplacementStarted => {
            Reply::json(StatusCode::ACCEPTED, &serde_json::json!({"replacement": "begun"}))
        }
        ProposalOutcome::TableInForce(version) => {
            Reply::json(StatusCode::OK, &serde_json::json!({ "table": version }))
        }
        ProposalOutcome::Refused(text) => unavailable(text, Accepted::No),
        ProposalOutcome::NotLeader => {
            unavailable("this instance is not the leader: send the request again", Accepted::No)
        }
        ProposalOutcome::Unknown => unavailable(
            "the leader changed before the decision: send the same change_id again",
            Accepted::Unknown,
        ),
    }
}

/// Forwards a request to the leader, unless it has been forwarded already.
async fn forward_to_leader(app: &App, req: &mut Request, leader: Option<InstanceId>) -> Reply {
    if forward::is_forwarded(req) {
        return unavailable(
            "the request was forwarded to an instance that is not the leader: send it again",
            Accepted::No,
        );
    }
    let peer = leader.and_then(|l| app.settings.peers.iter().find(|p| p.instance == l));
    let Some(peer) = peer else {
        return unavailable(
            "no leader is known: check that a majority of the voters is running",
            Accepted::No,
        );
    };
    let params =
        ForwardParams { to: peer.http, headers: &FORWARDED_HEADERS, timeout: FORWARD_TIMEOUT };
    forward::forward(app, req, &params).await.unwrap_or_else(|e| match e {
        ForwardError::UnreadableBody => {
            unavailable("the request body could not be read: send the request again", Accepted::No)
        }
        ForwardError::ConnectFailed => {
            unavailable("cannot connect to the leader: send the request again", Accepted::No)
        }
        ForwardError::NoResponse => unavailable(
            "the leader did not respond: send the same request again",
            Accepted::Unknown,
        ),
        ForwardError::ResponseInterrupted => unavailable(
            "the connection to the leader failed: send the same request again",
            Accepted::Unknown,
        ),
    })
}
