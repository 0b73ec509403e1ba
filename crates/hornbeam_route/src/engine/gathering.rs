//! Groups of shards that this entry collects for others.
//!
//! A group is a request without a least share: its parts are told when all that can come are in, when
//! they are due, and one by one afterwards. Who asked decides whether they are enough.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId, Route, Target};
use smol_str::SmolStr;

use super::finish::{forget_all, forget_failures};
use super::{Engine, Output};
use crate::decision::Decision;
use crate::request::{Cell, CellState, Collecting, Running};

/// Time of the deadline kept back for the way to the entry that asked.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// A group of shards that another entry asks for.
#[derive(Debug)]
pub struct GroupRequest {
    /// Names the group within this entry.
    pub key: QueryId,
    /// Id of the request, as the caller gave it.
    pub id: SmolStr,
    /// The route, with the shards of the group only.
    pub route: Arc<Route>,
    /// Time until the parts are due.
    pub due_in: Duration,
    /// Time left for the request.
    pub remaining: Duration,
}

impl Engine {
    pub(super) fn on_gather(&mut self, now: Mono, asked: GroupRequest, out: &mut Vec<Output>) {
        let Target::Scatter(scatter) = &asked.route.target else { return };
        if self.requests.len() >= self.params.max_in_flight || self.table.is_none() {
            return out.push(Output::DeclineGroup(asked.key));
        }
        let names = scatter.shards.clone();
        let services: Vec<usize> = names.iter().map(|name| self.service_position(name)).collect();
        for service in &services {
            self.services[*service].extra.note_request(now);
        }
        let key = asked.key;
        let running = Running {
            arrived: now,
            deadline: now + asked.remaining.saturating_sub(DEADLINE_MARGIN),
            answer_by: now + asked.due_in,
            collecting: Some(Collecting::default()),
            ..Running::new(key, asked.id, asked.route, services)
        };
        self.requests.insert(key, running);
        self.place_all(now, key, out);
        self.log_gathering(now, key, out);
        self.settle(now, key, out);
        self.arm(key);
    }

    /// Tells the parts of a group that are in, if nothing more is worth waiting for or they are due.
    pub(super) fn settle_group(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let sound = |c: &&Cell| c.state == CellState::Open && !c.doubtful;
        if running.cells.iter().find(sound).is_none() {
            return self.end_gathering(now, key, out);
        }
        let Some(collecting) = running.collecting.as_mut() else { return };
        // Once also if nothing is in: it shows that this entry is at work.
        if now >= running.answer_by && !(collecting.told && collecting.untold.is_empty()) {
            collecting.told = true;
            let responses = std::mem::take(&mut collecting.untold);
            let limit = running.limit();
            let queue_waits = self.waits_of(key);
            out.push(Output::GroupResponses {
                request: key,
                responses,
                queue_waits,
                limit,
                last: false,
            });
        }
    }

    /// Tells the last parts of a group.
    pub(super) fn end_gathering(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let queue_waits = self.waits_of(key);
        let Some(running) = self.drop_request(now, key, out) else { return };
        forget_failures(&running, out);
        let tally = running.tally();
        out.push(Output::Log(Decision::Gathered {
            request: running.id.clone(),
            took_ms: now.since(running.arrived).as_millis() as u64,
            parts: running.parts,
            missing: running.cells.len() - running.parts,
            waiting: tally.waiting,
            late: tally.late,
            sends: running.sends,
        }));
        let limit = running.limit();
        let responses = running.collecting.map_or_else(Vec::new, |c| c.untold);
        out.push(Output::GroupResponses {
            request: key,
            responses,
            queue_waits,
            limit,
            last: true,
        });
    }

    /// Sends second attempts and retries that had to wait for the word of the entry that asked.
    pub(super) fn on_gather_confirmed(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        if let Some(collecting) = &mut running.collecting {
            collecting.confirmed = true;
        }
        let cells = running.cells.iter().enumerate();
        let held = cells.filter(|(_, c)| c.held).map(|(i, _)| i).collect::<Vec<_>>();
        for cell in held {
            if let Some(running) = self.requests.get_mut(&key) {
                running.cells[cell].held = false;
            }
            self.try_again(now, key, cell, out);
        }
        self.hedge(now, key, out);
        self.settle(now, key, out);
        self.arm(key);
    }

    /// The entry that asked needs the group no longer.
    pub(super) fn on_gather_cancelled(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.drop_request(now, key, out) else { return };
        forget_all(&running, out);
    }

    /// Shards of a group whose queue is not empty, and the expected wait.
    fn waits_of(&self, key: QueryId) -> Vec<(usize, Duration)> {
        let Some(running) = self.requests.get(&key) else { return Vec::new() };
        let waits = running
            .cells
            .iter()
            .enumerate()
            .map(|(i, c)| (i, self.wait_at(c.service, running.route.priority)));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    fn log_gathering(&self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let tally = running.tally();
        out.push(Output::Log(Decision::Gathering {
            request: running.id.clone(),
            route: running.route.name.clone(),
            due_ms: running.answer_by.since(now).as_millis() as u64,
            shards: running.cells.len(),
            sent: tally.sent,
            waiting: tally.waiting,
            lacking: tally.lacking,
        }));
    }
}
