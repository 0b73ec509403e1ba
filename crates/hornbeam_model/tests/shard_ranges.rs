//! Shard ranges: merging, decoding and rejection of invalid input.

use hornbeam_model::{ShardId, ShardRange, ShardRanges};
use yare::parameterized;

#[parameterized(
    one = { "[3]", "3" },
    pair = { "[[0,5]]", "0-5" },
    adjacent_join = { "[[0,5],6,[7,9]]", "0-9" },
    any_order = { "[9,[0,2],1]", "0-2,9" },
    empty = { "[]", "none" },
)]
fn decoded_ranges(json: &str, displayed: &str) {
    let ranges: ShardRanges = serde_json::from_str(json).unwrap();
    assert_eq!(ranges.to_string(), displayed);
}

#[parameterized(
    swapped = { "[[5,0]]" },
    negative = { "[-1]" },
    word = { "\"all\"" },
    top = { "[4294967295]" },
    triple = { "[[1,2,3]]" },
)]
fn invalid_ranges(json: &str) {
    assert!(serde_json::from_str::<ShardRanges>(json).is_err());
}

#[test]
fn contains_members() {
    let ranges = ShardRanges::from_ranges(vec![
        ShardRange(ShardId(2), ShardId(4)),
        ShardRange(ShardId(8), ShardId(8)),
    ]);
    let inside: Vec<u32> = (0..10).filter(|s| ranges.contains(ShardId(*s))).collect();
    assert_eq!(inside, [2, 3, 4, 8]);
    assert_eq!(ranges.count(), 4);
}
