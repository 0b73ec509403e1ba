//! Orders about zones, as entries of a simulated deployment receive them.

use hornbeam_model::{OrderIndex, ZoneOrders};
use hornbeam_route::Input;

use super::World;
use super::routes::ZONES;

/// The orders at `index` that evacuate the zones with these numbers.
pub fn zone_orders(index: u64, zones: &[usize]) -> ZoneOrders {
    let evacuated = zones.iter().map(|z| ZONES[*z].parse().unwrap());
    ZoneOrders { index: OrderIndex(index), evacuated: evacuated.collect() }
}

impl World {
    /// Sends every entry the orders that evacuate the zones with these numbers.
    pub fn order_zones(&mut self, index: u64, zones: &[usize]) {
        for entry in 0..self.engines.len() {
            self.step(entry, Input::ZoneOrders(zone_orders(index, zones)));
        }
    }

    /// Number of requests that arrived since `since` at the servers whose names end like this.
    pub fn arrivals_since(&self, suffix: &str, since: hornbeam_model::Mono) -> usize {
        let matching = self.servers.iter().filter(|s| s.name.as_str().ends_with(suffix));
        matching.flat_map(|s| &s.arrived_at).filter(|at| **at >= since).count()
    }
}
