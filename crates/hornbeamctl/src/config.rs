//! Shows, compares and applies the configuration.

use hornbeam_events::{out, outln};
use std::fmt::Write;
use std::path::Path;

use hornbeam_model::{Change, Config, Revision, SchemaVersion, Service, ServiceId};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::{ConfigCommand, SchemaArgs, ServiceCommand};
use crate::change;
use crate::client::{Client, CommandError};

#[derive(Deserialize)]
struct ConfigBody {
    revision: Revision,
    config: Config,
}

fn read_yaml<T: DeserializeOwned>(file: &Path) -> Result<T, CommandError> {
    let usage_error =
        |e: &dyn std::fmt::Display| CommandError::Usage(format!("{}: {e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| usage_error(&e))?;
    serde_saphyr::from_str(&text).map_err(|e| usage_error(&e))
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, CommandError>
where
    T::Err: std::fmt::Display,
{
    text.trim().parse().map_err(|e| CommandError::Usage(format!("{text:?}: {e}")))
}

/// Runs `hornbeamctl config`.
pub async fn run(client: &Client, command: &ConfigCommand) -> Result<(), CommandError> {
    match command {
        ConfigCommand::Show(args) => show(client, args.json).await,
        ConfigCommand::Diff(args) => {
            let (current, desired) = read_current_and_desired(client, &args.file).await?;
            out!("{}", diff(&current.config, &desired));
            Ok(())
        }
        ConfigCommand::Apply(args) => {
            let (current, desired) = read_current_and_desired(client, &args.file).await?;
            let text = diff(&current.config, &desired);
            if text.is_empty() {
                outln!("revision {} is the same: nothing to change", current.revision);
                return Ok(());
            }
            out!("{text}");
            let change = Change::ReplaceAll { services: desired.services };
            change::submit(client, current.revision, &change).await
        }
        ConfigCommand::History(args) => history(client, args.json).await,
    }
}

async fn read_current_and_desired(
    client: &Client,
    file: &Path,
) -> Result<(ConfigBody, Config), CommandError> {
    let desired: Config = read_yaml(file)?;
    desired.check().map_err(|e| CommandError::Usage(format!("{}: {e}", file.display())))?;
    Ok((client.get("/v1/config").await?, desired))
}

async fn show(client: &Client, json: bool) -> Result<(), CommandError> {
    let body: ConfigBody = client.get("/v1/config").await?;
    let text = if json {
        serde_json::to_string_pretty(&body.config).map_err(|e| e.to_string())
    } else {
        serde_saphyr::to_string(&body.config).map_err(|e| e.to_string())
    };
    outln!("{}", text.map_err(CommandError::Usage)?);
    Ok(())
}

/// Renders the services that differ: `+` added, `-` removed, `~` changed, followed by the changed
/// fields. Empty if none differs.
pub fn diff(current: &Config, desired: &Config) -> String {
    let mut text = String::new();
    for (name, service) in &desired.services {
        match current.services.get(name) {
            None => drop(writeln!(text, "+ {name}")),
            Some(old) if old != service => {
                let _ = writeln!(text, "~ {name}");
                for field in changed_fields(old, service) {
                    let _ = writeln!(text, "    {field}");
                }
            }
            Some(_) => {}
        }
    }
    for name in current.services.keys().filter(|n| !desired.services.contains_key(*n)) {
        let _ = writeln!(text, "- {name}");
    }
    text
}

fn changed_fields(old: &Service, new: &Service) -> Vec<String> {
    let (Ok(Value::Object(old)), Ok(Value::Object(new))) =
        (serde_json::to_value(old), serde_json::to_value(new))
    else {
        return Vec::new();
    };
    let changed = new.iter().filter(|(field, value)| old.get(*field) != Some(value));
    let line = |(field, value): (&String, &Value)| {
        format!("{field}: {} -> {value}", old.get(field).unwrap_or(&Value::Null))
    };
    changed.map(line).collect()
}

async fn history(client: &Client, json: bool) -> Result<(), CommandError> {
    let items: Vec<Value> = client.get("/v1/config/history").await?;
    for item in items {
        if json {
            outln!("{item}");
            continue;
        }
        let kind = item["change"].as_object().and_then(|o| o.keys().next().cloned());
        outln!(
            "{:>8}  {:>14}  {}  {}",
            item["revision"],
            item["unix_ms"],
            item["id"].as_str().unwrap_or("-"),
            kind.unwrap_or_default()
        );
    }
    Ok(())
}

/// Runs `hornbeamctl service`.
pub async fn service(client: &Client, command: &ServiceCommand) -> Result<(), CommandError> {
    let change = match command {
        ServiceCommand::Put(args) => {
            let name: ServiceId = parse(&args.name)?;
            let service: Service = read_yaml(&args.file)?;
            Change::PutService { name, service }
        }
        ServiceCommand::Remove(args) => Change::RemoveService { name: parse(&args.name)? },
    };
    submit_on_current(client, &change).await
}

/// Runs `hornbeamctl schema`.
pub async fn schema(client: &Client, args: &SchemaArgs) -> Result<(), CommandError> {
    let versions = args.versions.split(',').map(parse::<SchemaVersion>);
    let schemas = versions.collect::<Result<Vec<_>, _>>()?;
    submit_on_current(client, &Change::SetSchemas { name: parse(&args.name)?, schemas }).await
}

async fn submit_on_current(client: &Client, change: &Change) -> Result<(), CommandError> {
    let current: ConfigBody = client.get("/v1/config").await?;
    change::submit(client, current.revision, change).await
}
