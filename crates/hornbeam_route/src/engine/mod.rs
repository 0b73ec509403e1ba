//! State machine of all requests of one entry: `step(now, input) -> outputs`.
//!
//! - [`messages`]: inputs and outputs
//! - [`admission`]: route matching, admission and refusal on arrival
//! - [`placement`]: choice of a server for each shard
//! - [`queueing`]: shards that wait for capacity
//! - [`attempts`]: outcomes of attempts, and retries
//! - [`notices`]: servers that leave or ask for a pause in their responses
//! - [`rates`]: servers that state the rate of requests that they accept
//! - [`hedging`]: hedged requests for late shards
//! - [`crashes`]: requests that end the servers that run them
//! - [`detachment`]: an entry that reaches no server
//! - [`draining`]: requests that arrive at an entry that is shutting down
//! - [`completion`]: responses and refusals
//! - [`delegation`]: shard groups delegated to other entries
//! - [`relaying`]: shards and requests that only other entries can reach
//! - [`zone_shares`]: attempts in flight at servers of this zone and of others
//! - [`zone_groups`]: shard groups that an entry of another zone gathers
//! - [`fairness`]: shares of teams, and the waits of patient requests
//! - [`gathering`]: shard groups gathered for other entries
//! - [`spilling`]: requests that leave the zone
//! - [`startup`]: requests that arrive before the first routing table
//! - [`revocation`]: requests whose key is revoked while they run
//! - [`quotas`]: quotas of teams
//! - [`teams`]: teams of callers and their keys
//! - [`zone_rules`]: evacuated zones and allowed regions; decides whether a server may be used
//! - [`servers`]: changes of servers, routing tables and the number of entries

mod admission;
mod attempts;
mod cold;
mod completion;
mod copies;
mod crashes;
mod delegation;
mod detachment;
mod draining;
mod fairness;
mod gathering;
mod hedging;
mod messages;
mod notices;
mod placement;
mod queueing;
mod quotas;
mod rates;
mod relaying;
mod revocation;
mod servers;
mod spilling;
mod startup;
mod teams;
mod unsent;
mod zone_groups;
mod zone_rules;
mod zone_shares;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Fingerprint, Incarnation, Mono, QueryId, RequestRate, RouteId, RouteIndex, Routing,
    ServerId, ServiceId, Target, TeamId,
};
use hornbeam_traffic::latency::LatencyWindow;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

pub use self::delegation::group_size;
pub use self::gathering::GroupRequest;
pub use self::messages::{
    Attempt, AttemptOutcome, Completion, Counters, Delegation, EngineParams, GroupEvent,
    GroupReport, Input, Output, ServerChange, ServerHealthReport, TeamField,
};
use crate::access::ServerAccess;
use crate::cold_limit::ColdBounds;
use crate::contact::TableContact;
use crate::crash_history::CrashHistory;
use crate::decision::AttemptKind;
use crate::demand::Demand;
use crate::fleet_size::FleetSize;
use crate::kind_shares::KindShares;
use crate::notice::LeavingServers;
use crate::peers::Peers;
use crate::quota::Quotas;
use crate::rate_limit::RateLimits;
use crate::request::{RefusalKind, RunningRequest};
use crate::server::Server;
use crate::service::Service;
use crate::spill::ZoneSpill;
use crate::split::Splitter;
use crate::zone_rules::ZoneRules;
use crate::zones::ZoneReachability;

/// An attempt without an outcome yet.
#[derive(Debug)]
struct InFlightAttempt {
    /// Request that waits for it; `None` once it lingers.
    request: Option<QueryId>,
    id: SmolStr,
    fingerprint: Fingerprint,
    /// True if it carries one shard of a search.
    is_scatter: bool,
    route: RouteId,
    shard: usize,
    server: usize,
    sent_at: Mono,
    kind: AttemptKind,
    /// Time from the arrival of the request until its response is due.
    allowed: Duration,
    /// True once it was counted as an attempt without a response.
    marked_unresponsive: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Request(QueryId),
    Linger(AttemptId),
    /// A request has waited too long for a routing table.
    AwaitTable(QueryId),
    /// The groups of a request whose key was revoked have had time to end.
    EndRevokedGroups(QueryId),
    /// The zone at this position has been silent since it was suspected to be unreachable.
    ConfirmZone(usize),
    /// No server has responded since this entry was suspected to be detached.
    ConfirmDetached,
    /// The servers are probed while this entry is suspected to be detached or is.
    ProbeServers,
    /// A server of the service with this position has finished its pause or accepts another request
    /// within its rate.
    ServerAvailable(usize),
}

