//! Replaces voters.

use hornbeam_events::outln;
use std::time::{Duration, Instant};

use reqwest::{Method, StatusCode};
use serde::Serialize;
use serde_json::Value;

use crate::args::{ControlCommand, ControlReplaceArgs};
use crate::client::{Client, CommandError, read_text};

/// Longest wait until the incoming instance is a voter.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct ReplaceBody<'a> {
    outgoing: &'a str,
    incoming: &'a str,
}

/// Runs `hornbeamctl control`.
pub async fn run(client: &Client, command: &ControlCommand) -> Result<(), CommandError> {
    match command {
        ControlCommand::Replace(args) => replace(client, args).await,
    }
}

async fn replace(client: &Client, args: &ControlReplaceArgs) -> Result<(), CommandError> {
    let body = ReplaceBody { outgoing: &args.outgoing, incoming: &args.incoming };
    let mut last_error = CommandError::NotReached(client.instances().to_vec());
    for instance in client.instances() {
        let path = "/v1/control/replace";
        let Ok(reply) = client.send(Method::POST, *instance, path, Some(&body)).await else {
            continue;
        };
        let status = reply.status();
        let text = read_text(reply).await.unwrap_or_default();
        if status == StatusCode::ACCEPTED {
            outln!("replacement of {} by {} begun", args.outgoing, args.incoming);
            return wait_until_done(client, &args.incoming).await;
        }
        last_error = CommandError::Refused(format!("{instance}: {status}: {text}"));
        if status != StatusCode::SERVICE_UNAVAILABLE {
            break;
        }
    }
    Err(last_error)
}

async fn wait_until_done(client: &Client, incoming: &str) -> Result<(), CommandError> {
    let started_at = Instant::now();
    while started_at.elapsed() < REPLACE_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
        let (texts, _) = client.get_all("/v1/config/status").await?;
        let statuses = texts.iter().filter_map(|(_, t)| serde_json::from_str::<Value>(t).ok());
        let mut leaders = statuses.filter(|s| s["role"] == "leader");
        let votes = |s: &Value| {
            let voters = s["voters"].as_array();
            voters.is_some_and(|v| v.iter().any(|name| name == incoming))
        };
        if leaders.any(|s| s["replacing"] == false && votes(&s)) {
            outln!("{incoming} votes");
            return Ok(());
        }
        outln!("waiting until {incoming} has caught up");
    }
    Err(CommandError::Unknown(format!("{incoming} does not vote yet: check it with status")))
}
