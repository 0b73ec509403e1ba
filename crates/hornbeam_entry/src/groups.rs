//! Shard groups in the core: those delegated to other entries and those gathered for them.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_discovery::FeedCounts;
use hornbeam_model::{AttemptId, InstanceId, QueryId};
use hornbeam_protocol::gather::{ForwardedResponse, GatheredResponse, GatheredResponses};
use hornbeam_route::{AttemptOutcome, Delegation, Engine, GroupRequest, Input, merge_records};
use serde_json::json;

use crate::backends::outcome_of_run;
use crate::core::{AttemptResult, Core, ForwardedRequest, GroupResponses};
use crate::integrity::is_intact;
use crate::response::RawResponse;
use crate::response_head::invalid;

/// Longest merged records of a group that fit into a message with their signatures, in bytes.
const MAX_RECORD_BYTES: usize = 8 << 20;

impl Core {
    /// Stops gathering new groups for other entries and informs them.
    pub fn stop_accepting_groups(&self) {
        self.draining.set(true);
        self.announce_availability();
    }

    /// Tells the connected entries whether this entry gathers groups.
    pub(crate) fn announce_availability(&self) {
        self.group_exchange.announce_availability(self.accepts_groups());
    }

    /// Returns true if this entry gathers groups for other entries: it is synchronized, reaches
    /// servers, and is neither draining nor isolated.
    pub fn accepts_groups(&self) -> bool {
        self.initial_sync.get().is_complete()
            && !self.draining.get()
            && !self.is_isolated()
            && !self.with_engine(Engine::is_detached)
    }

    /// Starts to gather a group for another entry.
    pub fn start_gathering(self: &Rc<Self>, request: ForwardedRequest, group: GroupRequest) {
        self.requests.borrow_mut().insert(group.key, Rc::new(request));
        self.step(Input::Gather(group));
    }

    /// Cancels a gathered group that its origin entry no longer needs.
    pub fn cancel_gathering(self: &Rc<Self>, key: QueryId) {
        self.requests.borrow_mut().remove(&key);
        self.step(Input::GatherCancelled(key));
    }

    /// Adds responses of a delegated group to those received before.
    pub fn add_group_responses(&self, group: AttemptId, new: GroupResponses) {
        if new.signatures.is_empty() {
            // Only groups that contribute to a response are taken out again.
            return;
        }
        let mut results = self.results.borrow_mut();
        let empty = || AttemptResult::Group(GroupResponses::default());
        if let AttemptResult::Group(responses) = results.entry(group).or_insert_with(empty) {
            responses.signatures.extend(new.signatures);
            responses.records.extend(new.records);
        }
    }

    /// Adds the response of a server that another entry forwarded; returns the outcome of the attempt.
    /// An entry of an earlier build also forwards false refusals and responses that are not intact.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not valid.
    pub fn add_forwarded_response(
        &self,
        group: AttemptId,
        forwarded: ForwardedResponse,
    ) -> io::Result<AttemptOutcome> {
        let response = RawResponse::from_peer(forwarded.head, forwarded.body, &self.memory)?;
        let key = self.with_engine(|e| e.delegated_request(group));
        let request = key.and_then(|key| self.requests.borrow().get(&key).cloned());
        if let Some(request) = request
            && !is_intact(&self.dialect, &request, &response, false)
        {
            return Err(invalid("the response is not the one that its server sent"));
        }
        let outcome = outcome_of_run(response.status);
        self.results.borrow_mut().insert(group, AttemptResult::Response(response));
        Ok(outcome)
    }

    /// Forwards the response of a server to the origin entry of a gathered request.
    pub(crate) fn forward_to_origin(&self, key: QueryId, attempt: AttemptId, is_error: bool) {
        self.requests.borrow_mut().remove(&key);
        let response = self.results.borrow_mut().remove(&attempt);
        if let Some(AttemptResult::Response(response)) = response {
            self.metrics.gathered_groups.inc();
            self.group_exchange.forward(key, response, is_error);
        }
    }

    /// Logs that the connection to another entry is open, or why it has ended.
    pub fn log_peer_connection(&self, peer: &InstanceId, end_reason: Option<&std::io::Error>) {
        let Some(reason) = end_reason else {
            let fields = json!({"belief": "line_open", "peer": peer});
            return self.log.write("line_open", false, &fields);
        };
        let fields = json!({"belief": "line_lost", "peer": peer, "reason": reason.to_string()});
        self.log.write("line_lost", true, &fields);
    }

    /// Updates the initial synchronization and logs when it completes.
    pub(crate) fn update_initial_sync(&self, feeds: FeedCounts) {
        let has_table = self.with_engine(|e| e.table().is_some());
        let age = self.clock.now().since(self.started_at);
        let mut initial_sync = self.initial_sync.get();
        if initial_sync.update(feeds, has_table, age) {
            let fields = json!({
                "belief": "settled", "fresh_feeds": feeds.fresh, "known_feeds": feeds.known,
            });
            self.log.write("settled", false, &fields);
        }
        self.initial_sync.set(initial_sync);
    }

    pub(crate) fn delegate(self: &Rc<Self>, delegation: Delegation) {
        let Some(request) = self.requests.borrow().get(&delegation.request).cloned() else {
            return;
        };
        self.metrics.delegated_groups.inc();
        self.group_exchange.delegate(self, delegation, &request);
    }

    /// Takes the responses of attempts out of the results; returns their signatures by shard and
    /// their greatest records.
    pub(crate) fn take_responses(
        &self,
        attempts: &[(usize, AttemptId)],
        limit: usize,
    ) -> (Vec<GatheredResponse>, Vec<u8>) {
        let mut results = self.results.borrow_mut();
        let (mut gathered, mut bodies) = (Vec::new(), Vec::new());
        for (shard, attempt) in attempts {
            let Some(AttemptResult::Response(response)) = results.remove(attempt) else { continue };
            let Some(signature) = response.header(&self.dialect.signature) else { continue };
            let shard_signature =
                GatheredResponse { shard: *shard as u32, signature: signature.to_vec() };
            gathered.push(shard_signature);
            bodies.push(response.body);
        }
        (gathered, merge_records(bodies.iter().map(|b| &b[..]), limit))
    }

    /// Sends responses of a gathered group to its origin entry. `queue_waits` holds shards with a
    /// non-empty queue and their expected wait, `unsent` those that were sent to no server.
    pub(crate) fn send_gathered(
        &self,
        key: QueryId,
        (mut responses, mut records): (Vec<GatheredResponse>, Vec<u8>),
        queue_waits: &[(usize, Duration)],
        (last, unsent): (bool, &[usize]),
    ) {
        if records.len() > MAX_RECORD_BYTES {
            log::error!(
                "the records of a group are too long for a message: its shards are missing"
            );
            responses.clear();
            records.clear();
        }
        let waits =
            queue_waits.iter().map(|(shard, wait)| (*shard as u32, wait.as_millis() as u32));
        // The exchange sets the group's number on its connection.
        let responses = GatheredResponses {
            group: 0,
            responses,
            records,
            waits: waits.collect(),
            last,
            unsent: unsent.iter().map(|shard| *shard as u32).collect(),
        };
        if last {
            self.requests.borrow_mut().remove(&key);
            self.metrics.gathered_groups.inc();
        }
        self.group_exchange.send_responses(key, responses);
    }
}