/// State machine of all requests of one entry.
#[derive(Debug)]
pub struct Engine {
    params: EngineParams,
    rng: SmallRng,
    /// `None` until the first routing table is received.
    table: Option<Arc<Routing>>,
    index: RouteIndex,
    team_keys: teams::TeamKeys,
    contact: TableContact,
    quotas: Quotas,
    /// Names of the teams; positions are stable.
    team_slots: IndexSet<TeamId>,
    kind_shares: KindShares,
    splitters: HashMap<RouteId, Splitter>,
    latencies: HashMap<RouteId, LatencyWindow>,
    /// Positions are stable; a service that is no longer in the table keeps its position.
    services: IndexMap<ServiceId, Service>,
    servers: Vec<Server>,
    server_names: HashMap<ServerId, usize>,
    leaving: LeavingServers,
    /// Ends of the pauses that servers asked for, also of servers that are not known meanwhile.
    pauses: HashMap<ServerId, (Incarnation, Mono)>,
    rate_limits: RateLimits,
    crash_history: CrashHistory,
    /// Servers that are being checked; bounded by the attempts in flight.
    pending_checks: IndexMap<ServerId, Incarnation>,
    /// Quarantined requests as they were logged last.
    logged_quarantines: Vec<Fingerprint>,
    zones: ZoneReachability,
    zone_rules: ZoneRules,
    access: ServerAccess,
    /// `None` if the deployment does not enable it.
    spill: Option<Box<ZoneSpill>>,
    /// When the servers of a detached entry may be probed next.
    next_server_probe: Mono,
    /// Position from which the next servers to probe are taken, so that all have their turn.
    next_probed: usize,
    /// True while this entry is isolated and other entries serve callers better.
    isolated: bool,
    /// When this entry ends all its requests; `None` until it is shutting down.
    stops_at: Option<Mono>,
    /// Requests that wait for a routing table, in the order of their arrival.
    awaiting_table: IndexMap<QueryId, admission::Arrival>,
    /// Positions in `servers` that can be reused.
    free_positions: Vec<usize>,
    entries: u32,
    fleet_size: FleetSize,
    cold_bounds: ColdBounds,
    /// Random phase of this entry's tokens for cold servers, from 0 to below 1.
    cold_phase: f64,
    demand: Demand,
    requests: HashMap<QueryId, RunningRequest>,
    attempts: HashMap<AttemptId, InFlightAttempt>,
    peers: Peers,
    groups: HashMap<AttemptId, delegation::DelegatedGroup>,
    next_attempt: u64,
    timers: BinaryHeap<Reverse<(Mono, Timer)>>,
    counters: Counters,
}

/// Number of entries assumed until it is received; more than any fleet with one table has today.
const ASSUMED_ENTRY_COUNT: u32 = 64;
/// Delay of this entry's timer from which responses and messages of peers may have arrived without
/// being read yet. What a missing response would cause is then postponed by the same time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(3);
/// Quantile of a route's latencies after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.9;

