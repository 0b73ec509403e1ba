//! Merges the records of shard responses into one ranking.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts in descending byte order. Duplicates are kept;
/// a trailing remainder shorter than a record is ignored. Memory is used for the records that there
/// are, whatever the limit.
pub fn merge_records<'a>(
    parts: impl IntoIterator<Item = &'a [u8], IntoIter: Clone>,
    limit: usize,
) -> Vec<u8> {
    let parts = parts.into_iter();
    let count: usize = parts.clone().map(|part| part.len() / RECORD_BYTES).sum();
    let mut best: BinaryHeap<Reverse<[u8; RECORD_BYTES]>> =
        BinaryHeap::with_capacity(count.min(limit));
    for part in parts {
        for record in part.as_chunks().0 {
            if best.len() < limit {
                best.push(Reverse(*record));
            } else if let Some(mut least) = best.peek_mut()
                && *record > least.0
            {
                *least = Reverse(*record);
            }
        }
    }
    let records: Vec<_> = best.into_sorted_vec().into_iter().map(|Reverse(r)| r).collect();
    records.into_flattened()
}
