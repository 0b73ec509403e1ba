//! Measures the processor time, memory and traffic per query, attempt, server and instance with real
//! processes on loopback, and writes docs/capacity/slopes.json, on which docs/CAPACITY.md is based.
//!
//! `cargo bench -p hornbeamrun --bench slopes` takes about three minutes; with `-- idle` it prints
//! only the idle cost and writes nothing. The figures are wall-clock measurements, so the benchmark
//! checks no bounds and is not part of CI.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hornbeam_standin::{LoadPlan, LoadReport, RequestTemplate};
use serde::Serialize;
use serde_json::{Value, json};

const BIN: &str = env!("CARGO_BIN_EXE_hornbeamrun");
const TOKEN: &str = "operator-token-of-the-bench";
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

type BenchError = Box<dyn std::error::Error>;

/// Measured cost at one size.
#[derive(Clone, Debug, Serialize)]
struct Point {
    size: f64,
    cost: f64,
}

/// Points and their least-squares line: `cost = base + slope * size`.
#[derive(Clone, Debug, Serialize)]
struct Line {
    unit: &'static str,
    points: Vec<Point>,
    base: f64,
    slope: f64,
}

fn fit(unit: &'static str, points: Vec<Point>) -> Line {
    let n = points.len() as f64;
    let mean = |f: &dyn Fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_size, mean_cost) = (mean(&|p| p.size), mean(&|p| p.cost));
    let cov: f64 = points.iter().map(|p| (p.size - mean_size) * (p.cost - mean_cost)).sum();
    let var: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let slope = if var == 0.0 { 0.0 } else { cov / var };
    Line { unit, points, base: mean_cost - slope * mean_size, slope }
}

/// A process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(args: &[String]) -> Result<Self, BenchError> {
        let child =
            Command::new(BIN).args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        Ok(Self(child))
    }

    /// Returns the user and system time used so far, in seconds.
    fn cpu(&self) -> Result<f64, BenchError> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let after = stat.rsplit(')').next().ok_or("no stat")?;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS_PER_S)
    }

    /// Returns the resident memory, in bytes.
    fn memory(&self) -> Result<f64, BenchError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no VmRSS")?;
        let kib: f64 = line.split_whitespace().nth(1).ok_or("no number")?.parse()?;
        Ok(kib * 1_024.0)
    }
}

/// Instances as processes; the first three vote, or the first one if there are fewer than three.
struct Fleet {
    processes: Vec<Process>,
    http: Vec<SocketAddr>,
    client: reqwest::Client,
    _folder: tempfile::TempDir,
}