impl Engine {
    /// Creates an engine without a routing table or servers.
    pub fn new(params: EngineParams) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            table: None,
            index: RouteIndex::default(),
            team_keys: teams::TeamKeys::default(),
            contact: TableContact::default(),
            quotas: Quotas::new(params.quota),
            team_slots: IndexSet::new(),
            kind_shares: KindShares::default(),
            splitters: HashMap::new(),
            latencies: HashMap::new(),
            services: IndexMap::new(),
            servers: Vec::new(),
            server_names: HashMap::new(),
            leaving: LeavingServers::default(),
            pauses: HashMap::new(),
            rate_limits: RateLimits::default(),
            crash_history: CrashHistory::default(),
            pending_checks: IndexMap::new(),
            logged_quarantines: Vec::new(),
            zones: ZoneReachability::default(),
            zone_rules: ZoneRules::default(),
            access: ServerAccess::default(),
            spill: None,
            next_server_probe: Mono::default(),
            next_probed: 0,
            isolated: false,
            stops_at: None,
            awaiting_table: IndexMap::new(),
            free_positions: Vec::new(),
            entries: ASSUMED_ENTRY_COUNT,
            fleet_size: FleetSize::default(),
            cold_bounds: ColdBounds::default(),
            // Another generator, so that the draws of all other decisions stay as they are.
            cold_phase: SmallRng::seed_from_u64(!params.seed).random(),
            demand: Demand::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            peers: Peers::new(params.name.clone(), params.zone.clone()),
            groups: HashMap::new(),
            next_attempt: 1,
            timers: BinaryHeap::new(),
            counters: Counters::default(),
            params,
        }
    }

    /// Handles one input and appends the resulting outputs.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        self.quotas.observe(now);
        match input {
            Input::Request {
                key,
                id,
                fingerprint,
                credential,
                host,
                path,
                patience,
                opened_connection,
            } => {
                let arrived = now;
                let arrival = admission::Arrival {
                    key,
                    id,
                    fingerprint,
                    credential,
                    team: None,
                    host,
                    path,
                    arrived,
                    patience,
                    opened_connection,
                    waited: Duration::ZERO,
                    waits_until: now,
                };
                self.on_request(now, arrival, out);
            }
            Input::CallerGone(key) => self.on_caller_gone(now, key, out),
            Input::AttemptFinished { attempt, outcome, notice } => {
                self.on_attempt_finished(now, attempt, outcome, notice, out)
            }
            Input::Servers(changes) => self.on_servers(now, changes, out),
            Input::ServersLeaving(servers) => {
                for server in servers {
                    self.on_server_leaving(now, server, out);
                }
            }
            Input::Table(table) => {
                self.on_table(now, table, out);
                self.admit_waiting(now, out);
            }
            Input::ControllerContact(contact) => self.on_controller_contact(now, contact, out),
            Input::Isolated(isolated) => {
                self.isolated = isolated;
                if !isolated {
                    self.zones.reset();
                }
            }
            Input::ZoneOrders(orders) => self.on_zone_orders(now, orders, out),
            Input::EntryCount(entries) => self.on_entry_count(now, entries),
            Input::CutOff(is_cut_off) => self.fleet_size.set_cut_off(is_cut_off),
            Input::FleetDemand(rate) => {
                self.demand.set_fleet(rate);
                self.update_shares(now);
            }
            Input::PeerHealthReports(reports) => self.on_peer_health_reports(now, &reports),
            Input::RateReports(reports) => self.on_rate_reports(now, reports, out),
            Input::TeamUsage { controller, usage } => self.on_team_usage(now, controller, usage),
            Input::CrashReports(reports) => self.on_crash_reports(now, reports, out),
            Input::ServerChecked { server, incarnation, has_ended } => {
                self.on_server_checked(now, (&server, incarnation), has_ended, out)
            }
            Input::Peers(peers) => self.peers.replace(peers),
            Input::PeerAlive(peer) => self.restore_peer(&peer, out),
            Input::PeerAccepting(peer) => self.accept_peer(&peer, out),
            Input::PeerDeclining(peer) => self.exclude_peer(now, &peer, out),
            Input::ServerProbed { reachable } => self.on_server_probed(now, reachable, out),
            Input::GroupEvent { group, event } => self.on_group_event(now, group, event, out),
            Input::Gather(group) => self.on_gather(now, group, out),
            Input::GatherConfirmed(key) => self.on_gather_confirmed(now, key, out),
            Input::GatherCancelled(key) => self.on_gather_cancelled(now, key, out),
            Input::Stop => self.stop(now, out),
            Input::StopAt(at) => self.stops_at = Some(at),
            Input::Tick => {}
        }
        self.run_timers(now, out);
        self.log_spill(out);
    }

    /// Returns the time by which [`Input::Tick`] is due.
    pub fn next_wake(&self) -> Option<Mono> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the number of running requests, with the groups gathered for other entries and the
    /// requests that wait for a routing table.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.awaiting_table.len()
    }

    /// Returns the maximum number of records in the response if the responses to a request are merged.
    pub fn merge_limit(&self, key: QueryId) -> Option<usize> {
        let running = self.requests.get(&key)?;
        matches!(running.route.target, Target::Scatter(_)).then(|| running.limit())
    }

    /// Returns the request that a delegated group belongs to.
    pub fn delegated_request(&self, group: AttemptId) -> Option<QueryId> {
        self.groups.get(&group).map(|d| d.request)
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<&Arc<Routing>> {
        self.table.as_ref()
    }

    /// Returns the number of usable servers, ejected ones included.
    pub fn usable_servers(&self) -> usize {
        self.server_names.len()
    }

    /// Returns health reports on the servers that this entry measured as unhealthy. A detached entry
    /// has measured its own links.
    pub fn health_reports(&self, now: Mono) -> Vec<ServerHealthReport> {
        if self.is_detached() {
            return Vec::new();
        }
        let known = self.server_names.iter();
        let unhealthy = known.filter_map(|(name, i)| {
            let (slowness, unresponsive) = self.servers[*i].health_report(now)?;
            Some(ServerHealthReport { server: name.clone(), slowness, unresponsive })
        });
        unhealthy.collect()
    }

    /// Returns the rate of the callers' requests at this entry.
    pub fn request_rate(&self, now: Mono) -> RequestRate {
        self.demand.rate(now)
    }

    /// Returns true if there are servers in other zones, and all these zones are lost while servers of
    /// this zone may respond. Without any server, the links to the servers are lost and not the zones.
    pub fn other_zones_lost(&self, now: Mono) -> bool {
        if self.is_detached() {
            return false;
        }
        let servers = self.server_names.values().map(|i| &self.servers[*i]);
        let mut others = servers.filter(|s| !s.same_zone && !s.evacuated).peekable();
        others.peek().is_some() && others.all(|s| self.zones.is_lost(now, &s.zone))
    }

    /// Returns the number of servers that are ejected or in an unreachable zone.
    pub fn unreachable_servers(&self) -> usize {
        let servers = self.servers_in_use();
        servers.filter(|s| s.is_ejected() || self.zones.is_unreachable(&s.zone)).count()
    }

    /// Returns true while this entry reaches no backend server.
    pub fn is_detached(&self) -> bool {
        self.access.is_detached()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn run_timers(&mut self, now: Mono, out: &mut Vec<Output>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Request(key) => self.on_wake(now, key, out),
                Timer::Linger(attempt) => self.abort(now, attempt, out),
                Timer::ConfirmZone(zone) if now.since(at) >= MAX_TIMER_DELAY => {
                    let timer = Timer::ConfirmZone(zone);
                    self.timers.push(Reverse((now + MAX_TIMER_DELAY, timer)));
                }
                Timer::ConfirmZone(zone) => self.confirm_zone(now, zone, out),
                Timer::ConfirmDetached if now.since(at) >= MAX_TIMER_DELAY => {
                    self.timers.push(Reverse((now + MAX_TIMER_DELAY, Timer::ConfirmDetached)));
                }
                Timer::ConfirmDetached => self.confirm_detached(now, out),
                Timer::ProbeServers => self.probe_servers(now, out),
                Timer::EndRevokedGroups(key) => self.end_revoked_groups(now, key, out),
                Timer::AwaitTable(key) => self.on_wait_end(now, key, out),
                Timer::ServerAvailable(service) => self.dispatch_waiters(now, service, out),
            }
        }
    }

    fn on_wake(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        running.timer_at = Mono::MAX;
        if now >= running.deadline {
            return self.end_request(now, key, RefusalKind::TimedOut, out);
        }
        self.reclaim_groups(now, key, out);
        let Some(running) = self.requests.get_mut(&key) else { return };
        if now >= running.answer_by && !running.overdue {
            running.overdue = true;
            self.record_overdue(now, key, out);
            self.suspect_unresponsive_peers(now, key, out);
            if self.on_due_time(now, key, out) {
                return;
            }
        }
        if self.end_wait(now, key, out) {
            return;
        }
        self.hedge(now, key, out);
        self.arm_timer(key);
    }

    /// Sets the timer of a request to its next decision, if that is earlier.
    fn arm_timer(&mut self, key: QueryId) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let wake = running.next_wake();
        if wake < running.timer_at {
            running.timer_at = wake;
            self.timers.push(Reverse((wake, Timer::Request(key))));
        }
    }

    fn latency_window(&mut self, route: &RouteId) -> &mut LatencyWindow {
        if !self.latencies.contains_key(route) {
            self.latencies.insert(route.clone(), LatencyWindow::new(HEDGE_QUANTILE));
        }
        self.latencies.get_mut(route).expect("inserted above")
    }
}
