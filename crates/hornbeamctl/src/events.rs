//! Events of one instance, or of all as a time line.

use hornbeam_events::{Record, timeline as merged};
use hornbeam_events::{out, outln};

use crate::args::{EventsArgs, TimelineArgs};
use crate::client::{Client, CommandError, check_all_reached};

async fn fetch(
    client: &Client,
    since: u64,
) -> Result<(Vec<Record>, Vec<std::net::SocketAddr>), CommandError> {
    let (texts, missed) = client.get_all(&format!("/v1/events?since={since}")).await?;
    let mut records = Vec::new();
    for (instance, text) in texts {
        for line in text.lines() {
            let record = serde_json::from_str(line).map_err(|e| {
                CommandError::Usage(format!(
                    "{instance}: an event cannot be read ({e}): use one release"
                ))
            })?;
            records.push(record);
        }
    }
    Ok((records, missed))
}

fn print(records: &[Record], json: bool) {
    if !json {
        out!("{}", merged::render(records));
        return;
    }
    for record in records {
        if let Ok(line) = serde_json::to_string(record) {
            outln!("{line}");
        }
    }
}

/// `hornbeamctl events`
pub async fn run(client: &Client, args: &EventsArgs) -> Result<(), CommandError> {
    let (records, missed) = fetch(client, args.since).await?;
    print(&records, args.json);
    check_all_reached(missed)
}

/// `hornbeamctl timeline`
pub async fn timeline(client: &Client, args: &TimelineArgs) -> Result<(), CommandError> {
    let (records, missed) = fetch(client, 0).await?;
    print(&merged::merge(records), args.json);
    check_all_reached(missed)
}
