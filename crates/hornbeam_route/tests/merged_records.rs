//! Merging of shard responses into one ranking.

use hornbeam_route::merge_records;

fn record(n: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[15] = n;
    record
}

fn part(numbers: &[u8]) -> Vec<u8> {
    numbers.iter().flat_map(|n| record(*n)).collect()
}

fn merged(parts: &[Vec<u8>], limit: usize) -> Vec<u8> {
    let body = merge_records(parts.iter().map(Vec::as_slice), limit);
    body.chunks_exact(16).map(|r| r[15]).collect()
}

#[test]
fn greatest_first() {
    assert_eq!(merged(&[part(&[3, 9, 1]), part(&[7, 2])], 3), [9, 7, 3]);
}

#[test]
fn duplicates_kept() {
    assert_eq!(merged(&[part(&[5, 5]), part(&[5])], 10), [5, 5, 5]);
}

#[test]
fn ignored_remainder() {
    let mut odd = part(&[4]);
    odd.extend_from_slice(&[255; 15]);
    assert_eq!(merged(&[odd, part(&[2])], 10), [4, 2]);
}

#[test]
fn first_bytes_rank() {
    let mut great = record(0);
    great[0] = 1;
    let body = merge_records([&record(9)[..], &great[..]], 1);
    assert_eq!(body, great);
}

#[test]
fn nothing_to_merge() {
    assert!(merged(&[], 5).is_empty());
    assert!(merged(&[part(&[1, 2])], 0).is_empty());
}

/// Guards against memory that is reserved for the limit instead of the records: a route with a very
/// large limit ended each entry that answered a request on it.
#[test]
fn largest_limits() {
    for limit in [u32::MAX as usize, usize::MAX] {
        assert_eq!(merged(&[part(&[3, 9]), part(&[7])], limit), [9, 7, 3], "limit {limit}");
    }
}
