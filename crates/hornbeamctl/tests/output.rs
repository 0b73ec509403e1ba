//! Output of the commands.

use hornbeam_model::Config;
use hornbeamctl::{config, status};
use serde_json::json;

#[test]
fn status_table() {
    let statuses = [json!({
        "instance": "olomouc-1", "zone": "olomouc", "revision": 7, "confirmed_ms_ago": 120,
        "role": "leader", "draining": true,
        "peers": [
            {"instance": "prerov-1", "zone": "prerov", "heard_ms_ago": 80, "revision": 7},
            {"instance": "kromeriz-1", "zone": "kromeriz", "heard_ms_ago": null, "revision": null},
        ],
        "traffic": {
            "services": [{"service": "planner", "index_version": 8, "covered": 23, "shards": 24,
                "limit": 40}],
            "servers": [
                {"server": "s1", "service": "planner", "zone": "olomouc", "outstanding": 2,
                    "share": 3, "takes_work": true, "ejected": false},
                {"server": "s2", "service": "planner", "zone": "olomouc", "outstanding": 0,
                    "share": 3, "takes_work": false, "ejected": true},
            ],
        },
    })];
    insta::assert_snapshot!(status::render_table(&statuses, true), @r"
    instance olomouc-1 zone olomouc revision 7 confirmed 120ms-ago role leader draining
      service planner index 8 shards 23/24 limit 40
      peer prerov-1 zone prerov heard 80ms-ago revision 7
      peer kromeriz-1 zone kromeriz heard never revision -
      servers 2 of which 1 take no work
        s1 service planner zone olomouc outstanding 2 connections 3
        s2 service planner zone olomouc outstanding 0 connections 3 no-work avoided
    ");
}

#[test]
fn config_diff() {
    let read = |text: &str| serde_saphyr::from_str::<Config>(text).unwrap();
    let current = read(
        "services:\n  gone: {patience: {default_ms: 10}, schemas: [1]}\n  \
         kept: {patience: {default_ms: 10}, schemas: [1]}\n  \
         changed: {patience: {default_ms: 10}, schemas: [1]}\n",
    );
    let desired = read(
        "services:\n  kept: {patience: {default_ms: 10}, schemas: [1]}\n  \
         changed: {patience: {default_ms: 10}, schemas: [1, 2]}\n  \
         new: {patience: {default_ms: 10}, schemas: [1]}\n",
    );
    insta::assert_snapshot!(config::diff(&current, &desired), @r"
    ~ changed
        schemas: [1] -> [1,2]
    + new
    - gone
    ");
    assert_eq!(config::diff(&desired, &desired), "");
}
