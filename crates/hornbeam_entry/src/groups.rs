//! Groups of shards at the core: those given to other entries and those collected for them.

use std::rc::Rc;
use std::time::Duration;

use hornbeam_discovery::FeedCounts;
use hornbeam_model::{AttemptId, InstanceId, QueryId};
use hornbeam_protocol::gather::{GatheredResponse, GatheredResponses};
use hornbeam_route::{Delegation, GroupRequest, Input, merge_records};
use serde_json::json;

use crate::core::{AttemptResult, Core, ForwardedRequest, GroupResponses};

impl Core {
    /// Takes no more groups of other entries.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.group_exchange.leave();
    }

    /// True if this entry collects groups for others: it knows the servers, and stays.
    pub fn takes_groups(&self) -> bool {
        self.settling.get().is_complete() && !self.leaving.get() && !self.is_isolated()
    }

    /// Begins to collect a group for another entry.
    pub fn begin_gathering(self: &Rc<Self>, parts: ForwardedRequest, group: GroupRequest) {
        self.requests.borrow_mut().insert(group.key, Rc::new(parts));
        self.step(Input::Gather(group));
    }

    /// The entry that asked for a group needs it no longer.
    pub fn cancel_gathering(self: &Rc<Self>, key: QueryId) {
        self.requests.borrow_mut().remove(&key);
        self.step(Input::GatherCancelled(key));
    }

    /// Keeps what another entry has collected of a group.
    pub fn keep_gathered(&self, group: AttemptId, new: GroupResponses) {
        let mut answers = self.answers.borrow_mut();
        let empty = || AttemptResult::Gathered(GroupResponses::default());
        if let AttemptResult::Gathered(known) = answers.entry(group).or_insert_with(empty) {
            known.signatures.extend(new.signatures);
            known.records.extend(new.records);
        }
    }

    /// Notes that the connection to another entry is open, or why it has ended.
    pub fn note_line(&self, peer: &InstanceId, ended: Option<&std::io::Error>) {
        let Some(reason) = ended else {
            let what = json!({"belief": "line_open", "peer": peer});
            return self.log.write("line_open", false, &what);
        };
        let what = json!({"belief": "line_lost", "peer": peer, "reason": reason.to_string()});
        self.log.write("line_lost", true, &what);
    }

    /// Notes whether this entry knows what the controllers know.
    pub(crate) fn settle(&self, feeds: FeedCounts) {
        let has_table = self.with_engine(|e| e.table().is_some());
        let age = self.clock.now().since(self.started);
        let mut settling = self.settling.get();
        if settling.update(feeds, has_table, age) {
            let what = json!({
                "belief": "settled", "fresh_feeds": feeds.fresh, "known_feeds": feeds.known,
            });
            self.log.write("settled", false, &what);
        }
        self.settling.set(settling);
    }

    pub(crate) fn delegate(self: &Rc<Self>, delegation: Delegation) {
        let Some(parts) = self.requests.borrow().get(&delegation.request).cloned() else { return };
        self.metrics.delegated_groups.inc();
        self.group_exchange.give(self, delegation, &parts);
    }

    /// The parts that attempts brought, and their greatest records.
    pub(crate) fn collect(
        &self,
        parts: &[(usize, AttemptId)],
        limit: usize,
    ) -> (Vec<GatheredResponse>, Vec<u8>) {
        let mut answers = self.answers.borrow_mut();
        let (mut gathered, mut bodies) = (Vec::new(), Vec::new());
        for (shard, attempt) in parts {
            let Some(AttemptResult::Answer(answer)) = answers.remove(attempt) else { continue };
            let Some(signature) = answer.header(&self.dialect.signature) else { continue };
            let part = GatheredResponse { shard: *shard as u32, signature: signature.to_vec() };
            gathered.push(part);
            bodies.push(answer.body);
        }
        (gathered, merge_records(bodies.iter().map(|b| &b[..]), limit))
    }

    /// Tells the entry that asked for a group which of its shards are in.
    pub(crate) fn report(
        &self,
        key: QueryId,
        (parts, records): (Vec<GatheredResponse>, Vec<u8>),
        waits: &[(usize, Duration)],
        last: bool,
    ) {
        let waits = waits.iter().map(|(shard, wait)| (*shard as u32, wait.as_millis() as u32));
        let parts =
            GatheredResponses { group: 0, responses: parts, records, waits: waits.collect(), last };
        if last {
            self.requests.borrow_mut().remove(&key);
            self.metrics.gathered_groups.inc();
        }
        self.group_exchange.report(key, parts);
    }
}
