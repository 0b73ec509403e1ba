//! The part of the demo with routed requests: a controller, an entry and stand-ins behind them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeam_events::outln;
use hornbeam_model::{Route, RoutedService, Routing, Scatter, ServiceId, TableVersion, Target};
use hornbeam_standin::routed::{self, RoutedParams, Running};

use crate::demo::{Failure, fail, free_address};

const HOST: &str = "plots.example";
const SHARDS: usize = 6;
const COPIES: usize = 2;
const WORK: Duration = Duration::from_millis(3);
/// Bytes of one record of a routed search.
const RECORD_BYTES: usize = 16;
/// Longest wait until the search is answered.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two tries.
const TRY_EVERY: Duration = Duration::from_millis(100);
/// Loopback addresses of the controller and the entry, which share the number of the inner port; the
/// other parts of the demo use 127.0.0.1.
const CONTROLLER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));

/// Shows a search over routed shards.
pub async fn show(folder: &Path, client: &reqwest::Client) -> Result<(), Failure> {
    let api = SocketAddr::new(CONTROLLER, free_address()?.port());
    let callers = SocketAddr::new(ENTRY, free_address()?.port());
    start_programs(folder, api, callers)?;
    let _servers = start_servers(api).await?;
    put_table(client, api).await?;
    let began = Instant::now();
    loop {
        let asked = client
            .get(format!("http://{callers}/sweep/1"))
            .header("host", HOST)
            .header("hornbeam-request-id", format!("demo-{}", began.elapsed().as_micros()))
            .send()
            .await;
        if let Ok(answer) = asked
            && answer.status().is_success()
        {
            return print(answer).await;
        }
        if began.elapsed() > SETTLE_TIMEOUT {
            return Err("the routed search was not answered: are 127.0.0.2 and .3 free?".into());
        }
        tokio::time::sleep(TRY_EVERY).await;
    }
}

async fn print(answer: reqwest::Response) -> Result<(), Failure> {
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let parts = header("hornbeam-part-signatures").split(',').count();
    let lacking = header("hornbeam-lacking-shards");
    let records = answer.bytes().await.map_err(fail)?.len() / RECORD_BYTES;
    outln!("\nrouted search over {SHARDS} shards, through an entry:");
    outln!("  parts {parts}, lacking {lacking}, records {records}");
    Ok(())
}

/// Starts a controller and an entry, each on a thread that lasts as long as the process.
fn start_programs(folder: &Path, api: SocketAddr, callers: SocketAddr) -> Result<(), Failure> {
    // The controller takes two ports; the one of its calls must not be among them.
    let mut inner = free_address()?.port();
    while inner == u16::MAX || (inner..=inner + 1).contains(&api.port()) {
        inner = free_address()?.port();
    }
    let common = |name: &str, address: IpAddr| {
        format!(
            "instance: {name}\nzone: olomouc\naddress: {address}\ninner_port: {inner}\n\
             seeds: [\"{api}\"]\nkey: demo\nheartbeat_ms: 400\ngrace_s: 2\n\
             log: {{failures_per_s: 0, others_per_s: 0}}\n"
        )
    };
    let data = folder.join("routed");
    let controller = format!(
        "{}api: {api}\ndata_dir: {}\nfounding: true\n",
        common("controller-1", CONTROLLER),
        data.display()
    );
    let entry = format!("{}callers: {callers}\n", common("entry-1", ENTRY));
    for (name, text) in [("controller", controller), ("entry", entry)] {
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).map_err(fail)?;
        let run = move || {
            let ended = match name {
                "controller" => hornbeam_controller::run(&file, Default::default()),
                _ => hornbeam_entry::run(&file, Default::default()),
            };
            if let Err(e) = ended {
                log::error!("the {name} of the demo ended: {e}");
            }
        };
        std::thread::Builder::new().name(name.to_owned()).spawn(run).map_err(fail)?;
    }
    Ok(())
}

fn service(shard: usize) -> Result<ServiceId, Failure> {
    format!("plots-{shard}").parse().map_err(fail)
}

async fn start_servers(api: SocketAddr) -> Result<Vec<Running>, Failure> {
    let controllers = Arc::new(vec![api]);
    let mut servers = Vec::new();
    for n in 0..SHARDS * COPIES {
        let service = service(n % SHARDS)?;
        let params = RoutedParams {
            name: format!("{service}-{n}").parse().map_err(fail)?,
            service,
            zone: "olomouc".parse().map_err(fail)?,
            listen: SocketAddr::new(CONTROLLER, 0),
            work: WORK,
            controllers: controllers.clone(),
            notes: Arc::new(|_| {}),
        };
        servers.push(routed::start(params).await.map_err(fail)?);
    }
    Ok(servers)
}

/// Puts a table with one search; tried until the controller leads.
async fn put_table(client: &reqwest::Client, api: SocketAddr) -> Result<(), Failure> {
    let shards = (0..SHARDS).map(service).collect::<Result<Vec<_>, _>>()?;
    let services = shards.iter().map(|s| (s.clone(), RoutedService { max_connections: 16 }));
    let route = Route {
        name: "sweep".parse().map_err(fail)?,
        host: HOST.into(),
        prefix: "/sweep/".into(),
        idempotent: true,
        timeout_ms: 2_000,
        objective_ms: 200,
        priority: 1,
        max_attempts: 2,
        target: Target::Scatter(Scatter {
            shards: shards.clone(),
            limit: 10,
            min_covered_ppm: 900_000,
        }),
    };
    let table = Routing {
        version: TableVersion(1),
        services: services.collect(),
        routes: vec![Arc::new(route)],
        ..Routing::default()
    };
    let began = Instant::now();
    loop {
        let put = client.put(format!("http://{api}/v1/routing")).json(&table).send().await;
        if put.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        if began.elapsed() > SETTLE_TIMEOUT {
            return Err("the controller took no table: is its address free?".into());
        }
        tokio::time::sleep(TRY_EVERY).await;
    }
}
