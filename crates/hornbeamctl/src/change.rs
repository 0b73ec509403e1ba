//! Submits a configuration change and waits until it is in force.

use hornbeam_events::outln;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeam_model::{Change, ChangeId, Revision};
use reqwest::{Method, StatusCode};
use serde::Serialize;
use serde_json::Value;

use crate::client::{Client, CommandError, check_all_reached, read_text};

/// Longest time for which a change is resubmitted while its outcome is unknown.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a change is resubmitted.
const RESUBMIT_DELAY: Duration = Duration::from_millis(500);
/// Longest wait until a change is in force on all instances.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between two rounds of reading the revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct ChangeBody<'a> {
    change_id: &'a ChangeId,
    expect_revision: Revision,
    change: &'a Change,
}

/// Returns a random 128-bit id, which makes a resubmitted change idempotent.
fn new_change_id() -> Result<ChangeId, CommandError> {
    let number: u128 = rand::random();
    format!("ctl-{number:032x}").parse().map_err(|e| CommandError::Usage(format!("{e}")))
}

/// Submits a change of revision `expect` and waits until it is in force on every instance of
/// `client`.
///
/// # Errors
///
/// Returns [`CommandError::Refused`] if the change was not accepted, [`CommandError::Unknown`] if it
/// may have been accepted, and [`CommandError::NotReached`] with the instances on which it is not in
/// force.
pub async fn submit(
    client: &Client,
    expect: Revision,
    change: &Change,
) -> Result<(), CommandError> {
    let id = new_change_id()?;
    let revision = submit_until_decided(client, &id, expect, change).await?;
    outln!("accepted as revision {revision}");
    wait_in_force(client, revision).await
}

/// Submits the same change to one instance after another until its outcome is known.
async fn submit_until_decided(
    client: &Client,
    id: &ChangeId,
    expect: Revision,
    change: &Change,
) -> Result<Revision, CommandError> {
    let body = ChangeBody { change_id: id, expect_revision: expect, change };
    let started_at = Instant::now();
    let mut may_have_run = false;
    let mut last_error = String::from("no instance was reached");
    for instance in client.instances().iter().cycle() {
        if started_at.elapsed() > SUBMIT_TIMEOUT {
            break;
        }
        let path = "/v1/config/changes";
        match client.send(Method::POST, *instance, path, Some(&body)).await {
            Ok(reply) => {
                let status = reply.status();
                let text = read_text(reply).await.unwrap_or_default();
                match outcome(status, &text) {
                    Outcome::Accepted(revision) => return Ok(revision),
                    Outcome::Refused => {
                        return Err(CommandError::Refused(format!("{status}: {text}")));
                    }
                    Outcome::Retry { may_have_run: attempt } => may_have_run |= attempt,
                }
                last_error = format!("{instance}: {status}: {text}");
            }
            Err(e) => {
                may_have_run |= !e.is_connect();
                last_error = format!("{instance}: {e}");
            }
        }
        tokio::time::sleep(RESUBMIT_DELAY).await;
    }
    if may_have_run {
        let text = format!(
            "the change may have been accepted; check it with config history: {last_error}"
        );
        return Err(CommandError::Unknown(text));
    }
    Err(CommandError::Refused(format!("the change was not accepted: {last_error}")))
}

enum Outcome {
    Accepted(Revision),
    Refused,
    Retry { may_have_run: bool },
}

fn outcome(status: StatusCode, text: &str) -> Outcome {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    match status {
        StatusCode::OK => match body["revision"].as_u64() {
            Some(revision) => Outcome::Accepted(Revision(revision)),
            None => Outcome::Retry { may_have_run: true },
        },
        StatusCode::SERVICE_UNAVAILABLE => {
            Outcome::Retry { may_have_run: body["accepted"] != false }
        }
        _ => Outcome::Refused,
    }
}

/// Waits until `revision` is in force on every instance; fails with the instances on which it is
/// not.
async fn wait_in_force(client: &Client, revision: Revision) -> Result<(), CommandError> {
    let started_at = Instant::now();
    let mut unconfirmed: Vec<SocketAddr> = client.instances().to_vec();
    while !unconfirmed.is_empty() && started_at.elapsed() < IN_FORCE_TIMEOUT {
        let mut pending = Vec::new();
        for instance in unconfirmed {
            if revision_of(client, instance).await < Some(revision) {
                pending.push(instance);
            }
        }
        unconfirmed = pending;
        if unconfirmed.is_empty() {
            break;
        }
        outln!("waiting for {} of {} instances", unconfirmed.len(), client.instances().len());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if unconfirmed.is_empty() {
        outln!("in force on {} instances", client.instances().len());
    }
    check_all_reached(unconfirmed)
}

async fn revision_of(client: &Client, instance: SocketAddr) -> Option<Revision> {
    let reply = client.send(Method::GET, instance, "/v1/config", None::<&()>).await.ok()?;
    let body: Value = serde_json::from_str(&read_text(reply).await?).ok()?;
    body["revision"].as_u64().map(Revision)
}