impl Fleet {
    async fn start(count: usize, host: u8) -> Result<Self, BenchError> {
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("key"), "inner key of the bench")?;
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let http = |n: usize| SocketAddr::from(([127, 77, host, 1], 7_000 + n as u16));
        let inner = |n: usize| SocketAddr::from(([127, 77, host, 1], 8_000 + n as u16));
        let voters = if count >= 3 { 3 } else { 1 };
        let names: Vec<String> = (0..voters).map(|n| format!("node-{n}")).collect();
        let mut processes = Vec::new();
        for n in 0..count {
            let mut text = format!(
                "instance: node-{n}\nzone: zone-{}\nhttp: {}\ninner: {}\nkey_file: key\n\
                 operator_token_file: token\nvoters: [{}]\nmax_in_flight: 5000\npeers:\n",
                n % 3,
                http(n),
                inner(n),
                names.join(", ")
            );
            for p in (0..count).filter(|p| *p != n) {
                text += &format!(
                    "  - {{instance: node-{p}, zone: zone-{}, http: {}, inner: {}}}\n",
                    p % 3,
                    http(p),
                    inner(p)
                );
            }
            if count == 1 {
                text = text.replace("peers:\n", "");
            }
            if n < voters {
                text += &format!("roles: [entry, control]\ndata_dir: data-{n}\n");
            }
            let file = folder.path().join(format!("node-{n}.yaml"));
            std::fs::write(&file, text)?;
            processes.push(Process::start(&["serve".into(), file.display().to_string()])?);
        }
        let client = reqwest::Client::builder().no_proxy().build()?;
        let http = (0..count).map(http).collect();
        let fleet = Self { processes, http, client, _folder: folder };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_ready(&self) -> Result<(), BenchError> {
        let started_at = Instant::now();
        for address in &self.http {
            loop {
                let url = format!("http://{address}/v1/config");
                let reply = self.client.get(url).bearer_auth(TOKEN).send().await;
                if let Ok(reply) = reply
                    && let Ok(body) = reply.json::<Value>().await
                    && body["confirmed_ms_ago"].is_u64()
                {
                    break;
                }
                if started_at.elapsed() > Duration::from_secs(30) {
                    return Err(format!("{address} is not ready after 30 s").into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn configure(&self, patience_ms: u64) -> Result<(), BenchError> {
        let service = json!({"patience": {"default_ms": patience_ms}, "schemas": [1, 2],
            "limits": {"max_in_flight": 5000, "max_queue": 5000}});
        let change = json!({"put_service": {"name": "planner", "service": service}});
        let body = json!({"change_id": "bench", "expect_revision": 0, "change": change});
        for _ in 0..100 {
            let url = format!("http://{}/v1/config/changes", self.http[0]);
            let reply = self.client.post(url).bearer_auth(TOKEN).json(&body).send().await?;
            if reply.status().is_success() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the configuration was not accepted".into())
    }

    async fn wait_covered(&self, shards: u32) -> Result<(), BenchError> {
        for _ in 0..200 {
            let url = format!("http://{}/v1/services/planner/query", self.http[0]);
            let reply = self.client.post(url).body("{\"query\":1}").send().await?;
            let body: Value = reply.json().await?;
            if body["complete"] == true && body["coverage"]["shards_total"] == shards {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the shards are not covered".into())
    }

    async fn metric(&self, n: usize, name: &str) -> Result<f64, BenchError> {
        let url = format!("http://{}/metrics", self.http[n]);
        let text = self.client.get(url).send().await?.text().await?;
        let line = text.lines().find(|l| l.starts_with(name)).ok_or("no such metric")?;
        Ok(line.rsplit(' ').next().ok_or("no number")?.parse()?)
    }
}

fn standins(fleet: &Fleet, host: u8, count: u16, service_us: u64) -> Result<Process, BenchError> {
    let list: Vec<String> = fleet.http.iter().map(|a| a.to_string()).collect();
    let args = [
        "standins".to_owned(),
        format!("--listen=127.77.{host}.2:20000"),
        format!("--count={count}"),
        format!("--registrars={}", list.join(",")),
        "--service=planner".to_owned(),
        "--zone=zone-0".to_owned(),
        format!("--shards={count}"),
        "--replicas=1".to_owned(),
        "--slots=64".to_owned(),
        "--connections=400".to_owned(),
        format!("--service-us={service_us}"),
    ];
    let args = args.map(|a| a.replace('=', " "));
    let split: Vec<String> = args.iter().flat_map(|a| a.split(' ')).map(str::to_owned).collect();
    Process::start(&split)
}

async fn load(fleet: &Fleet, rate: f64, seconds: u64) -> LoadReport {
    let plan = LoadPlan {
        targets: fleet.http.clone(),
        request: RequestTemplate::Queries {
            service: "planner".parse().expect("a valid name"),
            limit: 10,
            single_percent: 0,
        },
        rate,
        time: Duration::from_secs(seconds),
    };
    hornbeam_standin::load::run(&plan).await
}

/// Measures the processor time of an instance per query, by number of attempts.
async fn query_cpu() -> Result<(Line, Vec<Value>), BenchError> {
    let mut points = Vec::new();
    let mut latencies = Vec::new();
    for (host, count, rate) in [(1u8, 16u16, 100.0), (2, 64, 50.0), (3, 256, 15.0), (4, 1_600, 2.0)]
    {
        let fleet = Fleet::start(1, host).await?;
        fleet.configure(10_000).await?;
        let _servers = standins(&fleet, host, count, 2_000)?;
        fleet.wait_covered(u32::from(count)).await?;
        load(&fleet, rate, 2).await;
        let before = fleet.processes[0].cpu()?;
        let report = load(&fleet, rate, 6).await;
        let used = fleet.processes[0].cpu()? - before;
        let answered = (report.complete + report.partial) as f64;
        println!(
            "{count} attempts a query: {:.3} ms processor time, {report:?}",
            used / answered * 1e3
        );
        points.push(Point { size: f64::from(count), cost: used / answered * 1e6 });
        latencies.push(json!({
            "shards": count, "p50_ms": report.p50_ms, "p99_ms": report.p99_ms,
            "complete": report.complete, "partial": report.partial,
        }));
    }
    Ok((fit("microseconds of processor time per query, by attempts", points), latencies))
}

/// Measures the memory of an instance by number of known servers, and the processor time of
/// announcements.
async fn server_memory() -> Result<[Line; 2], BenchError> {
    let fleet = Fleet::start(1, 10).await?;
    let mut points = Vec::new();
    let mut cpu = Vec::new();
    let mut known = 0;
    for count in [0u32, 2_000, 4_000, 6_000] {
        while known < count {
            let address = SocketAddr::from((
                [127, 77, 11, (known / 60_000) as u8 + 1],
                1 + (known % 60_000) as u16,
            ));
            let body = json!({
                "server": format!("server-{known}"), "incarnation": 1, "seq": 1,
                "address": address, "zone": "zone-0", "service": "planner", "state": "ready",
                "slots": 2, "connections": 25,
                "indexes": [{"version": 1, "shard_count": 1_600, "schemas": [1, 2],
                    "shards": [known % 1_600]}],
            });
            let url = format!("http://{}/v1/announce", fleet.http[0]);
            fleet.client.post(url).json(&body).send().await?;
            known += 1;
        }
        points.push(Point { size: f64::from(count), cost: fleet.processes[0].memory()? });
        cpu.push(Point { size: f64::from(count), cost: fleet.processes[0].cpu()? * 1e6 });
        if count == 0 {
            fleet.configure(10_000).await?;
        }
    }
    let cpu = fit("microseconds of processor time, by announcements", cpu);
    Ok([fit("bytes of memory, by known servers", points), cpu])
}

/// Measures the memory of an instance by number of in-flight queries with 16 attempts each.
async fn query_memory() -> Result<Line, BenchError> {
    let fleet = Fleet::start(1, 12).await?;
    fleet.configure(60_000).await?;
    let _servers = standins(&fleet, 12, 16, 4_000_000)?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut points = vec![Point { size: 0.0, cost: fleet.processes[0].memory()? }];
    let mut tasks = Vec::new();
    for count in [200usize, 400, 800] {
        while tasks.len() < count {
            let url = format!("http://{}/v1/services/planner/query", fleet.http[0]);
            let body = "{\"query\":{\"sward\":\"week\"}}";
            tasks.push(tokio::spawn(fleet.client.post(url).body(body).send()));
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        let in_flight = fleet.metric(0, "hornbeam_in_flight ").await?;
        points.push(Point { size: in_flight, cost: fleet.processes[0].memory()? });
    }
    Ok(fit("bytes of memory, by queries of 16 attempts in flight", points))
}

/// Measures the idle cost of an instance by number of instances: share of a core, bytes sent per
/// second, memory.
async fn idle() -> Result<[Line; 3], BenchError> {
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for (host, count) in [(20u8, 3usize), (21, 9), (22, 27)] {
        let fleet = Fleet::start(count, host).await?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let sent = |n| fleet.metric(n, "hornbeam_inner_sent_bytes_total");
        let mut before = Vec::new();
        for n in 0..count {
            before.push((fleet.processes[n].cpu()?, sent(n).await?));
        }
        let seconds = 12.0;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        let (mut worst_cpu, mut worst_bytes, mut worst_memory) = (0.0f64, 0.0f64, 0.0f64);
        for (n, (cpu, bytes)) in before.into_iter().enumerate() {
            worst_cpu = worst_cpu.max((fleet.processes[n].cpu()? - cpu) / seconds);
            worst_bytes = worst_bytes.max((sent(n).await? - bytes) / seconds);
            worst_memory = worst_memory.max(fleet.processes[n].memory()?);
        }
        println!(
            "{count} instances idle: {worst_cpu:.4} of a core, {worst_bytes:.0} B/s sent, {:.1} MB",
            worst_memory / 1e6
        );
        let size = count as f64;
        cpu.push(Point { size, cost: worst_cpu });
        bytes.push(Point { size, cost: worst_bytes });
        memory.push(Point { size, cost: worst_memory });
    }
    Ok([
        fit("part of a core, busiest idle instance, by instances", cpu),
        fit("bytes sent a second, busiest idle instance, by instances", bytes),
        fit("bytes of memory, largest idle instance, by instances", memory),
    ])
}

async fn measure() -> Result<Value, BenchError> {
    let (query, latencies) = query_cpu().await?;
    println!("query: {:.1} us + {:.2} us an attempt", query.base, query.slope);
    let [servers, announcements] = server_memory().await?;
    println!("announcement: {:.0} us", announcements.slope);
    println!("memory: {:.1} MB + {:.0} bytes a server", servers.base / 1e6, servers.slope);
    let queries = query_memory().await?;
    println!("memory: {:.0} bytes a query of 16 attempts in flight", queries.slope);
    let [cpu, bytes, memory] = idle().await?;
    Ok(json!({
        "query_cpu_us": query,
        "query_latency": latencies,
        "server_memory_bytes": servers,
        "announcement_cpu_us": announcements,
        "query_memory_bytes": queries,
        "idle_cpu_share": cpu,
        "idle_bytes_per_s": bytes,
        "idle_memory_bytes": memory,
    }))
}

fn main() -> Result<(), BenchError> {
    // `cargo test` may build and run benchmarks, without --bench; nothing is measured then.
    if !std::env::args().any(|a| a == "--bench") {
        return Ok(());
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    if std::env::args().any(|a| a == "idle") {
        return runtime.block_on(idle()).map(drop);
    }
    let slopes = runtime.block_on(measure())?;
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity/slopes.json");
    std::fs::write(&path, serde_json::to_string_pretty(&slopes)? + "\n")?;
    println!("{} written", path.display());
    Ok(())
}
