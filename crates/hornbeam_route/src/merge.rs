//! Merges the records of shard responses into one ranking.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts in descending byte order. Duplicates are kept;
/// a trailing remainder shorter than a record is ignored.
pub fn merge_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, limit: usize) -> Vec<u8> {
    let mut best: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(limit + 1);
    for part in parts {
        for record in part.chunks_exact(RECORD_BYTES) {
            if best.len() < limit {
                best.push(Reverse(record));
            } else if best.peek().is_some_and(|Reverse(least)| record > *least) {
                best.pop();
                best.push(Reverse(record));
            }
        }
    }
    let mut records: Vec<&[u8]> = best.into_iter().map(|Reverse(r)| r).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
