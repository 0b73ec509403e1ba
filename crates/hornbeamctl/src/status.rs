//! Shows the status of instances and drains one.

use hornbeam_events::{out, outln};
use std::fmt::Write;

use reqwest::Method;
use serde_json::Value;

use crate::args::{DrainArgs, StatusArgs};
use crate::client::{Client, CommandError, check_all_reached};

/// Runs `hornbeamctl status`.
pub async fn run(client: &Client, args: &StatusArgs) -> Result<(), CommandError> {
    let (texts, unreached) = client.get_all("/v1/config/status").await?;
    let mut statuses = Vec::new();
    for (instance, text) in texts {
        let status: Value = serde_json::from_str(&text).map_err(|e| {
            CommandError::Usage(format!("{instance}: {e}: use hornbeamctl of the same release"))
        })?;
        statuses.push(status);
    }
    if args.json {
        outln!("{}", Value::Array(statuses));
    } else {
        out!("{}", render_table(&statuses, args.servers));
    }
    check_all_reached(unreached)
}

/// Renders the statuses as text, one instance after another; `servers` lists each backend server.
pub fn render_table(statuses: &[Value], servers: bool) -> String {
    let mut text = String::new();
    for status in statuses {
        let _ = writeln!(
            text,
            "instance {} zone {} revision {} confirmed {} role {}{}",
            format_value(&status["instance"]),
            format_value(&status["zone"]),
            format_value(&status["revision"]),
            format_age(&status["confirmed_ms_ago"]),
            format_value(&status["role"]),
            if status["draining"] == true { " draining" } else { "" },
        );
        for service in elements(&status["traffic"]["services"]) {
            let _ = writeln!(
                text,
                "  service {} index {} shards {}/{} limit {}",
                format_value(&service["service"]),
                format_value(&service["index_version"]),
                format_value(&service["covered"]),
                format_value(&service["shards"]),
                format_value(&service["limit"]),
            );
        }
        for peer in elements(&status["peers"]) {
            let _ = writeln!(
                text,
                "  peer {} zone {} heard {} revision {}",
                format_value(&peer["instance"]),
                format_value(&peer["zone"]),
                format_age(&peer["heard_ms_ago"]),
                format_value(&peer["revision"]),
            );
        }
        let all_servers = elements(&status["traffic"]["servers"]);
        let not_taking_work = all_servers.iter().filter(|s| s["takes_work"] != true).count();
        let _ = writeln!(
            text,
            "  servers {} of which {not_taking_work} take no work",
            all_servers.len()
        );
        for server in all_servers.iter().filter(|_| servers) {
            let _ = writeln!(
                text,
                "    {} service {} zone {} outstanding {} connections {}{}{}",
                format_value(&server["server"]),
                format_value(&server["service"]),
                format_value(&server["zone"]),
                format_value(&server["outstanding"]),
                format_value(&server["share"]),
                if server["takes_work"] == true { "" } else { " no-work" },
                if server["ejected"] == true { " avoided" } else { "" },
            );
        }
    }
    text
}

fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn format_age(value: &Value) -> String {
    value.as_u64().map_or("never".to_owned(), |ms| format!("{ms}ms-ago"))
}

/// Runs `hornbeamctl drain`.
///
/// # Errors
///
/// Returns an error if no address of `--instances` belongs to the instance, or if it refuses or is
/// not reached.
pub async fn drain(client: &Client, args: &DrainArgs) -> Result<(), CommandError> {
    let (texts, unreached) = client.get_all("/v1/config/status").await?;
    let target = texts.iter().find(|(_, text)| {
        let status: Value = serde_json::from_str(text).unwrap_or_default();
        status["instance"] == args.instance.as_str()
    });
    let Some((address, _)) = target else {
        check_all_reached(unreached)?;
        let message = format!("{} has no address in --instances: add its address", args.instance);
        return Err(CommandError::Usage(message));
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
