//! Queries of callers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{QueryId, RequestId, ServiceId, ShardId};
use hornbeam_query::{Request as QueryRequest, RunStatus, ShardSelector};
use salvo::http::{HeaderMap, Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Deserialize;
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;

use super::app::App;
use super::body::read_json;
use super::reply::{REQUEST_ID_HEADER, Reply, echo_request_id};
use super::token;
use crate::clock::unix_ms;
use crate::traffic::{Completion, TrafficMessage};

/// Maximum number of hits if the request sets no limit.
const DEFAULT_MAX_HITS: u32 = 10;
/// Maximum number of shards that a request can list.
const MAX_LISTED_SHARDS: usize = 65_536;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 1_024;
/// Maximum patience; a longer one is reduced to this.
const MAX_PATIENCE: Duration = Duration::from_secs(600);
/// Header with the time for which the caller waits, in milliseconds.
const DEADLINE_MS_HEADER: &str = "hornbeam-deadline-ms";
/// Header that marks a request that must run at most once.
const NON_IDEMPOTENT_HEADER: &str = "hornbeam-non-idempotent";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody {
    query: Arc<RawValue>,
    limit: Option<u32>,
    shards: Option<ShardsBody>,
    key: Option<SmolStr>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ShardsBody {
    Keyword(SmolStr),
    List(Vec<u32>),
}

/// Handler of `POST /v1/services/{service}/query`.
pub struct PostQuery(pub Arc<App>);

#[async_trait]
impl Handler for PostQuery {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let guard = self.0.count_request();
        let reply = match parse(&self.0, req).await {
            Ok((request, token)) => {
                echo_request_id(res, request.request_id.as_str());
                match token {
                    Some(token) => token::run(&self.0, req, request, token).await,
                    None => run(&self.0, request).await,
                }
            }
            Err(reply) => reply,
        };
        reply.write(res);
        drop(guard);
    }
}

fn bad_request(message: &str) -> Reply {
    Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", message)
}

async fn parse(app: &App, req: &mut Request) -> Result<(QueryRequest, Option<SmolStr>), Reply> {
    let id = app.next_query_id();
    let service: SmolStr = req.param::<String>("service").unwrap_or_default().into();
    let service = ServiceId::try_from(service).map_err(|e| bad_request(&e.to_string()))?;
    let request_id = match header(req.headers(), REQUEST_ID_HEADER)? {
        Some(text) => text.parse::<RequestId>().map_err(|e| bad_request(&e.to_string()))?,
        None => generate_request_id(app, id)?,
    };
    let patience = match header(req.headers(), DEADLINE_MS_HEADER)? {
        Some(text) => Some(parse_patience(text)?),
        None => None,
    };
    let non_idempotent = match header(req.headers(), NON_IDEMPOTENT_HEADER)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => {
            return Err(bad_request(
                "Hornbeam-Non-Idempotent must be true or false: correct the header",
            ));
        }
    };
    let token = header(req.headers(), token::TOKEN_HEADER)?.map(SmolStr::new);
    if token.is_some() && !non_idempotent {
        return Err(bad_request(
            "Hornbeam-Token requires the header Hornbeam-Non-Idempotent: true: add it",
        ));
    }
    let body: QueryBody = read_json(app, req, app.settings.max_body_bytes as usize).await?;
    let request = QueryRequest {
        id,
        request_id,
        service,
        shards: select_shards(body.shards, body.key)?,
        limit: body.limit.unwrap_or(DEFAULT_MAX_HITS),
        patience,
        unix_ms: unix_ms(),
        non_idempotent,
        has_token: token.is_some(),
        body: body.query,
    };
    Ok((request, token))
}

fn generate_request_id(app: &App, id: QueryId) -> Result<RequestId, Reply> {
    let text = format_smolstr!("{}-{}", app.incarnation, id);
    RequestId::try_from(text).map_err(|e| bad_request(&e.to_string()))
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reply> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value
        .to_str()
        .map_err(|_| bad_request("a request header contains non-ASCII characters: remove them"))?;
    Ok(Some(text.trim()))
}

fn parse_patience(text: &str) -> Result<Duration, Reply> {
    let ms: u64 = text.parse().ok().filter(|ms| *ms > 0).ok_or_else(|| {
        bad_request("Hornbeam-Deadline-Ms must be a positive integer in milliseconds: correct it")
    })?;
    Ok(Duration::from_millis(ms).min(MAX_PATIENCE))
}

fn select_shards(shards: Option<ShardsBody>, key: Option<SmolStr>) -> Result<ShardSelector, Reply> {
    match (shards, key) {
        (Some(_), Some(_)) => {
            Err(bad_request("shards and key cannot be combined: send only one of them"))
        }
        (None, Some(key)) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(bad_request("key must have 1 to 1024 bytes: change its length"))
        }
        (None, Some(key)) => Ok(ShardSelector::Key(key)),
        (None, None) => Ok(ShardSelector::All),
        (Some(ShardsBody::Keyword(keyword)), None) if keyword == "all" => Ok(ShardSelector::All),
        (Some(ShardsBody::Keyword(_)), None) => {
            Err(bad_request("shards must be \"all\" or a list of shard numbers: correct it"))
        }
        (Some(ShardsBody::List(list)), None) if list.len() > MAX_LISTED_SHARDS => {
            Err(bad_request("shards can list at most 65536 shards: use \"all\""))
        }
        (Some(ShardsBody::List(list)), None) => {
            Ok(ShardSelector::Listed(list.into_iter().map(ShardId).collect()))
        }
    }
}

/// Informs the engine if the caller disconnects before its request completes.
struct CallerGuard<'a> {
    app: &'a App,
    query: QueryId,
    waiting: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.waiting {
            let _ = self.app.traffic.send(TrafficMessage::CallerGone(self.query));
        }
    }
}

/// Runs a request through the engine and waits for its completion.
pub async fn run(app: &App, request: QueryRequest) -> Reply {
    let (tx, rx) = oneshot::channel();
    let request_id = request.request_id.clone();
    let mut guard = CallerGuard { app, query: request.id, waiting: true };
    let sent = app.traffic.send(TrafficMessage::Request(Box::new(request), tx));
    let completion = if sent.is_ok() { rx.await.ok() } else { None };
    guard.waiting = false;
    match completion {
        Some(Completion::Response(response)) => Reply::response(request_id.as_str(), &response),
        Some(Completion::Refusal(refusal)) => Reply::refusal(&refusal),
        None => {
            let message = "the instance is stopping: send the request to another one";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let ran = if sent.is_ok() { RunStatus::Unknown } else { RunStatus::NotRun };
            Reply::error(status, "draining", message, ran, Some(Duration::from_secs(1)))
        }
    }
}
