//! Routed requests of the demo: a controller, an entry and stand-in backend servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeam_events::outln;
use hornbeam_model::{Route, RoutedService, Routing, Scatter, ServiceId, TableVersion, Target};
use hornbeam_standin::routed::{self, RoutedParams, Running};

use crate::demo::{DemoError, error_text, free_address};

const HOST: &str = "plots.example";
const SHARD_COUNT: usize = 6;
const REPLICA_COUNT: usize = 2;
/// Time a stand-in takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Size of one record in the body of a routed search.
const RECORD_BYTES: usize = 16;
/// Longest wait until the table is accepted, or until the search is answered.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a request is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Loopback address of the controller. Controller and entry use the same inner port number, so they
/// need different addresses; the rest of the demo uses 127.0.0.1.
const CONTROLLER_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
/// Loopback address of the entry; see [`CONTROLLER_IP`].
const ENTRY_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));

/// Runs a scatter-gather search through an entry and prints its result.
pub async fn show(folder: &Path, client: &reqwest::Client) -> Result<(), DemoError> {
    let api = SocketAddr::new(CONTROLLER_IP, free_address()?.port());
    let callers = SocketAddr::new(ENTRY_IP, free_address()?.port());
    start_controller_and_entry(folder, api, callers)?;
    let _servers = start_servers(api).await?;
    put_table(client, api).await?;
    let started_at = Instant::now();
    loop {
        let resp = client
            .get(format!("http://{callers}/sweep/1"))
            .header("host", HOST)
            .header("hornbeam-request-id", format!("demo-{}", started_at.elapsed().as_micros()))
            .send()
            .await;
        if let Ok(resp) = resp
            && resp.status().is_success()
        {
            return print(resp).await;
        }
        if started_at.elapsed() > READY_TIMEOUT {
            return Err(
                "the routed search was not answered: check that 127.0.0.2 and 127.0.0.3 are free"
                    .into(),
            );
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn print(resp: reqwest::Response) -> Result<(), DemoError> {
    let header = |name: &str| {
        let value = resp.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let parts = header("hornbeam-part-signatures").split(',').count();
    let lacking = header("hornbeam-lacking-shards");
    let records = resp.bytes().await.map_err(error_text)?.len() / RECORD_BYTES;
    outln!("\nrouted search over {SHARD_COUNT} shards, through an entry:");
    outln!("  parts {parts}, lacking {lacking}, records {records}");
    Ok(())
}

/// Starts a controller and an entry, each on a thread that runs until the process exits.
fn start_controller_and_entry(
    folder: &Path,
    api: SocketAddr,
    callers: SocketAddr,
) -> Result<(), DemoError> {
    // The controller listens on `inner` and the next port; its API port must differ from both.
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
        common("controller-1", CONTROLLER_IP),
        data.display()
    );
    let entry = format!("{}callers: {callers}\n", common("entry-1", ENTRY_IP));
    for (name, text) in [("controller", controller), ("entry", entry)] {
        let settings_file = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings_file, text).map_err(error_text)?;
        let run = move || {
            let result = match name {
                "controller" => hornbeam_controller::run(&settings_file, Default::default()),
                _ => hornbeam_entry::run(&settings_file, Default::default()),
            };
            if let Err(e) = result {
                log::error!("the {name} of the demo ended: {e}");
            }
        };
        std::thread::Builder::new().name(name.to_owned()).spawn(run).map_err(error_text)?;
    }
    Ok(())
}

fn service(shard: usize) -> Result<ServiceId, DemoError> {
    format!("plots-{shard}").parse().map_err(error_text)
}

async fn start_servers(api: SocketAddr) -> Result<Vec<Running>, DemoError> {
    let controllers = Arc::new(vec![api]);
    let mut servers = Vec::new();
    for n in 0..SHARD_COUNT * REPLICA_COUNT {
        let service = service(n % SHARD_COUNT)?;
        let params = RoutedParams {
            name: format!("{service}-{n}").parse().map_err(error_text)?,
            service,
            zone: "olomouc".parse().map_err(error_text)?,
            listen: SocketAddr::new(CONTROLLER_IP, 0),
            advertise: None,
            work: SERVICE_TIME,
            controllers: controllers.clone(),
            on_event: Arc::new(|_| {}),
        };
        servers.push(routed::start(params).await.map_err(error_text)?);
    }
    Ok(servers)
}

/// Submits a routing table with one scatter route; retries until the controller leads.
async fn put_table(client: &reqwest::Client, api: SocketAddr) -> Result<(), DemoError> {
    let shards = (0..SHARD_COUNT).map(service).collect::<Result<Vec<_>, _>>()?;
    let services = shards.iter().map(|s| (s.clone(), RoutedService { max_connections: 16 }));
    let route = Route {
        name: "sweep".parse().map_err(error_text)?,
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
    let started_at = Instant::now();
    loop {
        let put = client.put(format!("http://{api}/v1/routing")).json(&table).send().await;
        if put.is_ok_and(|resp| resp.status().is_success()) {
            return Ok(());
        }
        if started_at.elapsed() > READY_TIMEOUT {
            return Err(
                "the controller accepted no routing table: check that its address is free".into()
            );
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
