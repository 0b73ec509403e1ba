//! Submits a change and waits until it is in force.

use hornbeam_events::outln;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeam_model::{Change, ChangeId, Revision};
use reqwest::{Method, StatusCode};
use serde::Serialize;
use serde_json::Value;

use crate::client::{Client, CommandError, check_all_reached};

/// Longest time in which a change is sent again until its outcome is known.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two sendings.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Longest wait until a change is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct ChangeBody<'a> {
    change_id: &'a ChangeId,
    expect_revision: Revision,
    change: &'a Change,
}

/// A name for a change that no other change has.
fn new_change_id() -> Result<ChangeId, CommandError> {
    let number: u128 = rand::random();
    format!("ctl-{number:032x}").parse().map_err(|e| CommandError::Usage(format!("{e}")))
}

/// Submits a change on top of `expect` and waits until it is in force on every instance named.
pub async fn submit(
    client: &Client,
    expect: Revision,
    change: &Change,
) -> Result<(), CommandError> {
    let id = new_change_id()?;
    let revision = send_until_decided(client, &id, expect, change).await?;
    outln!("accepted as revision {revision}");
    wait_in_force(client, revision).await
}

/// Sends the same change again, to the next instance, until its outcome is known.
async fn send_until_decided(
    client: &Client,
    id: &ChangeId,
    expect: Revision,
    change: &Change,
) -> Result<Revision, CommandError> {
    let body = ChangeBody { change_id: id, expect_revision: expect, change };
    let began = Instant::now();
    let mut may_have_run = false;
    let mut last = String::from("no instance was reached");
    for instance in client.instances().iter().cycle() {
        if began.elapsed() > SUBMIT_TIMEOUT {
            break;
        }
        let path = "/v1/config/changes";
        match client.send(Method::POST, *instance, path, Some(&body)).await {
            Ok(reply) => {
                let status = reply.status();
                let text = reply.text().await.unwrap_or_default();
                match outcome(status, &text) {
                    Outcome::Accepted(revision) => return Ok(revision),
                    Outcome::Refused => {
                        return Err(CommandError::Refused(format!("{status}: {text}")));
                    }
                    Outcome::TryAgain { may_have_run: this } => may_have_run |= this,
                }
                last = format!("{instance}: {status}: {text}");
            }
            Err(e) => {
                may_have_run |= !e.is_connect();
                last = format!("{instance}: {e}");
            }
        }
        tokio::time::sleep(RESEND_AFTER).await;
    }
    if may_have_run {
        let text = format!("the change may have been accepted; look with config history: {last}");
        return Err(CommandError::Unknown(text));
    }
    Err(CommandError::Refused(format!("the change was not accepted: {last}")))
}

enum Outcome {
    Accepted(Revision),
    Refused,
    TryAgain { may_have_run: bool },
}

fn outcome(status: StatusCode, text: &str) -> Outcome {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    match status {
        StatusCode::OK => match body["revision"].as_u64() {
            Some(revision) => Outcome::Accepted(Revision(revision)),
            None => Outcome::TryAgain { may_have_run: true },
        },
        StatusCode::SERVICE_UNAVAILABLE => {
            Outcome::TryAgain { may_have_run: body["accepted"] != false }
        }
        _ => Outcome::Refused,
    }
}

/// Waits until `revision` is in force on every instance named; fails with those not reached.
async fn wait_in_force(client: &Client, revision: Revision) -> Result<(), CommandError> {
    let began = Instant::now();
    let mut waiting: Vec<SocketAddr> = client.instances().to_vec();
    while !waiting.is_empty() && began.elapsed() < IN_FORCE_TIMEOUT {
        let mut still = Vec::new();
        for instance in waiting {
            if revision_of(client, instance).await < Some(revision) {
                still.push(instance);
            }
        }
        waiting = still;
        if waiting.is_empty() {
            break;
        }
        outln!("waiting for {} of {}", waiting.len(), client.instances().len());
        tokio::time::sleep(POLL).await;
    }
    if waiting.is_empty() {
        outln!("in force on {} instances", client.instances().len());
    }
    check_all_reached(waiting)
}

async fn revision_of(client: &Client, instance: SocketAddr) -> Option<Revision> {
    let reply = client.send(Method::GET, instance, "/v1/config", None::<&()>).await.ok()?;
    let body: Value = reply.json().await.ok()?;
    body["revision"].as_u64().map(Revision)
}
