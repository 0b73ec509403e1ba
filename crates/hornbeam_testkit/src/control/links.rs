//! Network partitions between instances.

use super::{ControlCluster, NodeIdx};

impl ControlCluster {
    /// Drops messages from `a` to `b`, but not those from `b` to `a`.
    pub fn cut_one_way(&mut self, a: NodeIdx, b: NodeIdx) {
        self.cut.insert((a, b));
    }

    /// Cuts the links between `i` and all other instances, in both directions.
    pub fn isolate(&mut self, i: NodeIdx) {
        for other in 0..self.nodes.len() {
            if other != i {
                self.cut.insert((i, other));
                self.cut.insert((other, i));
            }
        }
    }

    /// Cuts the links between two groups of instances, in both directions.
    pub fn split(&mut self, a: &[NodeIdx], b: &[NodeIdx]) {
        for x in a {
            for y in b {
                self.cut.insert((*x, *y));
                self.cut.insert((*y, *x));
            }
        }
    }

    /// Restores every link.
    pub fn heal(&mut self) {
        self.cut.clear();
    }
}
