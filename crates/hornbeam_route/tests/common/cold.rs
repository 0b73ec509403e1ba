//! Cold servers, and servers that state their load.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{Mono, RequestRate, Routing, TableVersion, TrafficPolicy, WarmUp};
use hornbeam_route::{Input, ServerChange};

use super::World;

/// The announcement of a server with this remaining warm-up.
pub(super) fn with_warm_up(mut change: ServerChange, left: Duration) -> ServerChange {
    if let ServerChange::Usable { warm_up, .. } = &mut change {
        *warm_up = left;
    }
    change
}

impl World {
    /// Puts a table in force in which the cold servers of every service bear this rate.
    pub fn set_cold_rate(&mut self, per_second: f64) {
        let rate = RequestRate::from_per_second(per_second).unwrap();
        let warm_up = WarmUp { duration_ms: 30_000, rate };
        let names = self.table.services.keys().cloned();
        let warm_ups = names.map(|name| (name, warm_up.clone())).collect();
        let policy = Arc::new(TrafficPolicy { warm_ups, ..TrafficPolicy::default() });
        let version = TableVersion(self.table.version.0 + 1);
        self.table = Arc::new(Routing { version, policy, ..Routing::clone(&self.table) });
        for entry in 0..self.engines.len() {
            self.step(entry, Input::Table(self.table.clone()));
        }
    }

    /// All entries hear in a heartbeat that the servers whose name has this end are cold.
    pub fn set_cold(&mut self, suffix: &str, time: Duration) {
        let cold = |n: &usize| self.servers[*n].name.as_str().ends_with(suffix);
        let cold: Vec<usize> = (0..self.servers.len()).filter(cold).collect();
        for server in cold {
            self.servers[server].cold_until = self.now + time;
            self.announce_server(server);
        }
    }

    /// The largest number of arrivals within any second from `since` on at the servers whose name has
    /// this end, and the sum of their arrivals.
    pub fn busiest_second(&self, suffix: &str, since: Mono) -> (usize, usize) {
        let servers = self.servers.iter().filter(|s| s.name.as_str().ends_with(suffix));
        let counts = servers.map(|s| {
            let times: Vec<Mono> = s.arrived_at.iter().copied().filter(|at| *at >= since).collect();
            let window = Duration::from_secs(1);
            let most = (0..times.len())
                .map(|i| times[i..].iter().take_while(|t| t.since(times[i]) < window).count());
            (most.max().unwrap_or(0), times.len())
        });
        counts.fold((0, 0), |(most, sum), (m, s)| (most.max(m), sum + s))
    }
}
