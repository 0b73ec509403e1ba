//! Teams and their keys over real connections: the key reaches no server, the team's name does.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{closed_address, connect, connect_entries, core, read_head, response, run_local};
use hornbeam_entry::contact::majority_at;
use hornbeam_entry::core::Core;
use hornbeam_model::{KeyDigest, Mono, Routing, TableVersion, Team, TrafficPolicy};
use hornbeam_route::{ControllerContact, Input};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Heads of the requests that the server has received.
type Heads = Rc<RefCell<Vec<String>>>;

async fn start_server() -> (SocketAddr, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let heads = Heads::default();
    let seen = heads.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let heads = heads.clone();
            tokio::task::spawn_local(async move {
                while let Some((id, head)) = read_head(&mut stream).await {
                    heads.borrow_mut().push(head);
                    stream.write_all(response(&id, "sward").as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, seen)
}

/// A policy whose teams have these keys.
fn policy(teams: &[(&str, &[&str])]) -> Arc<TrafficPolicy> {
    let team = |keys: &[&str]| Team {
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        ..Team::default()
    };
    let teams = teams.iter().map(|(name, keys)| (name.parse().unwrap(), team(keys)));
    Arc::new(TrafficPolicy { teams: teams.collect(), ..TrafficPolicy::default() })
}

/// A table of this version whose teams have these keys.
fn table(core: &Core, version: u64, teams: &[(&str, &[&str])]) -> Arc<Routing> {
    let current = core.with_engine(|e| e.table().cloned()).unwrap();
    let policy = policy(teams);
    Arc::new(Routing { version: TableVersion(version), policy, ..Routing::clone(&current) })
}

/// Sends a request with these header lines; returns the status of its response.
async fn send(stream: &mut TcpStream, id: &str, lines: &str) -> u16 {
    let head = format!(
        "GET /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\n\
         hornbeam-deadline-ms: 900\r\n{lines}\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    head[9..12].parse().unwrap()
}

const KEY: &str = "hornbeam-key: acorn\r\n";

#[test]
fn team_in_place_of_key() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        core.step(Input::Table(table(&core, 2, &[("orchard", &["acorn"])])));
        let mut stream = connect(&core).await;
        let lines = format!("{KEY}Hornbeam-Team: rivals\r\nx-plot: 7\r\n");
        assert_eq!(send(&mut stream, "r1", &lines).await, 200);
        let head = heads.borrow()[0].clone();
        assert!(!head.contains("acorn") && !head.contains("rivals"), "{head}");
        assert!(head.contains("hornbeam-team: orchard\r\n") && head.contains("x-plot: 7"));
    });
}

#[test]
fn refused_without_valid_key() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        core.step(Input::Table(table(&core, 2, &[("orchard", &["acorn"])])));
        let mut stream = connect(&core).await;
        let two_keys = format!("{KEY}{KEY}");
        for lines in ["", "hornbeam-key: oak\r\n", "hornbeam-team: orchard\r\n", &two_keys] {
            assert_eq!(send(&mut stream, "r1", lines).await, 401, "{lines}");
        }
        assert!(heads.borrow().is_empty(), "nothing runs");
    });
}

#[test]
fn revoked_on_open_connection() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        core.step(Input::Table(table(&core, 2, &[("orchard", &["acorn"])])));
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", KEY).await, 200);
        core.step(Input::Table(table(&core, 3, &[("orchard", &[])])));
        assert_eq!(send(&mut stream, "r2", KEY).await, 401);
        // A table that was delayed changes nothing.
        core.step(Input::Table(table(&core, 2, &[("orchard", &["acorn"])])));
        assert_eq!(send(&mut stream, "r3", KEY).await, 401);
        assert_eq!(heads.borrow().len(), 1);
    });
}

#[test]
fn public_route() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        let mut table = Routing::clone(&table(&core, 2, &[("orchard", &["acorn"])]));
        Arc::make_mut(&mut table.policy).public_routes.insert("lookup".parse().unwrap());
        core.step(Input::Table(Arc::new(table)));
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", "hornbeam-team: rivals\r\n").await, 200);
        assert_eq!(send(&mut stream, "r2", "hornbeam-key: oak\r\n").await, 200);
        assert_eq!(send(&mut stream, "r3", KEY).await, 200);
        let heads = heads.borrow();
        let has = |n: usize, text: &str| heads[n].contains(text);
        assert!(!has(0, "hornbeam-team") && !has(1, "oak") && !has(1, "hornbeam-team"));
        assert!(has(2, "hornbeam-team: orchard\r\n") && !has(2, "acorn"));
    });
}

