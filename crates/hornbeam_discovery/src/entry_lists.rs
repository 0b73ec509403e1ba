//! The entries whose addresses an entry gets.

use hornbeam_model::Zone;
use hornbeam_protocol::discovery::EntryInfo;
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Entries of each other zone whose addresses the entries of a zone get: enough that some have servers
/// when most entries have lost theirs, and few beside the entries of a large zone.
const OTHER_ZONE_ENTRIES: usize = 8;

/// Returns the entries of a zone, and some of each other zone. The zones draw them independently, so
/// that the work of several zones without servers is spread evenly.
pub fn entries_for(zone: &Zone, zones: &IndexMap<Zone, Vec<EntryInfo>>) -> Vec<EntryInfo> {
    let seed = xxh3_64(zone.as_str().as_bytes());
    let rank = |e: &&EntryInfo| xxh3_64_with_seed(e.entry.as_str().as_bytes(), seed);
    let mut entries = zones.get(zone).cloned().unwrap_or_default();
    for (_, others) in zones.iter().filter(|(other, _)| *other != zone) {
        let mut others: Vec<&EntryInfo> = others.iter().collect();
        others.sort_by_cached_key(rank);
        entries.extend(others.into_iter().take(OTHER_ZONE_ENTRIES).cloned());
    }
    entries
}
