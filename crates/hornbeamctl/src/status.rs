//! What instances know.

use hornbeam_events::{out, outln};
use std::fmt::Write;

use reqwest::Method;
use serde_json::Value;

use crate::args::{DrainArgs, StatusArgs};
use crate::client::{Client, CommandError, check_all_reached};

/// `hornbeamctl status`
pub async fn run(client: &Client, args: &StatusArgs) -> Result<(), CommandError> {
    let (texts, missed) = client.get_all("/v1/config/status").await?;
    let mut statuses = Vec::new();
    for (instance, text) in texts {
        let status: Value = serde_json::from_str(&text)
            .map_err(|e| CommandError::Usage(format!("{instance}: {e}: use one release")))?;
        statuses.push(status);
    }
    if args.json {
        outln!("{}", Value::Array(statuses));
    } else {
        out!("{}", render_table(&statuses, args.servers));
    }
    check_all_reached(missed)
}

/// The statuses as a table for people.
pub fn render_table(statuses: &[Value], servers: bool) -> String {
    let mut text = String::new();
    for status in statuses {
        let _ = writeln!(
            text,
            "instance {} zone {} revision {} confirmed {} role {}{}",
            word(&status["instance"]),
            word(&status["zone"]),
            word(&status["revision"]),
            age(&status["confirmed_ms_ago"]),
            word(&status["role"]),
            if status["draining"] == true { " draining" } else { "" },
        );
        for service in items(&status["traffic"]["services"]) {
            let _ = writeln!(
                text,
                "  service {} index {} shards {}/{} limit {}",
                word(&service["service"]),
                word(&service["index_version"]),
                word(&service["covered"]),
                word(&service["shards"]),
                word(&service["limit"]),
            );
        }
        for peer in items(&status["peers"]) {
            let _ = writeln!(
                text,
                "  peer {} zone {} heard {} revision {}",
                word(&peer["instance"]),
                word(&peer["zone"]),
                age(&peer["heard_ms_ago"]),
                word(&peer["revision"]),
            );
        }
        let list = items(&status["traffic"]["servers"]);
        let idle = list.iter().filter(|s| s["takes_work"] != true).count();
        let _ = writeln!(text, "  servers {} of which {idle} take no work", list.len());
        for server in list.iter().filter(|_| servers) {
            let _ = writeln!(
                text,
                "    {} service {} zone {} outstanding {} connections {}{}{}",
                word(&server["server"]),
                word(&server["service"]),
                word(&server["zone"]),
                word(&server["outstanding"]),
                word(&server["share"]),
                if server["takes_work"] == true { "" } else { " no-work" },
                if server["ejected"] == true { " avoided" } else { "" },
            );
        }
    }
    text
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn word(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn age(value: &Value) -> String {
    value.as_u64().map_or("never".to_owned(), |ms| format!("{ms}ms-ago"))
}

/// `hornbeamctl drain`
///
/// # Errors
///
/// No instance of that name is among those named, or it refuses.
pub async fn drain(client: &Client, args: &DrainArgs) -> Result<(), CommandError> {
    let (texts, missed) = client.get_all("/v1/config/status").await?;
    let named = texts.iter().find(|(_, text)| {
        let status: Value = serde_json::from_str(text).unwrap_or_default();
        status["instance"] == args.instance.as_str()
    });
    let Some((address, _)) = named else {
        check_all_reached(missed)?;
        let problem =
            format!("{} is not among the instances named: add its address", args.instance);
        return Err(CommandError::Usage(problem));
    };
    match client.send(Method::POST, *address, "/v1/drain", None::<&()>).await {
        Ok(reply) if reply.status().is_success() => {
            outln!("{}: draining", args.instance);
            Ok(())
        }
        Ok(reply) => Err(CommandError::Refused(format!("{}: {}", args.instance, reply.status()))),
        Err(_) => Err(CommandError::NotReached(vec![*address])),
    }
}
