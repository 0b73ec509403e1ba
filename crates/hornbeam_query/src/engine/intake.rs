//! New requests, pinning, admission.

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
use crate::query::{Pin, Query, ShardState, margin};
use crate::request::Request;
use crate::response::{Refusal, RefusalKind, RunStatus};

/// Wait told to a caller when only time can help.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// A request with what was decided when it arrived.
#[derive(Debug)]
pub(super) struct Arrival {
    /// When it arrived.
    at: Mono,
    /// How long its caller waits, by the configuration of that moment.
    patience: Duration,
    request: Request,
}

/// Why a request cannot run.
struct Problem {
    kind: RefusalKind,
    message: SmolStr,
    retry_after: Option<Duration>,
}

impl Problem {
    fn lasting(kind: RefusalKind, message: SmolStr) -> Self {
        Self { kind, message, retry_after: None }
    }

    fn passing(kind: RefusalKind, message: &'static str) -> Self {
        let message = SmolStr::new_static(message);
        Self { kind, message, retry_after: Some(RETRY_LATER) }
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
            Err(problem) => return out.push(problem.refuse(request.id)),
        };
        let deadline = now + patience;
        match self.admission.admit(now, &request.service, request.id, deadline) {
            AdmissionDecision::Run => self.begin(now, Arrival { at: now, patience, request }, out),
            AdmissionDecision::Wait => {
                self.waiting.insert(request.id, Arrival { at: now, patience, request });
            }
            AdmissionDecision::Refuse { retry_after } => {
                let message = "this instance has more requests than it can answer in time: \
                               come back after the stated time";
                let mut problem = Problem::passing(RefusalKind::Overloaded, message);
                problem.retry_after = Some(retry_after);
                out.push(problem.refuse(request.id));
            }
        }
    }

    /// How long the caller waits, or why the request cannot run.
    fn check_request(&self, request: &Request) -> Result<Duration, Problem> {
        if self.draining {
            let message = "this instance is shutting down: send the request to another one";
            return Err(Problem::passing(RefusalKind::Draining, message));
        }
        let Some(config) = &self.config else {
            let message = "this instance has no configuration yet: come back in a second";
            return Err(Problem::passing(RefusalKind::NotReady, message));
        };
        let Some(service) = config.services.get(&request.service) else {
            let name = &request.service;
            let message =
                format_smolstr!("service {name} is not configured: check the name in the path");
            return Err(Problem::lasting(RefusalKind::UnknownService, message));
        };
        check_shape(request, service)?;
        let patience = service.patience.at(request.unix_ms);
        Ok(request.patience.map_or(patience, |p| p.min(patience)))
    }

    pub(super) fn on_caller_gone(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        if let Some(arrival) = self.waiting.remove(&id) {
            self.admission.remove(&arrival.request.service, id);
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        // A write that is out is left to end: cancelling it would only make its fate less certain.
        if query.non_idempotent {
            return;
        }
        self.drop_query(now, id, Ending::CallerGone, out);
    }

    pub(super) fn run_waiting(&mut self, now: Mono, out: &mut Vec<Output>) {
        while let Some(turn) = self.admission.next_decision(now) {
            match turn {
                QueueDecision::Run(id) => {
                    if let Some(arrival) = self.waiting.remove(&id) {
                        self.begin(now, arrival, out);
                    }
                }
                QueueDecision::Refuse { query, retry_after } => {
                    self.waiting.remove(&query);
                    let message = "the request waited and could no longer be answered in time: \
                                   come back after the stated time";
                    let mut problem = Problem::passing(RefusalKind::Overloaded, message);
                    problem.retry_after = Some(retry_after);
                    out.push(problem.refuse(query));
                }
            }
        }
    }

    /// Pins a snapshot and starts a query that was admitted.
    fn begin(&mut self, now: Mono, arrival: Arrival, out: &mut Vec<Output>) {
        match self.build(now, &arrival) {
            Ok(query) => {
                let id = query.id;
                self.queries.insert(id, query);
                self.place(now, id, out);
                self.arm(id);
            }
            Err(problem) => {
                self.admission.finish(now, &arrival.request.service, None);
                out.push(problem.refuse(arrival.request.id));
            }
        }
    }

    fn build(&self, now: Mono, arrival: &Arrival) -> Result<Query, Problem> {
        let Arrival { at: arrived, patience, request } = arrival;
        let (arrived, patience) = (*arrived, *patience);
        let config = self.config.as_ref();
        let service = config.and_then(|c| c.services.get(&request.service));
        let state = self.fleet.service(&request.service);
        let (Some(config), Some(service), Some(state)) = (config, service, state) else {
            let message = SmolStr::new_static("the service was removed while the request waited");
            return Err(Problem::lasting(RefusalKind::UnknownService, message));
        };
        let Some(table) = state.table.current() else {
            let message = if state.table.conflicts().is_empty() {
                "no server holds any shard of this service: come back when servers have started"
            } else {
                "servers disagree on the shard count of the index: see event 202"
            };
            return Err(Problem::passing(RefusalKind::NoIndex, message));
        };
        let wanted = request.shards.resolve(table.shard_count()).map_err(|shard| {
            let count = table.shard_count();
            let message =
                format_smolstr!("shard {shard} does not exist: name shards below {count}");
            Problem::lasting(RefusalKind::BadRequest, message)
        })?;
        let finish_at = (arrived + patience).before(margin(service.prefer, patience));
        Ok(Query {
            id: request.id,
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            body: request.body.clone(),
            shards: request.shards.clone(),
            limit: request.limit,
            non_idempotent: request.non_idempotent,
            prefer: service.prefer,
            arrived,
            began: now,
            finish_at,
            pin: Pin { table: table.clone(), revision: config.revision },
            states: vec![ShardState::default(); wanted.len()],
            open: wanted.len(),
            wanted,
            merger: Merger::default(),
            flights: IndexSet::new(),
            sent: 0,
            unconfirmed: 0,
            restarts: 0,
            next_hedge: now + self.hedge_delay(state, finish_at.since(now)),
            starved: false,
            no_room: false,
        })
    }

    /// Notes the end of an admitted query, with an event if the limit fell to its floor.
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

fn check_shape(request: &Request, service: &Service) -> Result<(), Problem> {
    let problem = |message| Err(Problem::lasting(RefusalKind::BadRequest, message));
    let max_hits = service.limits.max_hits;
    if request.limit == 0 || request.limit > max_hits {
        return problem(format_smolstr!("limit must be 1 to {max_hits}: choose a limit in range"));
    }
    if matches!(&request.shards, crate::ShardSelector::Listed(list) if list.is_empty()) {
        return problem(SmolStr::new_static("shards is an empty list: name shards or \"all\""));
    }
    if request.non_idempotent && !request.shards.is_single() {
        return problem(SmolStr::new_static(
            "a non-idempotent request goes to exactly one shard: give a key or one shard",
        ));
    }
    if request.non_idempotent && service.require_token && !request.has_token {
        return problem(SmolStr::new_static(
            "this service needs a token for non-idempotent requests: get one from /v1/tokens",
        ));
    }
    Ok(())
}
