//! Measures the time that the query engine spends on a query, by number of shards, without I/O.
//!
//! Run it by `cargo bench -p hornbeam_testkit --bench engine`; it writes
//! docs/capacity/engine.json. The results are wall-clock times and depend on the machine, so the
//! benchmark has no bounds and is not part of CI.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hornbeam_model::{Hit, Mono, QueryId, SearchReply, ShardReply};
use hornbeam_query::{
    Attempt, AttemptOutcome, Engine, EngineParams, HedgePolicy, Input, Output, Request,
    ShardSelector,
};
use hornbeam_testkit::samples;
use hornbeam_traffic::{Roster, ServerChange};
use serde_json::value::RawValue;

/// Numbers of shards that are measured; each shard is on two servers that hold no other shard.
const SHARD_COUNTS: [u32; 4] = [16, 64, 256, 1_600];
/// Queries per number of shards.
const QUERIES: u64 = 300;
/// Hits in each shard response.
const HITS_PER_SHARD: u32 = 10;

fn engine(shards: u32) -> Engine {
    let params = EngineParams {
        instance: "node-0".parse().expect("a valid name"),
        zone: "olomouc".parse().expect("a valid name"),
        max_running: 100,
        hedge: HedgePolicy::Learned,
        random_pick: false,
        seed: 1,
    };
    let mut engine = Engine::new(params, Roster::new(["node-0".parse().expect("a valid name")]));
    let mut out = Vec::new();
    let config = samples::config("planner", samples::service(10_000));
    engine.step(Mono(1), Input::Config(Arc::new(config)), &mut out);
    let server = |n: u32| {
        let holding = samples::holding(7, shards, [n % shards]);
        ServerChange::Announced(samples::announcement(
            &format!("s{n}"),
            "olomouc",
            "planner",
            vec![holding],
        ))
    };
    let servers = (0..2 * shards).map(server).collect();
    engine.step(Mono(2), Input::Servers(servers), &mut out);
    engine
}

fn reply(attempt: &Attempt) -> SearchReply {
    let record = RawValue::from_string("{\"sward_mm\":120}".to_owned()).expect("valid JSON");
    let hit = |shard: u32, n: u32| Hit {
        id: format!("plot-{shard}-{n}").into(),
        schema: attempt.schemas[n as usize % attempt.schemas.len()],
        score: f64::from(n) / f64::from(shard + 1),
        record: record.clone(),
    };
    let parts = attempt.shards.iter().map(|shard| ShardReply {
        shard,
        schemas: attempt.schemas.clone(),
        hits: (0..HITS_PER_SHARD).map(|n| hit(shard.0, n)).collect(),
    });
    SearchReply {
        attempt: Default::default(),
        index_version: attempt.index_version,
        shards: parts.collect(),
        load: None,
    }
}

fn request(n: u64) -> Request {
    Request {
        id: QueryId(n),
        request_id: format!("r{n}").parse().expect("a valid name"),
        service: "planner".parse().expect("a valid name"),
        shards: ShardSelector::All,
        limit: 100,
        patience: None,
        unix_ms: 0,
        non_idempotent: false,
        has_token: false,
        body: Arc::from(RawValue::from_string("{}".to_owned()).expect("valid JSON")),
    }
}

/// Measures the time of planning a query, and of planning and merging the replies together.
fn measure(shards: u32) -> serde_json::Value {
    let mut engine = engine(shards);
    let mut now = Mono(10_000_000);
    let new = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    let (mut plan, mut all) = (new(), new());
    for n in 0..QUERIES {
        let mut out = Vec::new();
        let began = Instant::now();
        engine.step(now, Input::Request(request(n)), &mut out);
        let planning = began.elapsed();
        let attempts = out.into_iter().filter_map(|o| match o {
            Output::Send(attempt) => Some(attempt),
            _ => None,
        });
        let replies: Vec<_> =
            attempts.map(|a| (a.id, AttemptOutcome::Replied(reply(&a)))).collect();
        now = now + Duration::from_millis(5);
        let mut out = Vec::new();
        let began = Instant::now();
        for (attempt, outcome) in replies {
            engine.step(now, Input::Reply { attempt, outcome, draining: false }, &mut out);
        }
        let merging = began.elapsed();
        assert!(
            out.iter().any(|o| matches!(o, Output::Respond(a) if a.complete)),
            "no complete response"
        );
        plan.saturating_record(planning.as_micros() as u64);
        all.saturating_record((planning + merging).as_micros() as u64);
        now = now + Duration::from_millis(5);
    }
    let line = serde_json::json!({
        "shards": shards,
        "plan_p50_us": plan.value_at_quantile(0.5),
        "plan_p99_us": plan.value_at_quantile(0.99),
        "all_p50_us": all.value_at_quantile(0.5),
        "all_p99_us": all.value_at_quantile(0.99),
    });
    println!("{line}");
    line
}

fn main() -> std::io::Result<()> {
    // `cargo test` runs benchmarks without `--bench`; the measurement is skipped then.
    if !std::env::args().any(|a| a == "--bench") {
        return Ok(());
    }
    let lines: Vec<_> = SHARD_COUNTS.into_iter().map(measure).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity/engine.json");
    std::fs::write(&path, serde_json::to_string_pretty(&lines)? + "\n")?;
    println!("{} written", path.display());
    Ok(())
}
