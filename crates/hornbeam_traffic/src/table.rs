//! Placement tables: which servers hold which shards of which index version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{IndexVersion, Mono, SchemaVersion, ServerId, ShardId};

use crate::server::{ServerIdx, ServerRecord};

/// Time for which a newer version must cover as much as the current one before it becomes current.
const SWITCH_DELAY: Duration = Duration::from_secs(1);

/// Set of live schema versions: bit `i` stands for the `i`th live version, lowest version first.
pub type SchemaMask = u16;

/// One server that holds a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The server.
    pub server: ServerIdx,
    /// Live schema versions in which it holds the shard; never empty.
    pub schemas: SchemaMask,
}

/// Placement of one index version on the servers that accept new work.
#[derive(Clone, Debug)]
pub struct VersionTable {
    /// The index version.
    pub version: IndexVersion,
    /// Live schema versions in the order of the mask bits.
    pub schemas: Arc<[SchemaVersion]>,
    /// Replicas of each shard, indexed by shard number.
    pub replicas: Vec<Vec<Replica>>,
    /// Number of shards that are held in every live schema version.
    pub covered: u32,
}

impl VersionTable {
    fn new(version: IndexVersion, schemas: Arc<[SchemaVersion]>, shard_count: u32) -> Self {
        let replicas = vec![Vec::new(); shard_count as usize];
        Self { version, schemas, replicas, covered: 0 }
    }

    /// Returns the number of shards of this version.
    pub fn shard_count(&self) -> u32 {
        self.replicas.len() as u32
    }

    /// Returns the replicas of a shard; empty if the shard does not exist.
    pub fn replicas_of(&self, shard: ShardId) -> &[Replica] {
        self.replicas.get(shard.0 as usize).map_or(&[], Vec::as_slice)
    }

    /// Returns the mask of all live schema versions.
    pub fn full_mask(&self) -> SchemaMask {
        full_mask(self.schemas.len())
    }

    /// Returns true if every shard is held in every live schema version.
    pub fn is_full(&self) -> bool {
        self.covered == self.shard_count()
    }

    fn coverage(&self) -> f64 {
        f64::from(self.covered) / f64::from(self.shard_count().max(1))
    }

    fn count_covered(&mut self) {
        let full = self.full_mask();
        let held = |r: &Vec<Replica>| r.iter().fold(0, |m, r| m | r.schemas) == full;
        self.covered = self.replicas.iter().filter(|r| held(r)).count() as u32;
    }
}

/// Returns the mask of all of `count` live schema versions; `count` is at most 16.
pub fn full_mask(count: usize) -> SchemaMask {
    ((1u32 << count) - 1) as SchemaMask
}

fn mask_of(live: &[SchemaVersion], held: &[SchemaVersion]) -> SchemaMask {
    let mut mask = 0;
    for (i, schema) in live.iter().enumerate() {
        if held.contains(schema) {
            mask |= 1 << i;
        }
    }
    mask
}

/// Conflicting shard counts that servers announced for one index version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardCountConflict {
    /// The index version.
    pub version: IndexVersion,
    /// The first server whose shard count differs from that of a server before it.
    pub server: ServerId,
}

/// Changes that a rebuild of a placement table caused.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableUpdate {
    /// Versions that became unusable, because servers disagree on their shard count.
    pub conflicts: Vec<ShardCountConflict>,
    /// Versions whose conflict has ended: the servers agree, or no server announces the version.
    pub resolved: Vec<IndexVersion>,
    /// The previous and the new current version, if it changed.
    pub switched: Option<(IndexVersion, IndexVersion)>,
}

/// Placement of all index versions of one service.
#[derive(Debug, Default)]
pub struct ServiceTable {
    /// Usable versions; versions with a shard count conflict are not included.
    versions: BTreeMap<IndexVersion, Arc<VersionTable>>,
    conflicts: Vec<ShardCountConflict>,
    /// The version that new queries are pinned to; always a key of `versions`.
    current: Option<IndexVersion>,
    /// A newer version that may become current, and the time since which it qualifies.
    candidate: Option<(IndexVersion, Mono)>,
}

impl ServiceTable {
    /// Returns the placement of the version that new queries are pinned to.
    pub fn current(&self) -> Option<&Arc<VersionTable>> {
        self.versions.get(&self.current?)
    }

    /// Returns the placement of `version`, if it is usable.
    pub fn version(&self, version: IndexVersion) -> Option<&Arc<VersionTable>> {
        self.versions.get(&version)
    }

    /// Returns the versions with conflicting shard counts.
    pub fn conflicts(&self) -> &[ShardCountConflict] {
        &self.conflicts
    }

