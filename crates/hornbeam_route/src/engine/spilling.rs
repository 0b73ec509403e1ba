//! Requests that leave the availability zone of this entry.
//!
//! Without [`Engine::enable_zone_spill`], a server of any zone is chosen by its cost.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, ServerId};
use hornbeam_traffic::latency::LatencyWindow;
use smol_str::SmolStr;

use super::placement::ServerChoice;
use super::{AttemptOutcome, Engine, InFlightAttempt, Output, Timer};
use crate::decision::Decision;
use crate::region_rule::RegionRule;
use crate::spill::choice::{AttemptView, HomeCopies, Scope, scope};
use crate::spill::outflow::ShareChange;
use crate::spill::share::{AwayLoad, UNSAFE_USE};
use crate::spill::{SpillParams, ZoneSpill};

/// Part of the time until the response is due that a request may take at home with its wait for
/// capacity.
const UNSAFE_WAIT: f64 = 0.5;
/// Interval at which shards that wait for capacity at home are looked at again: another zone may have
/// room, or the wait may have become too long.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Zones whose servers may be chosen.
#[derive(Clone, Debug)]
pub(super) enum ZoneFilter {
    /// All zones.
    Any,
    /// These zones.
    Only(Vec<SmolStr>),
    /// These other zones, also while the limit on the attempts of the service is reached: it follows
    /// the latencies at home.
    Beyond(Vec<SmolStr>),
}

impl ZoneFilter {
    /// Returns true if a server in `zone` may be chosen.
    pub fn admits(&self, zone: &SmolStr) -> bool {
        match self {
            Self::Any => true,
            Self::Only(zones) | Self::Beyond(zones) => zones.contains(zone),
        }
    }

    /// Returns true if the limit on the attempts of the service applies.
    pub fn is_limited(&self) -> bool {
        !matches!(self, Self::Beyond(_))
    }
}

/// Where a server for one attempt is looked for.
#[derive(Debug)]
struct Plan {
    /// Zones in the order in which they are tried.
    filters: Vec<ZoneFilter>,
    /// True if all zones are tried last when none of these has an available server, but not when
    /// their servers are at capacity.
    any_if_unavailable: bool,
}

impl Engine {
    /// Lets requests leave the zone only if that pays.
    pub fn enable_zone_spill(&mut self, now: Mono, params: SpillParams) {
        self.spill = Some(Box::new(ZoneSpill::new(params)));
        self.update_shares(now);
    }

    /// Records the time in which a connection to a server was opened.
    pub fn record_round_trip(&mut self, server: &ServerId, time: Duration) {
        let Some(idx) = self.server_names.get(server) else { return };
        if let Some(spill) = &mut self.spill {
            spill.distances.record(&self.servers[*idx].zone, time);
        }
    }

    /// Records the bytes of an attempt's request and response.
    pub fn record_bytes(&mut self, server: &ServerId, bytes: usize) {
        let Some(idx) = self.server_names.get(server) else { return };
        if let Some(spill) = &mut self.spill {
            spill.record_bytes(self.servers[*idx].service, bytes);
        }
    }

    /// Returns the share of the first attempts of a service that leaves for other zones.
    pub fn spill_share(&self, service: &str) -> f64 {
        let position = self.services.iter().position(|(id, _)| id.as_str() == service);
        let outflow = self.spill.as_ref().zip(position).and_then(|(s, p)| s.services.get(&p));
        outflow.map_or(0.0, |o| o.total_share())
    }

    /// Records the response of a server with the part of the time allowed that it used. A request that
    /// was shed used all of it.
    pub(super) fn record_zone_use(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        outcome: AttemptOutcome,
    ) {
        let Some(spill) = &mut self.spill else { return };
        let window = self.latencies.get(&in_flight.route);
        let Some(low) = window.and_then(LatencyWindow::low) else { return };
        let latency = match outcome {
            AttemptOutcome::Answered => now.since(in_flight.sent_at),
            AttemptOutcome::NotRun => in_flight.allowed,
            _ => return,
        };
        let server = &self.servers[in_flight.server];
        let at = (server.service, &server.zone);
        spill.record_response(now, at, (&in_flight.route, low), (latency, in_flight.allowed));
    }

