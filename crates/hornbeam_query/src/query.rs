//! State of one running query.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Mono, Prefer, QueryId, RequestId, Revision, SchemaVersion, ServiceId, ShardId,
    ShardRanges,
};
use hornbeam_traffic::{SchemaMask, ServerIdx, VersionTable};
use indexmap::IndexSet;
use serde_json::value::RawValue;

use crate::merge::Merger;
use crate::request::ShardSelector;
use crate::response::{Coverage, MissingReason, MissingShards};

/// Maximum number of attempts for one shard, not counting hedges.
pub const MAX_ATTEMPTS_PER_SHARD: u8 = 4;
/// Maximum number of restarts of one query on another index version.
pub const MAX_RESTARTS: u8 = 2;

/// Progress of one requested shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardProgress {
    /// Schema versions whose hits have been received.
    pub covered: SchemaMask,
    /// Schema versions with at least one in-flight attempt.
    pub in_flight: SchemaMask,
    /// Schema versions with two in-flight attempts; a subset of `in_flight`.
    pub in_flight_twice: SchemaMask,
    /// Number of attempts sent, not counting hedges.
    pub attempts: u8,
    /// Server of the latest attempt, hedges included.
    pub last_server: Option<ServerIdx>,
    /// True if the latest attempt that ended left schema versions uncovered.
    pub failed: bool,
    /// True if a failed attempt put load on a server, so that the next one spends retry budget.
    pub costs_budget: bool,
}

impl ShardProgress {
    /// Returns the schema versions that are neither covered nor in flight: they need an attempt.
    pub fn unassigned(&self, full: SchemaMask) -> SchemaMask {
        full & !(self.covered | self.in_flight)
    }

    /// Marks the schema versions of `mask` as in flight with one more attempt.
    pub fn mark_sent(&mut self, mask: SchemaMask) {
        self.in_flight_twice |= self.in_flight & mask;
        self.in_flight |= mask;
    }

    /// Marks that one in-flight attempt for `mask` has returned or was cancelled.
    pub fn mark_returned(&mut self, mask: SchemaMask) {
        let once = mask & !self.in_flight_twice;
        self.in_flight_twice &= !mask;
        self.in_flight &= !once;
    }
}

/// Snapshot from which a query is answered: one index version, its live schema versions and one
/// configuration.
#[derive(Clone, Debug)]
pub struct PinnedSnapshot {
    /// Placement of the pinned index version; updated while the query runs, as long as the schema
    /// versions and the shard count stay the same.
    pub table: Arc<VersionTable>,
    /// Revision of the configuration in force when the query was pinned.
    pub revision: Revision,
}

/// One running query.
#[derive(Debug)]
pub struct Query {
    /// Identifier of the query within this instance.
    pub id: QueryId,
    /// The caller's identifier of the request.
    pub request_id: RequestId,
    /// The requested service.
    pub service: ServiceId,
    /// The query as the caller sent it; not interpreted.
    pub body: Arc<RawValue>,
    /// The shards as the caller selected them.
    pub selector: ShardSelector,
    /// Maximum number of hits in the response.
    pub limit: u32,
    /// True if the query must not run more than once.
    pub non_idempotent: bool,
    /// Priority between an early response and the coverage of more shards.
    pub prefer: Prefer,
    /// Time of arrival.
    pub arrived_at: Mono,
    /// Time at which it was admitted and started.
    pub started_at: Mono,
    /// Due time of the response, complete or not; the margin is already subtracted.
    pub due_at: Mono,
    /// Snapshot from which all hits in `merger` come.
    pub snapshot: PinnedSnapshot,
    /// The requested shards in ascending order.
    pub requested: Vec<ShardId>,
    /// Progress of each shard, in the order of `requested`.
    pub progress: Vec<ShardProgress>,
    /// Number of shards that are not covered in every live schema version.
    pub open_shards: usize,
    /// Hits received so far.
    pub merger: Merger,
    /// In-flight attempts that are not cancelled.
    pub in_flight: IndexSet<AttemptId>,
    /// Number of attempts sent so far.
    pub attempts_sent: u32,
    /// Number of sent attempts that may have run, including those that succeeded.
    pub unconfirmed: u32,
    /// Number of restarts on another index version.
    pub restarts: u8,
    /// Time at which the in-flight attempts are next checked for hedges.
    pub next_hedge_at: Mono,
    /// True while a shard waits for capacity at a server or for retry budget.
    pub stalled: bool,
    /// True while a shard waits for capacity at a server.
    pub no_capacity: bool,
}

