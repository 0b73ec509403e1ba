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

/// Attempts allowed for one shard, hedges left out.
pub const MAX_TRIES: u8 = 4;
/// Restarts on another index version allowed for one query.
pub const MAX_RESTARTS: u8 = 2;

/// Progress of one shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardState {
    /// Schema versions that are answered.
    pub covered: SchemaMask,
    /// Schema versions that some attempt is out for.
    pub flying: SchemaMask,
    /// Schema versions that two attempts are out for; a subset of `flying`.
    pub double: SchemaMask,
    /// Attempts sent, hedges left out.
    pub tries: u8,
    /// The server tried last.
    pub last: Option<ServerIdx>,
    /// True if the last attempt came back without result.
    pub failed: bool,
    /// True if a failed attempt put load on a server, so that the next one costs budget.
    pub costs: bool,
}

impl ShardState {
    /// Schema versions for which an attempt is needed.
    pub fn missing(&self, full: SchemaMask) -> SchemaMask {
        full & !(self.covered | self.flying)
    }

    /// Notes an attempt for `mask`.
    pub fn take_off(&mut self, mask: SchemaMask) {
        self.double |= self.flying & mask;
        self.flying |= mask;
    }

    /// Notes that an attempt for `mask` came back.
    pub fn land(&mut self, mask: SchemaMask) {
        let once = mask & !self.double;
        self.double &= !mask;
        self.flying &= !once;
    }
}

/// The snapshot that a query answers from.
#[derive(Clone, Debug)]
pub struct Pin {
    /// Placement of the index version when the query was pinned.
    pub table: Arc<VersionTable>,
    /// The configuration used.
    pub revision: Revision,
}

/// One running query.
#[derive(Debug)]
pub struct Query {
    /// This instance's number for it.
    pub id: QueryId,
    /// The caller's name for it.
    pub request_id: RequestId,
    /// The service asked.
    pub service: ServiceId,
    /// The query, unread.
    pub body: Arc<RawValue>,
    /// The shards as the caller named them.
    pub shards: ShardSelector,
    /// Most hits wanted.
    pub limit: u32,
    /// True if it must not run twice.
    pub non_idempotent: bool,
    /// What is done with the last of the time.
    pub prefer: Prefer,
    /// When it arrived.
    pub arrived: Mono,
    /// When it began to run.
    pub began: Mono,
    /// When it must be answered with what is there; margin already taken off.
    pub finish_at: Mono,
    /// Snapshot that every hit in `merger` comes from.
    pub pin: Pin,
    /// The shards asked for, rising.
    pub wanted: Vec<ShardId>,
    /// Progress, one entry for each of `wanted`.
    pub states: Vec<ShardState>,
    /// Entries of `states` that are not covered in every schema version.
    pub open: usize,
    /// Hits so far.
    pub merger: Merger,
    /// Attempts that are out.
    pub flights: IndexSet<AttemptId>,
    /// Attempts that ever left.
    pub sent: u32,
    /// Attempts that left and were not confirmed as not run.
    pub unconfirmed: u32,
    /// Restarts on another index version.
    pub restarts: u8,
    /// When a hedge is due next.
    pub next_hedge: Mono,
    /// True while some shard waits for room at a server or for budget.
    pub starved: bool,
    /// True if a shard waits for room at a server.
    pub no_room: bool,
}

impl Query {
    /// The mask of all live schema versions.
    pub fn full_mask(&self) -> SchemaMask {
        self.pin.table.full_mask()
    }

    /// The live schema versions in `mask`.
    pub fn schemas_in(&self, mask: SchemaMask) -> Vec<SchemaVersion> {
        let live = self.pin.table.schemas.iter().enumerate();
        live.filter(|(i, _)| mask & (1 << i) != 0).map(|(_, s)| *s).collect()
    }

    /// The mask of `schemas`, or nothing if one is not live.
    pub fn mask_of(&self, schemas: &[SchemaVersion]) -> Option<SchemaMask> {
        let mut mask = 0;
        for schema in schemas {
            let i = self.pin.table.schemas.iter().position(|s| s == schema)?;
            mask |= 1 << i;
        }
        Some(mask)
    }

    /// Marks `mask` of entry `pos` as covered; the bits that are new.
    pub fn cover(&mut self, pos: usize, mask: SchemaMask) -> SchemaMask {
        let full = self.full_mask();
        let state = &mut self.states[pos];
        let new = mask & full & !state.covered;
        let was_open = state.covered != full;
        state.covered |= new;
        if was_open && state.covered == full {
            self.open -= 1;
        }
        new
    }

    /// Discards all progress and answers from `pin` instead.
    pub fn restart(&mut self, pin: Pin, wanted: Vec<ShardId>) {
        self.pin = pin;
        self.states = vec![ShardState::default(); wanted.len()];
        self.open = wanted.len();
        self.wanted = wanted;
        self.merger.clear();
        self.restarts += 1;
    }

    /// When to look at the query next.
    pub fn next_wake(&self) -> Mono {
        self.next_hedge.min(self.finish_at)
    }

    /// Which shards are covered and why the others are not.
    pub fn coverage(&self) -> Coverage {
        let full = self.full_mask();
        let mut covered = Vec::new();
        let mut groups: Vec<(SchemaMask, MissingReason, Vec<ShardId>)> = Vec::new();
        for (pos, state) in self.states.iter().enumerate() {
            let shard = self.wanted[pos];
            let lacking = full & !state.covered;
            if lacking == 0 {
                covered.push(shard);
                continue;
            }
            let reason = self.lack_reason(pos);
            match groups.iter_mut().find(|(m, r, _)| *m == lacking && *r == reason) {
                Some((_, _, shards)) => shards.push(shard),
                None => groups.push((lacking, reason, vec![shard])),
            }
        }
        let lacking = groups.into_iter().map(|(mask, reason, shards)| MissingShards {
            shards: ShardRanges::from_iter(shards),
            schemas: self.schemas_in(mask),
            reason,
        });
        Coverage {
            shards_total: self.wanted.len() as u32,
            covered: ShardRanges::from_iter(covered),
            missing: lacking.collect(),
        }
    }

    fn lack_reason(&self, pos: usize) -> MissingReason {
        let state = &self.states[pos];
        if state.flying != 0 {
            return MissingReason::TimedOut;
        }
        if state.failed {
            return MissingReason::Failed;
        }
        let replicas = self.pin.table.replicas_of(self.wanted[pos]);
        let lacking = self.full_mask() & !state.covered;
        let held = replicas.iter().fold(0, |m, r| m | r.schemas);
        if held & lacking == lacking && self.no_room {
            return MissingReason::NoCapacity;
        }
        MissingReason::NoReplica
    }
}

/// Shortest and longest time kept for merging and the way back.
const MARGIN_BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(100));
/// Part of the patience kept when latency goes first, in hundredths.
const LATENCY_MARGIN_PERCENT: u32 = 8;
/// Part of the patience kept when coverage goes first, in hundredths.
const COVERAGE_MARGIN_PERCENT: u32 = 2;

/// Time kept for merging and the way back, out of `patience`.
pub fn margin(prefer: Prefer, patience: Duration) -> Duration {
    let percent = match prefer {
        Prefer::Latency => LATENCY_MARGIN_PERCENT,
        Prefer::Coverage => COVERAGE_MARGIN_PERCENT,
    };
    (patience * percent / 100).clamp(MARGIN_BOUNDS.0, MARGIN_BOUNDS.1)
}
