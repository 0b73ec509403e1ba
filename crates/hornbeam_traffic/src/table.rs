//! Which servers hold which shards of which index version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{IndexVersion, Mono, SchemaVersion, ServerId, ShardId};

use crate::server::{ServerIdx, ServerRecord};

/// How long a newer version must cover as much as the current one before it takes over.
const SWITCH_HOLD: Duration = Duration::from_secs(1);

/// Live schema versions as bits: bit `i` stands for the `i`th live version, lowest first.
pub type SchemaMask = u16;

/// One server that holds a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The server.
    pub server: ServerIdx,
    /// Live schema versions in which it holds the shard; not zero.
    pub schemas: SchemaMask,
}

/// Placement of one index version over the servers that take work.
#[derive(Clone, Debug)]
pub struct VersionTable {
    /// The version.
    pub version: IndexVersion,
    /// The live schema versions that the masks stand for.
    pub schemas: Arc<[SchemaVersion]>,
    /// Replicas of each shard; as many as the version has shards.
    pub replicas: Vec<Vec<Replica>>,
    /// Shards held in every live schema version.
    pub covered: u32,
}

impl VersionTable {
    fn new(version: IndexVersion, schemas: Arc<[SchemaVersion]>, shard_count: u32) -> Self {
        let replicas = vec![Vec::new(); shard_count as usize];
        Self { version, schemas, replicas, covered: 0 }
    }

    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        self.replicas.len() as u32
    }

    /// Replicas of a shard; none if the shard does not exist.
    pub fn replicas_of(&self, shard: ShardId) -> &[Replica] {
        self.replicas.get(shard.0 as usize).map_or(&[], Vec::as_slice)
    }

    /// The mask of all live schema versions.
    pub fn full_mask(&self) -> SchemaMask {
        full_mask(self.schemas.len())
    }

    /// True if every shard is held in every live schema version.
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

/// The mask of `count` live schema versions.
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

/// Servers that disagree on the shard count of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardCountConflict {
    /// The version.
    pub version: IndexVersion,
    /// The first server found to disagree with an earlier one.
    pub server: ServerId,
}

/// What changed when a table was rebuilt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableUpdate {
    /// Versions that became unusable.
    pub conflicts: Vec<ShardCountConflict>,
    /// Versions that became usable again.
    pub resolved: Vec<IndexVersion>,
    /// The current version before and after, if it changed.
    pub switched: Option<(IndexVersion, IndexVersion)>,
}

/// Placement of all index versions of one service.
#[derive(Debug, Default)]
pub struct ServiceTable {
    /// Usable versions; those in conflict are left out.
    versions: BTreeMap<IndexVersion, Arc<VersionTable>>,
    conflicts: Vec<ShardCountConflict>,
    /// The version that new queries are pinned to; always a key of `versions`.
    current: Option<IndexVersion>,
    /// A newer version that may take over, and since when it could.
    successor: Option<(IndexVersion, Mono)>,
}

impl ServiceTable {
    /// The version that new queries are pinned to.
    pub fn current(&self) -> Option<&Arc<VersionTable>> {
        self.versions.get(&self.current?)
    }

    /// Placement of `version`, if it is usable.
    pub fn version(&self, version: IndexVersion) -> Option<&Arc<VersionTable>> {
        self.versions.get(&version)
    }

    /// Versions that servers disagree on.
    pub fn conflicts(&self) -> &[ShardCountConflict] {
        &self.conflicts
    }

    /// Rebuilds the placement from the servers of this service.
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
        let mut news = self.note_conflicts(conflicts);
        news.switched = self.choose_current(now);
        news
    }

    fn note_conflicts(&mut self, conflicts: Vec<ShardCountConflict>) -> TableUpdate {
        let known = |list: &[ShardCountConflict], v| {
            list.iter().any(|c: &ShardCountConflict| c.version == v)
        };
        let old = std::mem::replace(&mut self.conflicts, conflicts);
        let mut news = TableUpdate::default();
        for c in &self.conflicts {
            if !known(&old, c.version) {
                news.conflicts.push(c.clone());
            }
        }
        for c in &old {
            if !known(&self.conflicts, c.version) {
                news.resolved.push(c.version);
            }
        }
        news
    }

    /// The newest version among those that cover best.
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

    /// Chooses the version for new queries; the change if there is one.
    ///
    /// A version that covers more takes over at once; one that is only newer takes over after
    /// [`SWITCH_HOLD`], so that servers which load it one by one do not make it flap.
    pub fn choose_current(&mut self, now: Mono) -> Option<(IndexVersion, IndexVersion)> {
        let best = self.best().map(|b| (b.version, b.coverage()));
        let Some((version, coverage)) = best else {
            self.successor = None;
            let kept = self.current.is_some_and(|c| self.versions.contains_key(&c));
            if !kept {
                self.current = None;
            }
            return None;
        };
        let Some(old) = self.current else {
            self.current = Some(version);
            return None;
        };
        if version == old {
            self.successor = None;
            return None;
        }
        let old_coverage = self.versions.get(&old).map_or(-1.0, |t| t.coverage());
        if coverage > old_coverage {
            return self.switch(old, version);
        }
        match self.successor {
            Some((v, since)) if v == version => {
                if now.since(since) >= SWITCH_HOLD {
                    return self.switch(old, version);
                }
            }
            _ => self.successor = Some((version, now)),
        }
        None
    }

    /// When [`ServiceTable::choose_current`] should be called again.
    pub fn next_wake(&self) -> Option<Mono> {
        self.successor.map(|(_, since)| since + SWITCH_HOLD)
    }

    fn switch(
        &mut self,
        old: IndexVersion,
        new: IndexVersion,
    ) -> Option<(IndexVersion, IndexVersion)> {
        self.current = Some(new);
        self.successor = None;
        Some((old, new))
    }
}