impl Query {
    /// Returns the mask of all live schema versions of the snapshot.
    pub fn full_mask(&self) -> SchemaMask {
        self.snapshot.table.full_mask()
    }

    /// Returns the live schema versions in `mask`.
    pub fn schemas_in(&self, mask: SchemaMask) -> Vec<SchemaVersion> {
        let live = self.snapshot.table.schemas.iter().enumerate();
        live.filter(|(i, _)| mask & (1 << i) != 0).map(|(_, s)| *s).collect()
    }

    /// Returns the mask of `schemas`, or `None` if one of them is not live.
    pub fn mask_of(&self, schemas: &[SchemaVersion]) -> Option<SchemaMask> {
        let mut mask = 0;
        for schema in schemas {
            let i = self.snapshot.table.schemas.iter().position(|s| s == schema)?;
            mask |= 1 << i;
        }
        Some(mask)
    }

    /// Marks `mask` as covered for the shard at `pos`; returns the bits that were not covered
    /// before.
    pub fn mark_covered(&mut self, pos: usize, mask: SchemaMask) -> SchemaMask {
        let full = self.full_mask();
        let shard_progress = &mut self.progress[pos];
        let new = mask & full & !shard_progress.covered;
        let was_open = shard_progress.covered != full;
        shard_progress.covered |= new;
        if was_open && shard_progress.covered == full {
            self.open_shards -= 1;
        }
        new
    }

    /// Discards all progress and restarts the query on `snapshot`.
    pub fn restart(&mut self, snapshot: PinnedSnapshot, requested: Vec<ShardId>) {
        self.snapshot = snapshot;
        self.progress = vec![ShardProgress::default(); requested.len()];
        self.open_shards = requested.len();
        self.requested = requested;
        self.merger.clear();
        self.restarts += 1;
    }

    /// Returns the time of the next hedge check or the due time, whichever is earlier.
    pub fn next_wake(&self) -> Mono {
        self.next_hedge_at.min(self.due_at)
    }

    /// Returns which shards are covered and why the others are missing.
    pub fn coverage(&self) -> Coverage {
        let full = self.full_mask();
        let mut covered = Vec::new();
        let mut groups: Vec<(SchemaMask, MissingReason, Vec<ShardId>)> = Vec::new();
        for (pos, shard_progress) in self.progress.iter().enumerate() {
            let shard = self.requested[pos];
            let missing = full & !shard_progress.covered;
            if missing == 0 {
                covered.push(shard);
                continue;
            }
            let reason = self.missing_reason(pos);
            match groups.iter_mut().find(|(m, r, _)| *m == missing && *r == reason) {
                Some((_, _, shards)) => shards.push(shard),
                None => groups.push((missing, reason, vec![shard])),
            }
        }
        let missing = groups.into_iter().map(|(mask, reason, shards)| MissingShards {
            shards: ShardRanges::from_iter(shards),
            schemas: self.schemas_in(mask),
            reason,
        });
        Coverage {
            shards_total: self.requested.len() as u32,
            covered: ShardRanges::from_iter(covered),
            missing: missing.collect(),
        }
    }

    fn missing_reason(&self, pos: usize) -> MissingReason {
        let shard_progress = &self.progress[pos];
        if shard_progress.in_flight != 0 {
            return MissingReason::TimedOut;
        }
        if shard_progress.failed {
            return MissingReason::Failed;
        }
        let replicas = self.snapshot.table.replicas_of(self.requested[pos]);
        let missing = self.full_mask() & !shard_progress.covered;
        let held = replicas.iter().fold(0, |m, r| m | r.schemas);
        if held & missing == missing && self.no_capacity {
            return MissingReason::NoCapacity;
        }
        MissingReason::NoReplica
    }
}

/// Shortest and longest margin.
const MARGIN_BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(100));
/// Margin when latency has priority, as a percentage of the patience.
const LATENCY_MARGIN_PERCENT: u32 = 8;
/// Margin when coverage has priority, as a percentage of the patience.
const COVERAGE_MARGIN_PERCENT: u32 = 2;

/// Returns the part of `patience` that is reserved for merging and for returning the response.
pub fn margin(prefer: Prefer, patience: Duration) -> Duration {
    let percent = match prefer {
        Prefer::Latency => LATENCY_MARGIN_PERCENT,
        Prefer::Coverage => COVERAGE_MARGIN_PERCENT,
    };
    (patience * percent / 100).clamp(MARGIN_BOUNDS.0, MARGIN_BOUNDS.1)
}
