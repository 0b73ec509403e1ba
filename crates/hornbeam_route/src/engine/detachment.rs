//! An entry that reaches no server.

use hornbeam_model::Mono;

use super::{Engine, Output};
use crate::decision::Decision;

impl Engine {
    /// Records that a server responded to this entry.
    pub(super) fn record_access(&mut self, now: Mono, out: &mut Vec<Output>) {
        if let Some(time) = self.access.record_response(now) {
            let after_ms = time.as_millis() as u64;
            out.push(Output::Log(Decision::ServersReached { after_ms }));
        }
    }

    /// Treats this entry as detached if no server has responded since that was suspected.
    pub(super) fn confirm_detached(&mut self, now: Mono, out: &mut Vec<Output>) {
        if !self.access.confirm(now) {
            return;
        }
        let (silent, usable) = (self.access.silent_servers(), self.server_names.len());
        out.push(Output::Log(Decision::ServersLost { silent, usable }));
    }
}
