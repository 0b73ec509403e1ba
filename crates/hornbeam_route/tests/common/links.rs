//! Links between entries and servers that are cut while all other links work.

use hornbeam_model::{Incarnation, QueryId, ServerId};
use hornbeam_route::{AttemptOutcome, Completion, GroupEvent};

use super::{EntryFault, Fault, PeerMessage, World};

/// How the link between an entry and a server fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// What is sent on it is lost.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
}

impl LinkFault {
    /// Position in the list of outcomes of the end of an attempt whose request was not delivered.
    pub(super) fn undelivered(self) -> Option<u8> {
        (self == Self::Reset).then_some(3)
    }

    /// How an attempt ends whose request was delivered and whose response cannot come back.
    pub(super) fn lost_response(self) -> Option<AttemptOutcome> {
        (self == Self::Reset).then_some(AttemptOutcome::ConnectionLost)
    }
}

impl World {
    /// Cuts the links of an entry to the servers that `is_cut` selects by name.
    pub fn cut_servers(
        &mut self,
        entry: usize,
        fault: LinkFault,
        is_cut: impl Fn(&ServerId) -> bool,
    ) {
        for (i, server) in self.servers.iter().enumerate().filter(|(_, s)| is_cut(&s.name)) {
            debug_assert_eq!(self.by_name[&server.name], i);
            self.links.insert((entry, i), fault);
        }
    }

    /// Cuts the links of an entry to all servers.
    pub fn detach_entry(&mut self, entry: usize, fault: LinkFault) {
        self.cut_servers(entry, fault, |_| true);
    }

    /// Restores the links of an entry to all servers.
    pub fn restore_links(&mut self, entry: usize) {
        self.links.retain(|(e, _), _| *e != entry);
    }

    /// Part of the requests at these entries that got a response within the objective, and the number
    /// of these requests.
    pub fn served_at(&self, entries: impl Fn(usize) -> bool) -> (f64, usize) {
        let ended: Vec<_> = self.ended.iter().filter(|e| entries(e.entry)).collect();
        let in_time = ended
            .iter()
            .filter(|e| e.responses > 0 && e.latency <= self.routes[e.route].objective());
        (in_time.count() as f64 / ended.len().max(1) as f64, ended.len())
    }

    /// Returns the number of servers that accepted a request.
    pub fn servers_that_ran(&self, key: QueryId) -> usize {
        let reached = self.servers_reached.iter().filter(|((k, _), _)| *k == key);
        reached.map(|(_, servers)| servers.len()).sum()
    }

    /// Returns the requests that were refused as not run although a server had
    /// accepted them.
    pub fn refused_and_run(&self) -> Vec<QueryId> {
        let has_not_run =
            |c: &Completion| matches!(c, Completion::Refuse(r) if r.kind.has_not_run());
        let refused = self.ended.iter().filter(|e| has_not_run(&e.completion));
        refused.map(|e| e.key).filter(|key| self.servers_that_ran(*key) > 0).collect()
    }

    /// Returns true if an entry finds that a server accepts no connections any more.
    pub(super) fn seems_ended(
        &self,
        entry: usize,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> bool {
        let server = self.by_name[server];
        let is_refused = self.links.get(&(entry, server)) == Some(&LinkFault::Reset);
        is_refused || self.servers[server].incarnation > incarnation.0
    }

    /// Returns true if an entry finds that a server accepts connections.
    pub(super) fn accepts(&self, entry: usize, server: &ServerId) -> bool {
        let server = self.by_name[server];
        self.servers[server].fault != Fault::Refused && !self.links.contains_key(&(entry, server))
    }

    /// Returns true if an entry gathers groups for others.
    pub(super) fn gathers(&self, entry: usize) -> bool {
        self.entry_faults[entry] != EntryFault::Leaving && !self.engines[entry].is_detached()
    }

    /// Tells all other entries whether this one gathers groups.
    pub(super) fn announce_availability(&mut self, entry: usize) {
        let message = if self.gathers(entry) {
            PeerMessage::Accepting(entry)
        } else {
            PeerMessage::Declining(entry)
        };
        let others = (0..self.engines.len()).filter(|o| *o != entry);
        let hears = |o: &usize| self.connected.as_ref().is_none_or(|c| c.contains(&(*o, entry)));
        for other in others.filter(hears).collect::<Vec<_>>() {
            self.send_message(other, entry, message.clone());
        }
    }

    /// Sends the last event of a gathered group to its origin.
    pub(super) fn end_gathered(&mut self, entry: usize, request: QueryId, event: GroupEvent) {
        let Some((to, group)) = self.gathers.remove(&request) else { return };
        self.running.remove(&request);
        self.send_message(to, entry, PeerMessage::GroupEvent(group, event));
    }
}
