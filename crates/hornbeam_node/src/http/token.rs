//! Tokens and requests that carry one.

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
/// Longest body of a token request, in bytes.
const MAX_BODY: usize = 1_024;
/// Longest wait for the first answer of a request that was resent.
const MAX_RESEND_WAIT: Duration = Duration::from_secs(600);
/// Longest time to reach the issuer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(610);
/// Headers passed on to the issuer.
const PASSED_ON: [&str; 4] =
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

/// `POST /v1/tokens`
pub struct PostTokens(pub Arc<App>);

#[async_trait]
impl Handler for PostTokens {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match read_json::<TokensBody>(req, MAX_BODY).await {
            Ok(body) => issue(&self.0, body.count),
            Err(reply) => reply,
        };
        reply.write(res);
    }
}

fn issue(app: &App, count: u32) -> Reply {
    if count == 0 || count > MAX_TOKENS_PER_REQUEST {
        let message = "count must be 1 to 1000: choose a count in range";
        return Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", message);
    }
    if app.is_draining() {
        let message = "this instance is shutting down: ask another one for tokens";
        return Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, "draining", message);
    }
    let mut book = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
    let Some(numbers) = book.issue(app.clock.now(), u64::from(count)) else {
        let message = "too many tokens are valid already: use them or come back later";
        return Reply::refuse(StatusCode::TOO_MANY_REQUESTS, "overloaded", message);
    };
    let tokens = numbers.map(|number| token(app, number).to_string()).collect();
    let expires_ms = TOKEN_TTL.as_millis() as u64;
    Reply::json(StatusCode::OK, &TokensReply { tokens, expires_ms })
}

fn token(app: &App, number: u64) -> Token {
    let mut token = Token {
        instance: app.settings.instance.clone(),
        incarnation: app.incarnation,
        number,
        tag: SmolStr::default(),
    };
    token.tag = tag(app, &token);
    token
}

fn tag(app: &App, token: &Token) -> SmolStr {
    let text = format!("{}~{}~{}", token.instance, token.incarnation, token.number);
    let tag = app.token_key.tag(text.as_bytes());
    let number = u64::from_le_bytes(tag[..8].try_into().unwrap_or_default());
    format_smolstr!("{number:016x}")
}

fn unknown(message: &str) -> Reply {
    Reply::error(StatusCode::CONFLICT, "bad_token", message, RunStatus::Unknown, None)
}

/// Runs a request that carries a token: here if this start issued it, else through its issuer.
pub async fn run(app: &Arc<App>, req: &mut Request, request: QueryRequest, text: SmolStr) -> Reply {
    let token: Token = match text.parse() {
        Ok(token) => token,
        Err(e) => {
            let message = format!("{e}");
            return Reply::refuse(StatusCode::BAD_REQUEST, "bad_token", &message);
        }
    };
    let genuine: bool = tag(app, &token).as_bytes().ct_eq(token.tag.as_bytes()).into();
    if !genuine {
        let message = "the token was not issued by this system: get one from /v1/tokens";
        return Reply::refuse(StatusCode::BAD_REQUEST, "bad_token", message);
    }
    if token.instance != app.settings.instance {
        return forward(app, req, &token).await;
    }
    if token.incarnation != app.incarnation {
        return unknown(
            "the instance that issued the token has restarted: look whether the request ran",
        );
    }
    run_here(app, request, token.number).await
}

async fn run_here(app: &Arc<App>, request: QueryRequest, number: u64) -> Reply {
    let give_up = tokio::time::Instant::now() + request.patience.unwrap_or(MAX_RESEND_WAIT);
    loop {
        let done = app.token_done.notified();
        tokio::pin!(done);
        done.as_mut().enable();
        let state = {
            let mut book = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
            book.begin(app.clock.now(), number)
        };
        match state {
            TokenUse::Run => return run_detached(app, request, number).await,
            TokenUse::Answered(reply) => return reply,
            TokenUse::Unknown => {
                return unknown("the token is unknown or expired: look whether the request ran");
            }
            TokenUse::Running => {
                if tokio::time::timeout_at(give_up, done).await.is_err() {
                    let message = "the first sending still runs: come back for its answer";
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return Reply::error(status, "timed_out", message, RunStatus::Unknown, None);
                }
            }
        }
    }
}

/// Runs the request in a task of its own, so that it ends even if the caller leaves.
async fn run_detached(app: &Arc<App>, request: QueryRequest, number: u64) -> Reply {
    let app = app.clone();
    let guard = app.count_request();
    let task = tokio::spawn(async move {
        let reply = query::run(&app, request).await;
        let mut book = app.tokens.lock().unwrap_or_else(|e| e.into_inner());
        if reply.not_run {
            book.release(number);
        } else {
            book.record_response(number, reply.clone());
        }
        drop(book);
        app.token_done.notify_waiters();
        drop(guard);
        reply
    });
    match task.await {
        Ok(reply) => reply,
        Err(_) => unknown("the request ended unexpectedly: look whether it ran"),
    }
}

/// Passes a request on to the issuer of its token, once.
async fn forward(app: &App, req: &mut Request, token: &Token) -> Reply {
    if forward::is_forwarded(req) {
        return unknown(
            "the token's issuer is not where it was expected: check the peers' settings",
        );
    }
    let peer = app.settings.peers.iter().find(|p| p.instance == token.instance);
    let Some(peer) = peer else {
        return unknown("the instance that issued the token is unknown here: look whether it ran");
    };
    let way = ForwardParams {
        to: peer.http,
        headers: &PASSED_ON,
        max_body: app.settings.max_body_bytes as usize,
        timeout: FORWARD_TIMEOUT,
    };
    forward::forward(app, req, &way).await.unwrap_or_else(|e| match e {
        ForwardError::UnreadableBody => unknown("the body could not be passed on"),
        ForwardError::ConnectFailed | ForwardError::NoResponse => {
            unknown("the instance that issued the token does not answer: look whether it ran")
        }
        ForwardError::ResponseInterrupted => {
            unknown("the instance that issued the token broke off: look whether it ran")
        }
    })
}