    /// Returns true if the limit on the attempts of a service does not allow another one. Attempts that
    /// have left the zone do not keep others from the servers at home.
    pub(super) fn is_at_limit(&mut self, service: usize) -> bool {
        if self.spill.is_none() {
            return !self.services[service].has_capacity();
        }
        let servers = self.services[service].servers.iter().map(|i| &self.servers[*i]);
        let mut at_home = servers.filter(|s| s.same_zone && !s.evacuated).peekable();
        if at_home.peek().is_none() {
            return !self.services[service].has_capacity();
        }
        let at_home: usize = at_home.map(|s| s.outstanding.len()).sum();
        !self.services[service].has_capacity_for(at_home as u32)
    }

    /// Chooses a server as [`Self::choose_server_in`] does, in this zone unless leaving it pays.
    pub(super) fn choose_server(
        &mut self,
        now: Mono,
        service: usize,
        exclude: &[usize],
        due: Mono,
        regions: &RegionRule,
    ) -> ServerChoice {
        let Some(mut spill) = self.spill.take() else {
            return self.choose_server_in(now, service, exclude, due, &ZoneFilter::Any, regions);
        };
        let plan = self.plan(now, &mut spill, service, exclude, due);
        self.spill = Some(spill);
        let mut result = ServerChoice::Unavailable;
        for filter in &plan.filters {
            match self.choose_server_in(now, service, exclude, due, filter, regions) {
                ServerChoice::Unavailable => {}
                ServerChoice::AtCapacity => result = ServerChoice::AtCapacity,
                chosen => return chosen,
            }
        }
        if result == ServerChoice::Unavailable && plan.any_if_unavailable {
            return self.choose_server_in(now, service, exclude, due, &ZoneFilter::Any, regions);
        }
        if result == ServerChoice::AtCapacity {
            self.schedule_recheck(now, service);
        }
        result
    }

    fn schedule_recheck(&mut self, now: Mono, service: usize) {
        let Some(spill) = &mut self.spill else { return };
        let at = spill.rechecks.entry(service).or_default();
        if *at <= now {
            *at = now + RECHECK_INTERVAL;
            self.timers.push(Reverse((*at, Timer::ServerAvailable(service))));
        }
    }

    /// Decides in which zones a server is looked for.
    fn plan(
        &mut self,
        now: Mono,
        spill: &mut ZoneSpill,
        service: usize,
        exclude: &[usize],
        due: Mono,
    ) -> Plan {
        let home = self.home_zones(now, spill, service);
        let away = self.away_zones(service, &home);
        self.step_shares(now, spill, service, (&home, &away));
        let is_repeat = !exclude.is_empty();
        if !is_repeat && let Some(zone) = self.zone_to_try(now, spill, service, &away) {
            let filters = vec![only([zone]), ZoneFilter::Only(home)];
            return Plan { filters, any_if_unavailable: true };
        }
        let copies = self.home_copies(now, service, &home, exclude);
        let left = due.since(now);
        let drawn = self.draw_zone(spill, service);
        let attempt = AttemptView {
            is_repeat,
            stall_is_unsafe: self.is_stall_unsafe(now, service, &home, left),
            wait_is_unsafe: self.is_wait_unsafe(now, service, &home, left),
            home_is_slow: self.is_home_slow(now, spill, service, left),
            drawn: drawn.as_ref(),
        };
        let scope = scope(copies, attempt);
        let any_if_unavailable =
            matches!(scope, Scope::Home | Scope::Zone(_) | Scope::ZonesWithRoom);
        let nearest = self.nearest_usable(now, spill, service, &away);
        let filters = match scope {
            Scope::Anywhere => vec![only(home.into_iter().chain(nearest)), ZoneFilter::Any],
            Scope::HomeFirst => {
                let near = only(home.iter().cloned().chain(nearest));
                vec![ZoneFilter::Only(home), near, ZoneFilter::Any]
            }
            // Open copies that cannot be chosen have no requests left of the rate that they state.
            Scope::Home if copies.open > 0 && !self.any_within_rate(now, service, &home) => {
                vec![only(home.into_iter().chain(nearest)), ZoneFilter::Any]
            }
            Scope::Home => vec![ZoneFilter::Only(home)],
            Scope::ZonesWithRoom => {
                let room = away.into_iter().filter(|z| self.has_room(now, spill, service, z));
                vec![ZoneFilter::Beyond(room.collect()), ZoneFilter::Only(home)]
            }
            Scope::Zone(zone) if self.zones.is_unreachable(&zone) => vec![ZoneFilter::Only(home)],
            Scope::Zone(zone) => vec![ZoneFilter::Beyond(vec![zone]), ZoneFilter::Only(home)],
        };
        Plan { filters, any_if_unavailable }
    }

