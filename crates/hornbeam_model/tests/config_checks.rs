//! Invalid configuration values, whose errors name the path and the remedy.

use hornbeam_model::{Change, Config};
use serde_json::{Value, json};
use yare::parameterized;

fn config() -> Value {
    json!({"services": {"planner": {
        "patience": {"time_zone": "UTC", "default_ms": 100, "windows": [
            {"from_hour": 1, "to_hour": 2, "ms": 50},
        ]},
        "schemas": [1, 2],
        "budgets": {"extra_percent": 5},
        "limits": {"max_in_flight": 5, "max_queue": 5, "max_hits": 5},
    }}})
}

#[test]
fn valid_config() {
    let config: Config = serde_json::from_value(config()).unwrap();
    config.check().unwrap();
}

#[parameterized(
    zone = { "patience/time_zone", json!("Moon"), "patience.time_zone" },
    zero = { "patience/default_ms", json!(0), "patience.default_ms" },
    too_long = { "patience/default_ms", json!(10_000_000), "patience.default_ms" },
    hour = { "patience/windows/0/from_hour", json!(24), "patience.windows[0].from_hour" },
    end = { "patience/windows/0/to_hour", json!(0), "patience.windows[0].to_hour" },
    window = { "patience/windows/0/ms", json!(1), "patience.windows[0].ms" },
    empty = { "schemas", json!([]), "schemas" },
    twice = { "schemas", json!([1, 1]), "schemas" },
    falling = { "schemas", json!([2, 1]), "schemas" },
    many = { "schemas", json!([1, 2, 3, 4, 5, 6, 7, 8, 9]), "schemas" },
    budget = { "budgets/extra_percent", json!(51), "budgets.extra_percent" },
    in_flight = { "limits/max_in_flight", json!(0), "limits.max_in_flight" },
    hits = { "limits/max_hits", json!(0), "limits.max_hits" },
)]
fn error_path(path: &str, value: Value, field: &str) {
    let mut edited = config();
    *edited.pointer_mut(&format!("/services/planner/{path}")).unwrap() = value;
    let config: Config = serde_json::from_value(edited).unwrap();
    let error = config.check().unwrap_err().to_string();
    assert!(error.starts_with(&format!("services.planner.{field}")), "{error}");
    assert!(error.contains(';'), "the remedy is missing: {error}");
}

#[parameterized(
    top = { "/", "colour" },
    service = { "/services/planner", "colour" },
    patience = { "/services/planner/patience", "colour" },
    limits = { "/services/planner/limits", "colour" },
)]
fn unknown_field(path: &str, field: &str) {
    let mut edited = config();
    let path = if path == "/" { "" } else { path };
    edited.pointer_mut(path).unwrap()[field] = json!(1);
    let error = serde_json::from_value::<Config>(edited).unwrap_err().to_string();
    assert!(error.contains(field), "{error}");
}

#[test]
fn unknown_service() {
    let change: Change =
        serde_json::from_value(json!({"set_schemas": {"name": "nobody", "schemas": [1]}})).unwrap();
    let error = change.apply(&Config::default()).unwrap_err().to_string();
    assert!(error.contains("nobody") && error.contains("put_service"), "{error}");
}