    /// Rebuilds the placement from the servers of this service and chooses the current version.
    ///
    /// `live` lists the live schema versions, lowest first.
    pub fn rebuild<'a>(
        &mut self,
        now: Mono,
        live: &[SchemaVersion],
        servers: impl Iterator<Item = (ServerIdx, &'a ServerRecord)>,
    ) -> TableUpdate {
        let schemas: Arc<[SchemaVersion]> = live.into();
        let mut built: BTreeMap<IndexVersion, VersionTable> = BTreeMap::new();
        let mut conflicts: Vec<ShardCountConflict> = Vec::new();
        for (idx, server) in servers {
            if !server.takes_work() {
                continue;
            }
            for holding in &server.announced.indexes {
                if server.refused_version(holding.version) {
                    continue;
                }
                let version = holding.version;
                let table = built.entry(version).or_insert_with(|| {
                    VersionTable::new(version, schemas.clone(), holding.shard_count)
                });
                if table.shard_count() != holding.shard_count {
                    if !conflicts.iter().any(|c| c.version == version) {
                        let server = server.announced.server.clone();
                        conflicts.push(ShardCountConflict { version, server });
                    }
                    continue;
                }
                let mask = mask_of(live, &holding.schemas);
                if mask == 0 {
                    continue;
                }
                for shard in holding.shards.iter() {
                    table.replicas[shard.0 as usize].push(Replica { server: idx, schemas: mask });
                }
            }
        }
        built.retain(|version, _| !conflicts.iter().any(|c| c.version == *version));
        for table in built.values_mut() {
            table.count_covered();
        }
        self.versions = built.into_iter().map(|(v, t)| (v, Arc::new(t))).collect();
        let mut update = self.replace_conflicts(conflicts);
        update.switched = self.choose_current(now);
        update
    }

    /// Stores the conflicts; returns those that are new and those that have ended.
    fn replace_conflicts(&mut self, conflicts: Vec<ShardCountConflict>) -> TableUpdate {
        let known = |list: &[ShardCountConflict], v| {
            list.iter().any(|c: &ShardCountConflict| c.version == v)
        };
        let old = std::mem::replace(&mut self.conflicts, conflicts);
        let mut update = TableUpdate::default();
        for c in &self.conflicts {
            if !known(&old, c.version) {
                update.conflicts.push(c.clone());
            }
        }
        for c in &old {
            if !known(&self.conflicts, c.version) {
                update.resolved.push(c.version);
            }
        }
        update
    }

    /// Returns the version with the best coverage; of equal ones, the newest.
    fn best(&self) -> Option<&Arc<VersionTable>> {
        let mut best: Option<&Arc<VersionTable>> = None;
        for table in self.versions.values().rev() {
            if table.covered == 0 {
                continue;
            }
            if best.is_none_or(|b| table.coverage() > b.coverage()) {
                best = Some(table);
            }
        }
        best
    }

    /// Chooses the version that new queries are pinned to; returns the previous and the new version
    /// if it changed.
    ///
    /// A version with better coverage becomes current at once. One that is only newer becomes
    /// current after [`SWITCH_DELAY`], so that the choice does not flap while servers load it one
    /// by one.
    pub fn choose_current(&mut self, now: Mono) -> Option<(IndexVersion, IndexVersion)> {
        let best = self.best().map(|b| (b.version, b.coverage()));
        let Some((version, coverage)) = best else {
            self.candidate = None;
            let still_usable = self.current.is_some_and(|c| self.versions.contains_key(&c));
            if !still_usable {
                self.current = None;
            }
            return None;
        };
        let Some(old) = self.current else {
            self.current = Some(version);
            return None;
        };
        if version == old {
            self.candidate = None;
            return None;
        }
        let old_coverage = self.versions.get(&old).map_or(-1.0, |t| t.coverage());
        if coverage > old_coverage {
            return self.switch(old, version);
        }
        match self.candidate {
            Some((v, since)) if v == version => {
                if now.since(since) >= SWITCH_DELAY {
                    return self.switch(old, version);
                }
            }
            _ => self.candidate = Some((version, now)),
        }
        None
    }

    /// Returns the time at which [`ServiceTable::choose_current`] is due again, or `None` if no
    /// newer version is about to become current.
    pub fn next_wake(&self) -> Option<Mono> {
        self.candidate.map(|(_, since)| since + SWITCH_DELAY)
    }

    fn switch(
        &mut self,
        old: IndexVersion,
        new: IndexVersion,
    ) -> Option<(IndexVersion, IndexVersion)> {
        self.current = Some(new);
        self.candidate = None;
        Some((old, new))
    }
}