    /// Returns the zones whose servers come first: this one, or the nearest ones with usable copies if
    /// it has none.
    pub(super) fn home_zones(&self, now: Mono, spill: &ZoneSpill, service: usize) -> Vec<SmolStr> {
        let servers = &self.services[service].servers;
        let in_zone = |i: &&usize| self.servers[**i].same_zone && !self.servers[**i].evacuated;
        if let Some(own) = servers.iter().find(in_zone) {
            return vec![self.servers[*own].zone.clone()];
        }
        let all = self.away_zones(service, &[]);
        self.nearest_usable(now, spill, service, &all)
    }

    /// Returns the zones with copies of a service other than the home zones.
    fn away_zones(&self, service: usize, home: &[SmolStr]) -> Vec<SmolStr> {
        let mut zones: Vec<SmolStr> = Vec::new();
        for idx in &self.services[service].servers {
            // Nothing may be sent there, so an attempt to measure the zone would be due for good.
            if self.servers[*idx].evacuated {
                continue;
            }
            let zone = &self.servers[*idx].zone;
            if !home.contains(zone) && !zones.contains(zone) {
                zones.push(zone.clone());
            }
        }
        zones
    }

    /// Returns the nearest of these zones that have a usable copy of a service.
    fn nearest_usable(
        &self,
        now: Mono,
        spill: &ZoneSpill,
        service: usize,
        zones: &[SmolStr],
    ) -> Vec<SmolStr> {
        let usable = zones.iter().filter(|z| self.is_zone_usable(now, service, z));
        spill.distances.nearest(usable)
    }

    fn is_zone_usable(&self, now: Mono, service: usize, zone: &SmolStr) -> bool {
        let mut servers = self.services[service].servers.iter().map(|i| &self.servers[*i]);
        !self.zones.is_unreachable(zone)
            && servers
                .any(|s| s.zone == *zone && !s.evacuated && !s.is_ejected() && !s.is_paused(now))
    }

    fn home_copies(
        &mut self,
        now: Mono,
        service: usize,
        home: &[SmolStr],
        exclude: &[usize],
    ) -> HomeCopies {
        let usual = self.services[service].mean_latency();
        let is_limited = self.is_at_limit(service);
        let mut copies = HomeCopies::default();
        for idx in &self.services[service].servers {
            let server = &self.servers[*idx];
            if !home.contains(&server.zone) || exclude.contains(idx) {
                continue;
            }
            if server.evacuated || server.is_ejected() || server.is_paused(now) {
                continue;
            }
            if self.zones.is_unreachable(&server.zone) {
                continue;
            }
            copies.usable += 1;
            if is_limited || !server.has_capacity() {
                continue;
            }
            copies.open += 1;
            copies.prompt += usize::from(!server.is_stalled(now, usual));
        }
        copies
    }

    fn any_within_rate(&mut self, now: Mono, service: usize, home: &[SmolStr]) -> bool {
        let servers = self.services[service].servers.clone();
        let mut open = servers.into_iter().filter(|i| {
            let server = &self.servers[*i];
            home.contains(&server.zone) && server.has_capacity()
        });
        let open: Vec<usize> = open.by_ref().collect();
        open.into_iter().any(|i| self.within_rate(now, i))
    }

    /// Returns true if a stalled copy at home would respond too late.
    fn is_stall_unsafe(&self, now: Mono, service: usize, home: &[SmolStr], left: Duration) -> bool {
        let usual = self.services[service].mean_latency();
        let servers = self.services[service].servers.iter().map(|i| &self.servers[*i]);
        let at_home = servers.filter(|s| home.contains(&s.zone) && s.has_capacity());
        let least = at_home.map(|s| s.cost(now, usual)).min_by(f64::total_cmp);
        least.is_some_and(|cost| usual.mul_f64(cost) > left.mul_f64(UNSAFE_USE))
    }

    /// Returns true if the copies in this zone are lastingly slow or failing, so that one elsewhere is
    /// expected to respond earlier by the gain for which requests leave. The shares of a service follow
    /// its measured latencies, but an entry sends too few requests to a copy to measure it often.
    fn is_home_slow(&self, now: Mono, spill: &ZoneSpill, service: usize, left: Duration) -> bool {
        let (mut home, mut away) = (f64::INFINITY, f64::INFINITY);
        for idx in &self.services[service].servers {
            let server = &self.servers[*idx];
            if server.evacuated || server.is_ejected() || server.is_paused(now) {
                continue;
            }
            if !server.has_capacity() || self.zones.is_unreachable(&server.zone) {
                continue;
            }
            let least = if server.same_zone { &mut home } else { &mut away };
            *least = least.min(server.lasting_cost(now));
        }
        let Some(outflow) = spill.services.get(&service) else { return false };
        let gain = self.services[service].mean_latency().as_secs_f64() * (home - away);
        home.is_finite() && gain > outflow.min_gain(&spill.params) * left.as_secs_f64()
    }

