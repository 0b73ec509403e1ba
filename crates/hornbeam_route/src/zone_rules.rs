//! Rules about the zones of servers and entries: evacuations and regions.

use hornbeam_model::{Mono, Region, Zone, ZoneOrders};
use indexmap::IndexMap;

/// Evacuated zones and the regions of zones, as one entry knows them.
#[derive(Debug, Default)]
pub(crate) struct ZoneRules {
    orders: ZoneOrders,
    /// Zones whose evacuation ended while this entry ran, and when it heard of that.
    returned_at: IndexMap<Zone, Mono>,
    regions: IndexMap<Zone, Region>,
}

/// Zones that a new set of orders changes.
#[derive(Debug, Default)]
pub(crate) struct ZoneChanges {
    /// Zones whose servers are evacuated from now on.
    pub begun: Vec<Zone>,
    /// Zones whose servers are used again.
    pub ended: Vec<Zone>,
}

impl ZoneRules {
    /// Sets the regions of the zones.
    pub(crate) fn set_regions(&mut self, regions: IndexMap<Zone, Region>) {
        self.regions = regions;
    }

    /// Puts orders in force if they are newer than those known; returns the zones that change. Orders
    /// of a controller that was paused or cut off have a lower index.
    pub(crate) fn apply(&mut self, now: Mono, orders: ZoneOrders) -> Option<ZoneChanges> {
        if orders.index <= self.orders.index {
            return None;
        }
        let before = std::mem::replace(&mut self.orders, orders);
        let after = &self.orders.evacuated;
        let begun = after.iter().filter(|z| !before.evacuated.contains(*z));
        let begun: Vec<Zone> = begun.cloned().collect();
        let ended: Vec<Zone> =
            before.evacuated.into_iter().filter(|z| !after.contains(z)).collect();
        for zone in &begun {
            self.returned_at.swap_remove(zone);
        }
        for zone in &ended {
            self.returned_at.insert(zone.clone(), now);
        }
        Some(ZoneChanges { begun, ended })
    }

    /// Returns the orders in force.
    pub(crate) fn orders(&self) -> &ZoneOrders {
        &self.orders
    }

    /// Returns when this entry heard that the evacuation of a zone has ended; `None` if it did not.
    pub(crate) fn returned_at(&self, zone: &Zone) -> Option<Mono> {
        self.returned_at.get(zone).copied()
    }

    /// Returns true if the servers of a zone are evacuated.
    pub(crate) fn is_evacuated(&self, zone: &Zone) -> bool {
        self.orders.evacuated.contains(zone)
    }

    /// Returns the region of a zone, if it is known.
    pub(crate) fn region(&self, zone: &Zone) -> Option<&Region> {
        self.regions.get(zone)
    }
}
