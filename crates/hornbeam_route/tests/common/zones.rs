//! Load by zone, and the attempts that leave a zone.

use std::time::Duration;

use hornbeam_model::Mono;
use hornbeam_route::{AttemptKind, SpillParams};
use rand::Rng;

use super::{Event, HANAK, Site, World, scatter};

/// An attempt of an entry at a server.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub at: Mono,
    pub kind: AttemptKind,
    /// Zone of the entry, and that of the server.
    pub from: usize,
    pub to: usize,
    pub server: usize,
}

/// Three zones with one copy of each shard and three entries each.
pub const ZONE_SITE: Site = Site { entries: 9, zones: 3, copies: 3, slots: 2, ..HANAK };
/// Sweeps and checks per second in one zone at the usual load, which keeps its servers busy for
/// 45 percent of the time.
const ZONE_LOADS: [f64; 2] = [108.0, 36.0];

/// Schedules a multiple of the usual load of each zone, and runs it.
pub fn run_zones(world: &mut World, loads: [f64; 3], time: Duration) {
    for (zone, load) in loads.into_iter().enumerate() {
        for (route, per_second) in ZONE_LOADS.into_iter().enumerate() {
            if load > 0.0 {
                world.schedule_zone_load(route, zone, per_second * load, time);
            }
        }
    }
    world.run(time);
}

impl World {
    /// Enables the decisions about leaving the zone at all entries.
    pub fn enable_spill(&mut self) {
        for engine in &mut self.engines {
            engine.enable_zone_spill(self.now, SpillParams::default());
        }
    }

    /// Schedules requests of one route at a steady mean rate at the entries of one zone.
    pub fn schedule_zone_load(
        &mut self,
        route: usize,
        zone: usize,
        per_second: f64,
        time: Duration,
    ) {
        let gap = Duration::from_secs_f64(1.0 / per_second);
        let entries: Vec<usize> =
            (0..self.engines.len()).filter(|e| e % self.zones == zone).collect();
        let mut at = self.now + gap.mul_f64(self.rng.random_range(0.0..1.0));
        let until = self.now + time;
        while at < until {
            let entry = entries[self.rng.random_range(0..entries.len())];
            self.schedule(at, Event::EntryRequest(route, entry));
            at = at + gap.mul_f64(self.rng.random_range(0.5..1.5));
        }
    }

    pub(super) fn record_sent(&mut self, entry: usize, server: usize, kind: AttemptKind) {
        let from = entry % self.zones;
        let to = self.zone_of_server(server);
        let at = self.now;
        if let Some(sent) = &mut self.sent {
            sent.push(SentAttempt { at, kind, from, to, server });
        }
    }

    /// Zone of a server: that of its copy.
    pub fn zone_of_server(&self, server: usize) -> usize {
        let name = self.servers[server].name.as_str();
        let copy: usize = name.rsplit_once('-').expect("named by add_server").1.parse().unwrap();
        copy.min(self.zones - 1)
    }

    /// Part of a zone's first attempts since `since` that went to the servers of another zone.
    pub fn part_sent(&self, from: usize, to: usize, since: Mono) -> f64 {
        let sent = self.sent.as_ref().expect("attempts are recorded").iter();
        let first = sent.filter(|s| s.from == from && s.kind == AttemptKind::First);
        let recent: Vec<_> = first.filter(|s| s.at >= since).collect();
        let there = recent.iter().filter(|s| s.to == to).count();
        there as f64 / recent.len().max(1) as f64
    }

    /// Part of a zone's first attempts since `since` that left it.
    pub fn part_left(&self, from: usize, since: Mono) -> f64 {
        1.0 - self.part_sent(from, from, since)
    }

    /// Part of the requests that arrived in a zone with a response within the objective.
    pub fn served_in_zone(&self, zone: usize) -> f64 {
        self.served_at(|entry| entry % self.zones == zone).0
    }
}
