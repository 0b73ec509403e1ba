//! Decoders of external input on arbitrary values: each one returns an error, or a value that can
//! be validated and encoded again.

use hornbeam_model::{Announcement, Change, Config, SearchReply, ShardRanges};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Generates arbitrary JSON with the field names that the decoders know.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        any::<f64>().prop_map(|f| json!(f)),
        "[a-z0-9.:/ ]{0,12}".prop_map(Value::from),
        Just(json!("ready")),
        Just(json!("127.0.0.1:80")),
    ];
    let names = prop::sample::select(vec![
        "server",
        "incarnation",
        "seq",
        "address",
        "zone",
        "service",
        "state",
        "slots",
        "connections",
        "indexes",
        "version",
        "shard_count",
        "shards",
        "schemas",
        "put_service",
        "name",
        "services",
        "patience",
        "default_ms",
        "windows",
        "attempt",
        "index_version",
        "hits",
    ]);
    leaf.prop_recursive(4, 64, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::vec((names.clone(), inner), 0..8)
                .prop_map(|fields| fields.into_iter().map(|(n, v)| (n.to_owned(), v)).collect()),
        ]
    })
}

/// Generates a valid announcement with one field replaced by an arbitrary value.
fn nearly_valid() -> impl Strategy<Value = Value> {
    let paths = prop::sample::select(vec![
        "/server",
        "/incarnation",
        "/seq",
        "/address",
        "/zone",
        "/state",
        "/slots",
        "/connections",
        "/indexes",
        "/indexes/0",
        "/indexes/0/version",
        "/indexes/0/shard_count",
        "/indexes/0/shards",
        "/indexes/0/schemas",
    ]);
    (paths, value()).prop_map(|(path, value)| {
        let mut a = json!({
            "server": "s", "incarnation": 1, "seq": 5, "address": "127.0.0.1:9", "zone": "z",
            "service": "p", "state": "ready", "slots": 1, "connections": 1,
            "indexes": [{"version": 1, "shard_count": 4, "shards": [[0, 3]], "schemas": [1]}],
        });
        if let Some(field) = a.pointer_mut(path) {
            *field = value;
        }
        a
    })
}

proptest! {
    #[test]
    fn arbitrary_value(value in value()) {
        let text = value.to_string();
        if let Ok(change) = serde_json::from_str::<Change>(&text) {
            // A decoded change either results in a valid configuration or fails with an error.
            if let Ok(next) = change.apply(&Config::default()) {
                prop_assert!(next.check().is_ok());
            }
        }
        if let Ok(ranges) = serde_json::from_str::<ShardRanges>(&text) {
            let decoded: ShardRanges = serde_json::from_str(&serde_json::to_string(&ranges).unwrap()).unwrap();
            prop_assert_eq!(decoded, ranges);
        }
        let _ = serde_json::from_str::<SearchReply>(&text);
        let _ = serde_json::from_str::<Config>(&text).map(|c| c.check());
    }

    #[test]
    fn nearly_valid_announcement(value in nearly_valid()) {
        let Ok(a) = serde_json::from_value::<Announcement>(value) else { return Ok(()) };
        if a.check().is_ok() {
            for holding in &a.indexes {
                prop_assert!(holding.shards.last().is_some_and(|s| s.0 < holding.shard_count));
                prop_assert!(holding.shards.count() <= holding.shard_count);
            }
        }
    }
}