    /// Returns true if a response would be too late after waiting for capacity at home.
    fn is_wait_unsafe(&self, now: Mono, service: usize, home: &[SmolStr], left: Duration) -> bool {
        let finish = self.home_wait(now, service, home, 1) + self.services[service].mean_latency();
        finish > left.mul_f64(UNSAFE_WAIT)
    }

    /// Returns the expected wait for capacity at home of the last of `more` shards that are queued now.
    fn home_wait(&self, now: Mono, service: usize, home: &[SmolStr], more: usize) -> Duration {
        let ahead = self.services[service].waiters.len() + more;
        let servers = self.services[service].servers.iter().map(|i| &self.servers[*i]);
        let at_home = servers.filter(|s| home.contains(&s.zone) && !s.is_paused(now));
        let places: u32 = at_home.map(|s| s.limit()).sum();
        let rounds = ahead as f64 / f64::from(places.max(1));
        self.services[service].mean_latency().mul_f64(rounds)
    }

    /// Returns a zone whose state is not known, if an attempt there is due: a probe of an unreachable
    /// zone, or one that keeps a zone measured.
    fn zone_to_try(
        &self,
        now: Mono,
        spill: &mut ZoneSpill,
        service: usize,
        away: &[SmolStr],
    ) -> Option<SmolStr> {
        let is_due = |zone: &&SmolStr| match self.zones.next_probe(zone) {
            Some(at) => now >= at,
            None => spill.watch.start_if_due(now, zone, service),
        };
        away.iter().find(is_due).cloned()
    }

    fn draw_zone(&mut self, spill: &ZoneSpill, service: usize) -> Option<SmolStr> {
        let outflow = spill.services.get(&service).filter(|o| o.total_share() > 0.0)?;
        let draw = rand::Rng::random_range(&mut self.rng, 0.0..1.0);
        outflow.zone_of_draw(draw).cloned()
    }

    fn away_load(&self, now: Mono, spill: &ZoneSpill, service: usize, zone: &SmolStr) -> AwayLoad {
        spill.away_load(now, service, zone, self.is_zone_usable(now, service, zone))
    }

    fn has_room(&self, now: Mono, spill: &ZoneSpill, service: usize, zone: &SmolStr) -> bool {
        self.away_load(now, spill, service, zone).has_room()
    }

    /// Moves the shares of a service that leave for other zones, if a step is due.
    fn step_shares(
        &self,
        now: Mono,
        spill: &mut ZoneSpill,
        service: usize,
        (home, away): (&[SmolStr], &[SmolStr]),
    ) {
        let outflow = spill.services.entry(service).or_default();
        if !outflow.start_step_if_due(now) {
            return;
        }
        outflow.retain_zones(|zone| away.contains(zone));
        let wait = self.home_wait(now, service, home, 0);
        let home_load = spill.home_load(now, service, home, wait);
        for zone in away {
            let away_load = self.away_load(now, spill, service, zone);
            let Some(outflow) = spill.services.get_mut(&service) else { continue };
            if let Some(change) = outflow.step(zone, home_load, away_load) {
                spill.decisions.push(self.spill_decision(service, zone, &change));
            }
        }
    }

    fn spill_decision(&self, service: usize, zone: &SmolStr, change: &ShareChange) -> Decision {
        Decision::ZoneSpill {
            service: self.services[service].id.clone(),
            zone: zone.clone(),
            share: change.share,
            home_use: change.home.used,
            away_use: change.away.used,
            usual_use: change.home.usual,
            min_gain: change.home.min_gain,
            waiting: self.services[service].waiters.len(),
        }
    }

    /// Writes the decisions about leaving the zone to the log.
    pub(super) fn log_spill(&mut self, out: &mut Vec<Output>) {
        if let Some(spill) = &mut self.spill {
            out.extend(spill.decisions.drain(..).map(Output::Log));
        }
    }
}

fn only(zones: impl IntoIterator<Item = SmolStr>) -> ZoneFilter {
    ZoneFilter::Only(zones.into_iter().collect())
}
