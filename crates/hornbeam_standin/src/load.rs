//! Sends queries or routed requests at a constant rate and summarizes the responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hornbeam_model::ServiceId;
use indexmap::IndexMap;
use reqwest::RequestBuilder;
use reqwest::header::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

/// Time after which a connection whose target is silent ends.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the latency histogram, in microseconds; longer latencies count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Deadline that routed requests carry.
const ROUTED_DEADLINE: Duration = Duration::from_secs(5);

/// Requests that a load run sends.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Instances or entries that the requests are sent to in turn.
    pub targets: Vec<SocketAddr>,
    /// Template of every request.
    pub request: RequestTemplate,
    /// Requests per second.
    pub rate: f64,
    /// Length of the run.
    pub time: Duration,
}

/// Template from which each request of a run is built.
#[derive(Clone, Debug)]
pub enum RequestTemplate {
    /// Queries to instances.
    Queries {
        /// Service that is queried.
        service: ServiceId,
        /// Maximum number of hits.
        limit: u32,
        /// Share of the queries that ask for a single shard, in percent, 0 to 100.
        single_percent: u32,
    },
    /// Routed requests to entries.
    Routed {
        /// Value of the `host` header.
        host: String,
        /// Path of the request.
        path: String,
    },
}

impl RequestTemplate {
    /// Builds request number `i` to `target`.
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

/// Summary of the responses.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub complete: u64,
    /// Responses with missing shards.
    pub partial: u64,
    /// Refusals by HTTP status.
    pub refused: IndexMap<u16, u64>,
    /// Requests without a valid response.
    pub failed: u64,
    /// Covered shards as a fraction of the shards that the answered requests asked for.
    pub coverage: f64,
    /// Attempts sent for the answered requests.
    pub attempts: u64,
    /// Median latency of responses, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
}

#[derive(Deserialize)]
struct QueryResponseFields {
    complete: bool,
    coverage: CoverageFields,
    attempts: u64,
}

#[derive(Deserialize)]
struct CoverageFields {
    shards_total: u64,
    covered: hornbeam_model::ShardRanges,
}

struct Sums {
    report: LoadReport,
    latency: Histogram<u64>,
    asked: u64,
    covered: u64,
}

/// Sends the requests of `plan` and waits for every response. Latency is measured from the time at
/// which a request was due, so delays of the sender count as well (no coordinated omission).
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let client = reqwest::Client::builder()
        .no_proxy()
        .tcp_user_timeout(SILENCE_TIMEOUT)
        .tcp_keepalive(SILENCE_TIMEOUT / 2)
        .build()
        .unwrap_or_default();
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
            record_response(&sums, response, routed, due).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    finish(&sums)
}

/// Coverage of one response.
struct ResponseCoverage {
    asked: u64,
    covered: u64,
    complete: bool,
    attempts: u64,
}

fn query_coverage(body: &[u8]) -> Option<ResponseCoverage> {
    let answer: QueryResponseFields = serde_json::from_slice(body).ok()?;
    Some(ResponseCoverage {
        asked: answer.coverage.shards_total,
        covered: u64::from(answer.coverage.covered.count()),
        complete: answer.complete,
        attempts: answer.attempts,
    })
}

/// Returns the coverage of a routed response, `None` if a header is malformed. A response without
/// part signatures is that of a single server.
fn routed_coverage(headers: &HeaderMap) -> Option<ResponseCoverage> {
    let text = |name| headers.get(name).map(|v: &HeaderValue| v.to_str());
    let Some(parts) = text("hornbeam-part-signatures") else {
        return Some(ResponseCoverage { asked: 1, covered: 1, complete: true, attempts: 1 });
    };
    let covered = parts.ok()?.split(',').count() as u64;
    let missing: u64 = match text("hornbeam-lacking-shards") {
        Some(count) => count.ok()?.parse().ok()?,
        None => 0,
    };
    let asked = covered + missing;
    Some(ResponseCoverage { asked, covered, complete: missing == 0, attempts: covered })
}

async fn record_response(
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
        Some((200, headers, _)) if routed => routed_coverage(&headers),
        Some((200, _, body)) => query_coverage(&body),
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
