//! Generated records of a stand-in.
//!
//! Records depend only on index version, shard, schema version and number, so a test can tell from
//! each hit which snapshot it belongs to. Every third record exists in all schema versions, the
//! others in one.

use hornbeam_model::{Hit, IndexVersion, SchemaVersion, ShardId};
use serde_json::value::RawValue;
use smol_str::format_smolstr;

/// Distinct records in each shard.
pub const RECORDS_PER_SHARD: u32 = 12;

/// Returns the hits of one shard, best first, at most `limit` for each schema version.
pub fn search(
    version: IndexVersion,
    shard: ShardId,
    schemas: &[SchemaVersion],
    limit: u32,
) -> Vec<Hit> {
    let mut hits = Vec::new();
    for schema in schemas {
        for number in 0..RECORDS_PER_SHARD.min(limit) {
            let shared = number % 3 == 0;
            if !shared && number % schemas.len() as u32 != schema.0 % schemas.len() as u32 {
                continue;
            }
            hits.extend(record(version, shard, *schema, number));
        }
    }
    hits.sort_by(Hit::cmp_rank);
    hits
}

fn record(
    version: IndexVersion,
    shard: ShardId,
    schema: SchemaVersion,
    number: u32,
) -> Option<Hit> {
    let sward_mm = 60 + (shard.0 * 7 + number * 13) % 140;
    let body = format!(
        "{{\"index_version\":{version},\"shard\":{shard},\"schema\":{schema},\"sward_mm\":{sward_mm}}}"
    );
    let score = 1.0 - f64::from(number) * 0.05 - f64::from(shard.0 % 97) * 0.0001;
    Some(Hit {
        id: format_smolstr!("plot-{shard}-{number}"),
        schema,
        score,
        record: RawValue::from_string(body).ok()?,
    })
}