/// Guards against a public route that opens another one of its name. In tables of earlier builds it is not
/// known which of them is public.
#[test]
fn public_namesake() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        let mut table = Routing::clone(&table(&core, 2, &[("orchard", &["acorn"])]));
        let mut other = (*table.routes[0]).clone();
        other.prefix = "/other/".into();
        table.routes.push(Arc::new(other));
        Arc::make_mut(&mut table.policy).public_routes.insert("lookup".parse().unwrap());
        core.step(Input::Table(Arc::new(table)));
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", "").await, 401);
        assert_eq!(send(&mut stream, "r2", "hornbeam-key: oak\r\n").await, 401);
        assert_eq!(send(&mut stream, "r3", KEY).await, 200);
        assert_eq!(heads.borrow().len(), 1);
    });
}

#[test]
fn without_teams_both_fields_pass() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        let mut stream = connect(&core).await;
        let lines = format!("{KEY}hornbeam-team: rivals\r\n");
        assert_eq!(send(&mut stream, "r1", &lines).await, 200);
        let head = heads.borrow()[0].clone();
        assert!(head.contains(KEY) && head.contains("hornbeam-team: rivals\r\n"), "{head}");
    });
}

#[test]
fn key_of_announced_table() {
    run_local(async {
        let (server, heads) = start_server().await;
        let core = core(server, true);
        core.step(Input::Table(table(&core, 2, &[("orchard", &["acorn"])])));
        let announce = |version| {
            let majority_at = Some(core.clock.now());
            let announced = TableVersion(version);
            let contact = ControllerContact { announced, majority_at, strict_window: None };
            core.step(Input::ControllerContact(contact));
        };
        announce(2);
        announce(3);
        let mut stream = connect(&core).await;
        let late = core.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let table = table(&late, 3, &[("orchard", &["acorn"]), ("meadow", &["oak"])]);
            late.step(Input::Table(table));
        });
        // The key is in the table that a controller has announced.
        assert_eq!(send(&mut stream, "r1", "hornbeam-key: oak\r\n").await, 200);
        assert!(heads.borrow()[0].contains("hornbeam-team: meadow\r\n"));
        assert_eq!(send(&mut stream, "r2", "hornbeam-key: elm\r\n").await, 401);
    });
}

/// Sends a request before the first table, which has these teams; returns the head that a server got.
async fn head_before_table(teams: &[(&str, &[&str])]) -> String {
    let (server, heads) = start_server().await;
    let core = common::core_without_table("e0");
    let mut stream = connect(&core).await;
    let late = core.clone();
    let first = Arc::new(Routing { policy: policy(teams), ..common::table(true) });
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        late.step(Input::Servers(common::servers(&[server])));
        late.step(Input::Table(first));
    });
    assert_eq!(send(&mut stream, "r1", KEY).await, 200);
    heads.borrow()[0].clone()
}

#[test]
fn fields_before_first_table() {
    run_local(async {
        let head = head_before_table(&[]).await;
        assert!(head.contains(KEY), "passes as it was received: {head}");
        let head = head_before_table(&[("orchard", &["acorn"])]).await;
        assert!(!head.contains("acorn") && head.contains("hornbeam-team: orchard\r\n"), "{head}");
    });
}

#[test]
fn relayed_by_another_entry() {
    run_local(async {
        let (server, heads) = start_server().await;
        let closed = closed_address();
        let origin = core(closed, true);
        let other = common::named_core("e1", &[server], true);
        connect_entries(&origin, &other).await;
        origin.step(Input::Table(table(&origin, 2, &[("orchard", &["acorn"])])));
        // The other entry has a table in which the team has no key left.
        other.step(Input::Table(table(&other, 3, &[("orchard", &[])])));
        let mut stream = connect(&origin).await;
        assert_eq!(send(&mut stream, "r1", KEY).await, 200);
        let head = heads.borrow()[0].clone();
        assert!(!head.contains("acorn") && head.contains("hornbeam-team: orchard\r\n"), "{head}");
    });
}

#[test]
fn majority_of_controllers() {
    let at =
        |ms: &[u64]| majority_at(ms.iter().map(|ms| (*ms > 0).then(|| Mono::from_millis(*ms))));
    assert_eq!(at(&[]), None);
    assert_eq!(at(&[7]), Some(Mono::from_millis(7)));
    // Zero stands for a controller that has stated nothing.
    assert_eq!(at(&[9, 0]), None);
    assert_eq!(at(&[9, 0, 5]), Some(Mono::from_millis(5)));
    assert_eq!(at(&[9, 8, 0, 0]), None, "half of them is no majority");
    assert_eq!(at(&[9, 3, 8, 0]), Some(Mono::from_millis(3)));
}

#[test]
fn debug_output_hides_keys() {
    let request = hornbeam_entry::core::ForwardedRequest {
        id: "r1".into(),
        fingerprint: Default::default(),
        head: KEY.into(),
        body: Default::default(),
    };
    let bytes = format!("{:?}", KEY.as_bytes());
    let text = format!("{request:?}");
    assert!(!text.contains("acorn") && !text.contains(&bytes[1..20]), "{text}");
    let team = Team { keys: vec![KeyDigest::of(b"acorn")], ..Team::default() };
    assert!(format!("{team:?}").contains("KeyDigest(..)"));
}
