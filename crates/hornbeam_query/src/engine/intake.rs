//! Validation, admission and start of new requests.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Mono, QueryId, Service};
use hornbeam_traffic::AdmissionDecision;
use hornbeam_traffic::admission::QueueDecision;
use indexmap::IndexSet;
use smol_str::{SmolStr, format_smolstr};

use super::finish::Ending;
use super::{Engine, Output};
use crate::merge::Merger;
use crate::query::{PinnedSnapshot, Query, ShardProgress, margin};
use crate::request::Request;
use crate::response::{Refusal, RefusalKind, RunStatus};

/// `retry_after` of a refusal whose cause passes by itself.
const TRANSIENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that passed validation and waits for admission or starts now.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// Time of arrival.
    at: Mono,
    /// Patience of its caller, limited by the configuration in force at arrival.
    patience: Duration,
    request: Request,
}

/// Reason for refusing a request before it runs.
struct Rejection {
    kind: RefusalKind,
    message: SmolStr,
    retry_after: Option<Duration>,
}

impl Rejection {
    fn permanent(kind: RefusalKind, message: SmolStr) -> Self {
        Self { kind, message, retry_after: None }
    }

    fn transient(kind: RefusalKind, message: &'static str) -> Self {
        let message = SmolStr::new_static(message);
        Self { kind, message, retry_after: Some(TRANSIENT_RETRY_AFTER) }
    }

    fn refuse(self, query: QueryId) -> Output {
        Output::Refuse(Box::new(Refusal {
            query,
            kind: self.kind,
            message: self.message,
            ran: RunStatus::NotRun,
            retry_after: self.retry_after,
        }))
    }
}

impl Engine {
    pub(super) fn on_request(&mut self, now: Mono, request: Request, out: &mut Vec<Output>) {
        let patience = match self.check_request(&request) {
            Ok(patience) => patience,
            Err(rejection) => return out.push(rejection.refuse(request.id)),
        };
        let deadline = now + patience;
        match self.admission.admit(now, &request.service, request.id, deadline) {
            AdmissionDecision::Run => {
                self.start(now, PendingRequest { at: now, patience, request }, out)
            }
            AdmissionDecision::Wait => {
                self.waiting.insert(request.id, PendingRequest { at: now, patience, request });
            }
            AdmissionDecision::Refuse { retry_after } => {
                let message = "this instance is overloaded and cannot answer the request in time: \
                               retry after the stated delay";
                let mut rejection = Rejection::transient(RefusalKind::Overloaded, message);
                rejection.retry_after = Some(retry_after);
                out.push(rejection.refuse(request.id));
            }
        }
    }

    /// Returns the patience of the caller, or the reason for refusing the request.
    fn check_request(&self, request: &Request) -> Result<Duration, Rejection> {
        if self.draining {
            let message = "this instance is shutting down: send the request to another one";
            return Err(Rejection::transient(RefusalKind::Draining, message));
        }
        let Some(config) = &self.config else {
            let message = "this instance has no configuration yet: retry in a second";
            return Err(Rejection::transient(RefusalKind::NotReady, message));
        };
        let Some(service) = config.services.get(&request.service) else {
            let name = &request.service;
            let message =
                format_smolstr!("service {name} is not configured: check the name in the path");
            return Err(Rejection::permanent(RefusalKind::UnknownService, message));
        };
        check_parameters(request, service)?;
        let patience = service.patience.at(request.unix_ms);
        Ok(request.patience.map_or(patience, |p| p.min(patience)))
    }

