//! Sends queries or routed requests at a steady rate and sums up the answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hornbeam_model::ServiceId;
use indexmap::IndexMap;
use reqwest::RequestBuilder;
use reqwest::header::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

/// Longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Longest wait for the answer to a routed request.
const ROUTED_DEADLINE: Duration = Duration::from_secs(5);

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Instances or entries that take the requests in turn.
    pub targets: Vec<SocketAddr>,
    /// What is asked.
    pub request: RequestTemplate,
    /// Requests a second.
    pub rate: f64,
    /// How long to send.
    pub time: Duration,
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum RequestTemplate {
    /// Queries of instances.
    Queries {
        /// The service.
        service: ServiceId,
        /// Most hits wanted.
        limit: u32,
        /// Part of the queries that ask one shard only, 0 to 100.
        single_percent: u32,
    },
    /// Routed requests of entries.
    Routed {
        /// The host that they name.
        host: String,
        /// Their path.
        path: String,
    },
}

impl RequestTemplate {
    /// The request of this number.
    fn request(&self, client: &reqwest::Client, target: SocketAddr, i: u64) -> RequestBuilder {
        match self {
            Self::Queries { service, limit, single_percent } => {
                let single = i % 100 < u64::from(*single_percent);
                let key = if single { format!(",\"key\":\"k{i}\"") } else { String::new() };
                let body = format!("{{\"query\":{{}},\"limit\":{limit}{key}}}");
                let url = format!("http://{target}/v1/services/{service}/query");
                client.post(url).header("content-type", "application/json").body(body)
            }
            Self::Routed { host, path } => {
                let request = client.get(format!("http://{target}{path}")).header("host", host);
                let id = format!("{:016x}", rand::random::<u64>());
                let deadline = ROUTED_DEADLINE.as_millis().to_string();
                request.header("hornbeam-request-id", id).header("hornbeam-deadline-ms", deadline)
            }
        }
    }
}

/// What came back.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Queries sent.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Answers that lack shards.
    pub partial: u64,
    /// Refusals by status.
    pub refused: IndexMap<u16, u64>,
    /// Queries without an answer.
    pub failed: u64,
    /// Shards covered, as a part of the shards asked for in all answers.
    pub coverage: f64,
    /// Attempts sent for the answered queries.
    pub attempts: u64,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
}

#[derive(Deserialize)]
struct AnswerPart {
    complete: bool,
    coverage: CoveragePart,
    attempts: u64,
}

#[derive(Deserialize)]
struct CoveragePart {
    shards_total: u64,
    covered: hornbeam_model::ShardRanges,
}

struct Sums {
    report: LoadReport,
    latency: Histogram<u64>,
    asked: u64,
    covered: u64,
}

/// Sends the queries of `plan` and waits for every answer. Latency counts from the time a query
/// was due, so a slow system cannot hide behind a slow sender.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
    let Ok(latency) = latency else { return LoadReport::default() };
    let sums = Sums { report: LoadReport::default(), latency, asked: 0, covered: 0 };
    let sums = Arc::new(Mutex::new(sums));
    let count = (plan.rate * plan.time.as_secs_f64()) as u64;
    let began = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..count {
        let due = began + Duration::from_secs_f64(i as f64 / plan.rate);
        tokio::time::sleep_until(tokio::time::Instant::from_std(due)).await;
        let target = plan.targets[i as usize % plan.targets.len()];
        let call = plan.request.request(&client, target, i).send();
        let routed = matches!(plan.request, RequestTemplate::Routed { .. });
        let sums = sums.clone();
        tasks.spawn(async move {
            let response = call.await;
            note(&sums, response, routed, due).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    finish(&sums)
}

/// What an answer covers.
struct Covered {
    asked: u64,
    covered: u64,
    complete: bool,
    attempts: u64,
}

fn covered_by_query(body: &[u8]) -> Option<Covered> {
    let answer: AnswerPart = serde_json::from_slice(body).ok()?;
    Some(Covered {
        asked: answer.coverage.shards_total,
        covered: u64::from(answer.coverage.covered.count()),
        complete: answer.complete,
        attempts: answer.attempts,
    })
}

/// What a routed answer covers; one without parts is the answer of one server.
fn covered_by_parts(headers: &HeaderMap) -> Option<Covered> {
    let text = |name| headers.get(name).map(|v: &HeaderValue| v.to_str());
    let Some(parts) = text("hornbeam-part-signatures") else {
        return Some(Covered { asked: 1, covered: 1, complete: true, attempts: 1 });
    };
    let covered = parts.ok()?.split(',').count() as u64;
    let lacking: u64 = match text("hornbeam-lacking-shards") {
        Some(lacking) => lacking.ok()?.parse().ok()?,
        None => 0,
    };
    let asked = covered + lacking;
    Some(Covered { asked, covered, complete: lacking == 0, attempts: covered })
}

async fn note(
    sums: &Mutex<Sums>,
    response: reqwest::Result<reqwest::Response>,
    routed: bool,
    due: Instant,
) {
    let parsed = match response {
        Ok(response) => {
            let (status, headers) = (response.status().as_u16(), response.headers().clone());
            Some((status, headers, response.bytes().await.unwrap_or_default()))
        }
        Err(_) => None,
    };
    let us = due.elapsed().as_micros() as u64;
    let mut sums = sums.lock().unwrap_or_else(|e| e.into_inner());
    sums.report.sent += 1;
    let covered = match parsed {
        Some((200, headers, _)) if routed => covered_by_parts(&headers),
        Some((200, _, body)) => covered_by_query(&body),
        Some((status, ..)) => {
            *sums.report.refused.entry(status).or_default() += 1;
            return;
        }
        None => None,
    };
    let Some(covered) = covered else {
        sums.report.failed += 1;
        return;
    };
    sums.latency.saturating_record(us);
    sums.asked += covered.asked;
    sums.covered += covered.covered;
    sums.report.attempts += covered.attempts;
    if covered.complete {
        sums.report.complete += 1;
    } else {
        sums.report.partial += 1;
    }
}

fn finish(sums: &Mutex<Sums>) -> LoadReport {
    let sums = sums.lock().unwrap_or_else(|e| e.into_inner());
    let ms = |q: f64| sums.latency.value_at_quantile(q) as f64 / 1_000.0;
    LoadReport {
        coverage: if sums.asked == 0 { 0.0 } else { sums.covered as f64 / sums.asked as f64 },
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        p999_ms: ms(0.999),
        ..sums.report.clone()
    }
}
