//! Tokens that make a non-idempotent request run at most once, and requests that carry one.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_query::tokens::{MAX_TOKENS_PER_REQUEST, TOKEN_TTL, Token, TokenUse};
use hornbeam_query::{Request as QueryRequest, RunStatus};
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use subtle::ConstantTimeEq;

use super::app::App;
use super::body::read_json;
use super::forward::{self, ForwardError, ForwardParams};
use super::query;
use super::reply::Reply;

/// Header that carries a token.
pub const TOKEN_HEADER: &str = "hornbeam-token";
/// Maximum body size of a request for tokens, in bytes.
const MAX_BODY_BYTES: usize = 1_024;
/// Maximum wait for the reply to the first request, if a repeated request sets no deadline.
const MAX_RESEND_WAIT: Duration = Duration::from_secs(600);
/// Limit for a request that is forwarded to the issuer of its token.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(610);
/// Headers copied to a request that is forwarded to the issuer.
const FORWARDED_HEADERS: [&str; 4] =
    ["hornbeam-request-id", "hornbeam-deadline-ms", "hornbeam-non-idempotent", TOKEN_HEADER];

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokensBody {
    count: u32,
}

#[derive(Serialize)]
struct TokensReply {
    tokens: Vec<String>,
    expires_ms: u64,
}

/// Handler of `POST /v1/tokens`.
pub struct PostTokens(pub Arc<App>);

#[async_trait]
impl Handler for PostTokens {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match read_json::<TokensBody>(&self.0, req, MAX_BODY_BYTES).await {
            Ok(body) => issue_tokens(&self.0, body.count),
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

fn issue_tokens(app: &App, count: u32) -> Reply {
    if count == 0 || count > MAX_TOKENS_PER_REQUEST {
        let message = "count must be between 1 and 1000: change it";
        return Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", message);
    }
    if app.is_draining() {
        let message = "this instance is shutting down: request tokens from another one";
        return Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "draining", message);
    }
    let mut store = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
    let Some(numbers) = store.issue(app.clock.now(), u64::from(count)) else {
        let message = "too many issued tokens have not expired: use them or retry later";
        return Reply::refuse(StatusCode::TOO_MANY_REQUESTS, "overloaded", message);
    };
    let tokens = numbers.map(|number| create_token(app, number).to_string()).collect();
    let expires_ms = TOKEN_TTL.as_millis() as u64;
    Reply::json(StatusCode::OK, &TokensReply { tokens, expires_ms })
}

fn create_token(app: &App, number: u64) -> Token {
    let mut token = Token {
        instance: app.settings.instance.clone(),
        incarnation: app.incarnation,
        number,
        tag: SmolStr::default(),
    };
    token.tag = compute_tag(app, &token);
    token
}

fn compute_tag(app: &App, token: &Token) -> SmolStr {
    let text = format!("{}~{}~{}", token.instance, token.incarnation, token.number);
    let tag = app.token_key.tag(text.as_bytes());
    let number = u64::from_le_bytes(tag[..8].try_into().unwrap_or_default());
    format_smolstr!("{number:016x}")
}

fn unknown_outcome(message: &str) -> Reply {
    Reply::error(StatusCode::CONFLICT, "bad_token", message, RunStatus::Unknown, None)
}

/// Runs a request that carries a token: locally if this incarnation issued the token, otherwise
/// through the instance that issued it.
pub async fn run(app: &Arc<App>, req: &mut Request, request: QueryRequest, text: SmolStr) -> Reply {
    let token: Token = match text.parse() {
        Ok(token) => token,
        Err(e) => {
            let message = format!("{e}");
            return Reply::refuse(StatusCode::BAD_REQUEST, "bad_token", &message);
        }
    };
    let genuine: bool = compute_tag(app, &token).as_bytes().ct_eq(token.tag.as_bytes()).into();
    if !genuine {
        let message = "the token was not issued by this system: request one from /v1/tokens";
        return Reply::refuse(StatusCode::BAD_REQUEST, "bad_token", message);
    }
    if token.instance != app.settings.instance {
        return forward_to_issuer(app, req, &token).await;
    }
    if token.incarnation != app.incarnation {
        return unknown_outcome(
            "the issuer of the token has restarted: check whether the request ran",
        );
    }
    run_locally(app, request, token.number).await
}

async fn run_locally(app: &Arc<App>, request: QueryRequest, number: u64) -> Reply {
    let wait_until = tokio::time::Instant::now() + request.patience.unwrap_or(MAX_RESEND_WAIT);
    loop {
        let done = app.token_done.notified();
        tokio::pin!(done);
        done.as_mut().enable();
        let state = {
            let mut store = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
            store.begin(app.clock.now(), number)
        };
        match state {
            TokenUse::Run => return run_detached(app, request, number).await,
            TokenUse::Answered(reply) => return reply,
            TokenUse::Unknown => {
                return unknown_outcome(
                    "the token is unknown or expired: check whether the request ran",
                );
            }
            TokenUse::Running => {
                if tokio::time::timeout_at(wait_until, done).await.is_err() {
                    let message = "an earlier request with this token still runs: retry later";
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return Reply::error(status, "timed_out", message, RunStatus::Unknown, None);
                }
            }
        }
    }
}

/// Runs the request in a separate task, so that it completes and its reply is stored even if the
/// caller disconnects.
async fn run_detached(app: &Arc<App>, request: QueryRequest, number: u64) -> Reply {
    let app = app.clone();
    let guard = app.count_request();
    let task = tokio::spawn(async move {
        let reply = query::run(&app, request).await;
        let mut store = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
        if reply.not_run {
            store.release(number);
        } else {
            store.record_response(number, reply.clone());
        }
        drop(store);
        app.token_done.notify_waiters();
        drop(guard);
        reply
    });
    match task.await {
        Ok(reply) => reply,
        Err(_) => unknown_outcome("the request ended unexpectedly: check whether it ran"),
    }
}

/// Forwards a request to the issuer of its token, unless it has been forwarded already.
async fn forward_to_issuer(app: &App, req: &mut Request, token: &Token) -> Reply {
    if forward::is_forwarded(req) {
        return unknown_outcome(
            "this instance did not issue the forwarded token: check the peers' settings",
        );
    }
    let peer = app.settings.peers.iter().find(|p| p.instance == token.instance);
    let Some(peer) = peer else {
        return unknown_outcome(
            "the issuer of the token is not a peer of this instance: check whether the request ran",
        );
    };
    let params =
        ForwardParams { to: peer.http, headers: &FORWARDED_HEADERS, timeout: FORWARD_TIMEOUT };
    forward::forward(app, req, &params).await.unwrap_or_else(|e| match e {
        ForwardError::UnreadableBody => {
            unknown_outcome("the request body could not be read: send the request again")
        }
        ForwardError::ConnectFailed | ForwardError::NoResponse => unknown_outcome(
            "the issuer of the token does not respond: check whether the request ran",
        ),
        ForwardError::ResponseInterrupted => unknown_outcome(
            "the connection to the issuer of the token failed: check whether the request ran",
        ),
    })
}
