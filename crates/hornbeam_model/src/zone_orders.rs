//! Orders of operators to evacuate the servers of an availability zone.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{OrderIndex, Zone};

/// Order to evacuate the servers of a zone or to end their evacuation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneOrder {
    /// Zone that the order is about.
    pub zone: Zone,
    /// True to evacuate its servers, false to use them again.
    pub evacuate: bool,
}

/// Zones whose servers are evacuated, as of one position in the control log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneOrders {
    /// Log entry that changed the set last; the set with the highest index is in force.
    pub index: OrderIndex,
    /// Zones to whose servers nothing is sent.
    pub evacuated: IndexSet<Zone>,
}

impl ZoneOrders {
    /// Applies the order in the log entry at `index`. Returns false and changes nothing if the zone
    /// already is in the state that the order asks for.
    pub fn apply(&mut self, index: OrderIndex, order: &ZoneOrder) -> bool {
        let changed = match order.evacuate {
            true => self.evacuated.insert(order.zone.clone()),
            false => self.evacuated.shift_remove(&order.zone),
        };
        if changed {
            self.index = index;
        }
        changed
    }
}
