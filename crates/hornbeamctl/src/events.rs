//! Events of instances, one instance after another or merged into a timeline.

use hornbeam_events::{Record, timeline as merged_events};
use hornbeam_events::{out, outln};

use crate::args::{EventsArgs, TimelineArgs};
use crate::client::{Client, CommandError, check_all_reached};

async fn fetch(
    client: &Client,
    since: u64,
) -> Result<(Vec<Record>, Vec<std::net::SocketAddr>), CommandError> {
    let (texts, unreached) = client.get_all(&format!("/v1/events?since={since}")).await?;
    let mut records = Vec::new();
    for (instance, text) in texts {
        for line in text.lines() {
            let record = serde_json::from_str(line).map_err(|e| {
                CommandError::Usage(format!(
                    "{instance}: an event cannot be parsed ({e}): use hornbeamctl of the same release"
                ))
            })?;
            records.push(record);
        }
    }
    Ok((records, unreached))
}

fn print(records: &[Record], json: bool) {
    if !json {
        out!("{}", merged_events::render(records));
        return;
    }
    for record in records {
        if let Ok(line) = serde_json::to_string(record) {
            outln!("{line}");
        }
    }
}

/// Runs `hornbeamctl events`.
pub async fn run(client: &Client, args: &EventsArgs) -> Result<(), CommandError> {
    let (records, unreached) = fetch(client, args.since).await?;
    print(&records, args.json);
    check_all_reached(unreached)
}

/// Runs `hornbeamctl timeline` without files: merges the events of all instances.
pub async fn timeline(client: &Client, args: &TimelineArgs) -> Result<(), CommandError> {
    let (records, unreached) = fetch(client, 0).await?;
    print(&merged_events::merge(records), args.json);
    check_all_reached(unreached)
}