    pub(super) fn on_caller_gone(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        if let Some(pending) = self.waiting.remove(&id) {
            self.admission.remove(&pending.request.service, id);
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        // In-flight writes are not cancelled: a cancelled write is less certain to have run or not
        // run.
        if query.non_idempotent {
            return;
        }
        self.remove_query(now, id, Ending::CallerGone, out);
    }

    pub(super) fn run_queued(&mut self, now: Mono, out: &mut Vec<Output>) {
        while let Some(decision) = self.admission.next_decision(now) {
            match decision {
                QueueDecision::Run(id) => {
                    if let Some(pending) = self.waiting.remove(&id) {
                        self.start(now, pending, out);
                    }
                }
                QueueDecision::Refuse { query, retry_after } => {
                    self.waiting.remove(&query);
                    let message = "the request was queued and can no longer be answered in time: \
                                   retry after the stated delay";
                    let mut rejection = Rejection::transient(RefusalKind::Overloaded, message);
                    rejection.retry_after = Some(retry_after);
                    out.push(rejection.refuse(query));
                }
            }
        }
    }

    /// Pins a snapshot and starts an admitted query.
    fn start(&mut self, now: Mono, pending: PendingRequest, out: &mut Vec<Output>) {
        match self.build_query(now, &pending) {
            Ok(query) => {
                let id = query.id;
                self.queries.insert(id, query);
                self.place(now, id, out);
                self.schedule_wake(id);
            }
            Err(rejection) => {
                self.admission.finish(now, &pending.request.service, None);
                out.push(rejection.refuse(pending.request.id));
            }
        }
    }

    fn build_query(&self, now: Mono, pending: &PendingRequest) -> Result<Query, Rejection> {
        let PendingRequest { at: arrived_at, patience, request } = pending;
        let (arrived_at, patience) = (*arrived_at, *patience);
        let config = self.config.as_ref();
        let service = config.and_then(|c| c.services.get(&request.service));
        let state = self.fleet.service(&request.service);
        let (Some(config), Some(service), Some(state)) = (config, service, state) else {
            let message = SmolStr::new_static(
                "the service was removed while the request was queued: check the configuration",
            );
            return Err(Rejection::permanent(RefusalKind::UnknownService, message));
        };
        let Some(table) = state.table.current() else {
            let message = if state.table.conflicts().is_empty() {
                "no server holds any shard of this service: retry when servers have started"
            } else {
                "servers disagree on the shard count of the index: see event 202"
            };
            return Err(Rejection::transient(RefusalKind::NoIndex, message));
        };
        let requested = request.shards.resolve(table.shard_count()).map_err(|shard| {
            let count = table.shard_count();
            let message =
                format_smolstr!("shard {shard} does not exist: use shard numbers below {count}");
            Rejection::permanent(RefusalKind::BadRequest, message)
        })?;
        let due_at = (arrived_at + patience).before(margin(service.prefer, patience));
        Ok(Query {
            id: request.id,
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            body: request.body.clone(),
            selector: request.shards.clone(),
            limit: request.limit,
            non_idempotent: request.non_idempotent,
            prefer: service.prefer,
            arrived_at,
            started_at: now,
            due_at,
            snapshot: PinnedSnapshot { table: table.clone(), revision: config.revision },
            progress: vec![ShardProgress::default(); requested.len()],
            open_shards: requested.len(),
            requested,
            merger: Merger::default(),
            in_flight: IndexSet::new(),
            attempts_sent: 0,
            unconfirmed: 0,
            restarts: 0,
            next_hedge_at: now + self.hedge_delay(state, due_at.since(now)),
            stalled: false,
            no_capacity: false,
        })
    }

    /// Ends an admitted query in the admission control; emits an event if this lowers the
    /// concurrency limit to 2 or less.
    pub(super) fn release(
        &mut self,
        now: Mono,
        query: &Query,
        latency: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        let before = self.admission.limit(&query.service);
        if !self.admission.finish(now, &query.service, latency) {
            return;
        }
        let limit = self.admission.limit(&query.service);
        if limit < before && limit <= 2 {
            let service = query.service.clone();
            out.push(Output::Event(Event::Overloaded { service, limit: u64::from(limit) }));
        }
    }
}

/// Checks the parameters of a request against the limits of its service.
fn check_parameters(request: &Request, service: &Service) -> Result<(), Rejection> {
    let rejection = |message| Err(Rejection::permanent(RefusalKind::BadRequest, message));
    let max_hits = service.limits.max_hits;
    if request.limit == 0 || request.limit > max_hits {
        return rejection(format_smolstr!(
            "limit must be 1 to {max_hits}: choose a limit in range"
        ));
    }
    if matches!(&request.shards, crate::ShardSelector::Listed(list) if list.is_empty()) {
        return rejection(SmolStr::new_static(
            "shards is an empty list: list shard numbers or use \"all\"",
        ));
    }
    if request.non_idempotent && !request.shards.is_single() {
        return rejection(SmolStr::new_static(
            "a non-idempotent request must select exactly one shard: specify a key or one shard",
        ));
    }
    if request.non_idempotent && service.require_token && !request.has_token {
        return rejection(SmolStr::new_static(
            "this service requires a token for non-idempotent requests: get one from /v1/tokens",
        ));
    }
    Ok(())
}
