//! Sets of shards as sorted inclusive ranges.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ShardId;

/// Maximum number of ranges in a set that is decoded from a human-readable format.
pub const MAX_RANGES: usize = 4_096;

/// Inclusive range of shards, from the first to the last; `[first, last]` in JSON.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardRange(pub ShardId, pub ShardId);

impl ShardRange {
    /// Returns the number of shards in the range; 0 if the first one is higher than the last one.
    pub fn count(self) -> u32 {
        (self.1.0 + 1).saturating_sub(self.0.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RangeRepr {
    One(u32),
    Pair(u32, u32),
}

/// Set of shards.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ShardRanges {
    /// Sorted ranges that are neither empty nor overlapping nor adjacent.
    ranges: Vec<ShardRange>,
}

impl ShardRanges {
    /// Returns the set of all shards below `count`.
    pub fn all(count: u32) -> Self {
        if count == 0 {
            return Self::default();
        }
        Self { ranges: vec![ShardRange(ShardId(0), ShardId(count - 1))] }
    }

    /// Creates the set from ranges in any order; those whose first shard is higher than the last
    /// one are ignored.
    pub fn from_ranges(mut ranges: Vec<ShardRange>) -> Self {
        ranges.retain(|r| r.0 <= r.1);
        ranges.sort_unstable();
        let mut merged: Vec<ShardRange> = Vec::with_capacity(ranges.len());
        for r in ranges {
            match merged.last_mut() {
                Some(last) if r.0.0 <= last.1.0.saturating_add(1) => last.1 = last.1.max(r.1),
                _ => merged.push(r),
            }
        }
        Self { ranges: merged }
    }

    /// Returns the ranges, sorted and disjoint.
    pub fn ranges(&self) -> &[ShardRange] {
        &self.ranges
    }

    /// Returns the number of shards in the set.
    pub fn count(&self) -> u32 {
        self.ranges.iter().map(|r| r.count()).sum()
    }

    /// Returns true if the set has no shards.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the highest shard in the set.
    pub fn last(&self) -> Option<ShardId> {
        self.ranges.last().map(|r| r.1)
    }

    /// Returns true if the set contains `shard`.
    pub fn contains(&self, shard: ShardId) -> bool {
        let after = self.ranges.partition_point(|r| r.0 <= shard);
        after > 0 && self.ranges[after - 1].1 >= shard
    }

    /// Returns all shards in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ShardId> + '_ {
        self.ranges.iter().flat_map(|r| (r.0.0..=r.1.0).map(ShardId))
    }
}

impl FromIterator<ShardId> for ShardRanges {
    fn from_iter<I: IntoIterator<Item = ShardId>>(shards: I) -> Self {
        Self::from_ranges(shards.into_iter().map(|s| ShardRange(s, s)).collect())
    }
}

impl<'de> Deserialize<'de> for ShardRanges {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        use serde::de::Error;
        if !d.is_human_readable() {
            let ranges = Vec::<ShardRange>::deserialize(d)?;
            return Ok(Self::from_ranges(ranges));
        }
        let items = Vec::<RangeRepr>::deserialize(d).map_err(|_| {
            D::Error::custom("shards must be a list of numbers and [first, last] pairs")
        })?;
        if items.len() > MAX_RANGES {
            return Err(D::Error::custom(
                "shards must have at most 4096 ranges: merge adjacent ones",
            ));
        }
        let mut ranges = Vec::with_capacity(items.len());
        for item in items {
            let (first, last) = match item {
                RangeRepr::One(n) => (n, n),
                RangeRepr::Pair(first, last) => (first, last),
            };
            if first > last || last == u32::MAX {
                return Err(D::Error::custom(
                    "a shard range must be [first, last] with first <= last < 4294967295",
                ));
            }
            ranges.push(ShardRange(ShardId(first), ShardId(last)));
        }
        Ok(Self::from_ranges(ranges))
    }
}

impl fmt::Display for ShardRanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.ranges.is_empty() {
            return f.write_str("none");
        }
        for (i, r) in self.ranges.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            if r.0 == r.1 {
                write!(f, "{}", r.0)?;
            } else {
                write!(f, "{}-{}", r.0, r.1)?;
            }
        }
        Ok(())
    }
}
