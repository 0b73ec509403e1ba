//! Handles events and applies the outputs of instances.

use std::time::Duration;

use hornbeam_membership::{Input as MemberInput, Output as MemberOutput};
use hornbeam_model::{AttemptId, Mono, ServerId};
use hornbeam_query::{Attempt, AttemptOutcome, Input, Output};
use hornbeam_traffic::{Roster, ServerChange};
use rand::Rng;

use super::{AttemptAtServer, AttemptKey, InstanceIdx, ServerIdx, SimEvent, World};

/// Time after the deadline of an attempt at which its connection counts as failed.
const REPLY_GRACE: Duration = Duration::from_secs(1);

impl World {
    pub(crate) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Ask(i, request) => {
                if self.instances[i].engine.is_some() {
                    self.engine_step(i, Input::Request(*request));
                }
            }
            SimEvent::CallerGone(i, query) => self.engine_step(i, Input::CallerGone(query)),
            SimEvent::Wake(i) => {
                if self.instances[i].wake_at.is_some_and(|at| at <= self.now) {
                    self.instances[i].wake_at = None;
                    self.engine_step(i, Input::Tick);
                }
            }
            SimEvent::MemberWake(i) => {
                if self.instances[i].member_wake_at.is_some_and(|at| at <= self.now) {
                    self.instances[i].member_wake_at = None;
                    self.member_step(i, MemberInput::Tick);
                }
            }
            SimEvent::Member { from, to, message } => {
                if !self.cut_between_instances(from, to) {
                    let from = self.instances[from].name.clone();
                    self.member_step(to, MemberInput::Message { from, message });
                }
            }
            SimEvent::AttemptArrives(a) => self.attempt_arrives(*a),
            SimEvent::CancelArrives { server, key } => self.cancel_arrives(server, key),
            SimEvent::JobEnds { server, key, run } => self.job_ends(server, key, run),
            SimEvent::ReplyArrives { key, outcome, draining } => {
                self.reply_arrives(key, *outcome, draining);
            }
            SimEvent::Announce(pos) => self.server_announces(pos, true),
            SimEvent::Announced { to, announcement } => {
                let now = self.now;
                let mut out = Vec::new();
                if let Some(membership) = &mut self.instances[to].membership {
                    // A refused announcement changes nothing; the tests of hornbeam_membership
                    // check that.
                    let _ = membership.announce(now, &announcement, &mut out);
                }
                self.apply_membership_outputs(to, out);
            }
        }
    }

    pub(crate) fn engine_step(&mut self, i: InstanceIdx, input: Input) {
        let now = self.now;
        let Some(engine) = &mut self.instances[i].engine else { return };
        let mut out = Vec::new();
        engine.step(now, input, &mut out);
        for output in out {
            match output {
                Output::Send(attempt) => self.send_attempt(i, *attempt),
                Output::Cancel { attempt, server } => {
                    let name = self.instances[i]
                        .engine
                        .as_ref()
                        .map(|e| e.fleet().server(server).announced.server.clone());
                    if let Some(name) = name {
                        self.send_cancel(i, attempt, &name);
                    }
                }
                Output::Respond(response) => self.check_response(i, &response),
                Output::Refuse(refusal) => self.check_refusal(i, &refusal),
                Output::Event(event) => {
                    let name = self.instances[i].name.clone();
                    self.events.push((now, name, event));
                }
            }
        }
        self.schedule_engine_wake(i);
    }

    fn schedule_engine_wake(&mut self, i: InstanceIdx) {
        let next = self.instances[i].engine.as_ref().and_then(|e| e.next_wake());
        let Some(at) = next else { return };
        if self.instances[i].wake_at.is_some_and(|w| w <= at) {
            return;
        }
        let at = at.max(self.now + Duration::from_micros(1));
        self.instances[i].wake_at = Some(at);
        self.queue(at, SimEvent::Wake(i));
    }

    pub(crate) fn member_step(&mut self, i: InstanceIdx, input: MemberInput) {
        let now = self.now;
        let Some(membership) = &mut self.instances[i].membership else { return };
        let mut out = Vec::new();
        membership.step(now, input, &mut out);
        self.apply_membership_outputs(i, out);
    }

    fn apply_membership_outputs(&mut self, i: InstanceIdx, out: Vec<MemberOutput>) {
        let mut changes = Vec::new();
        for output in out {
            match output {
                MemberOutput::Send { to, message } => {
                    let to = self.instances.iter().position(|x| x.name == to);
                    let lost = self.rng.random_range(0..100) < self.loss_percent;
                    if let Some(to) = to.filter(|_| !lost) {
                        let event = SimEvent::Member { from: i, to, message };
                        self.queue(self.now + self.delay, event);
                    }
                }
                MemberOutput::Listed(a) => changes.push(ServerChange::Announced(a)),
                MemberOutput::Gone(server) => changes.push(ServerChange::Removed(server)),
                MemberOutput::RosterChanged => {
                    let roster = self.instances[i].membership.as_ref().map(|m| m.roster());
                    let roster = Roster::new(roster.unwrap_or_default());
                    self.engine_step(i, Input::Roster(roster));
                }
                MemberOutput::PeerConfig { .. } => {}
                MemberOutput::Event(event) => {
                    let name = self.instances[i].name.clone();
                    self.events.push((self.now, name, event));
                }
            }
        }
        if !changes.is_empty() {
            self.engine_step(i, Input::Servers(changes));
        }
        self.schedule_member_wake(i);
    }

    fn schedule_member_wake(&mut self, i: InstanceIdx) {
        let next = self.instances[i].membership.as_ref().map(|m| m.next_wake());
        let Some(at) = next.filter(|at| *at < Mono::MAX) else { return };
        if self.instances[i].member_wake_at.is_some_and(|w| w <= at) {
            return;
        }
        let at = at.max(self.now + Duration::from_micros(1));
        self.instances[i].member_wake_at = Some(at);
        self.queue(at, SimEvent::MemberWake(i));
    }

    fn key(&self, i: InstanceIdx, attempt: AttemptId) -> AttemptKey {
        AttemptKey { instance: i, incarnation: self.instances[i].incarnation, attempt }
    }

    fn send_attempt(&mut self, i: InstanceIdx, attempt: Attempt) {
        let Some(pos) = self.server_index(attempt.server_id.as_str()) else { return };
        let key = self.key(i, attempt.id);
        let number = self.query_numbers.get(&(i, key.incarnation, attempt.query)).copied();
        let connecting = self.open_connection(i, pos);
        let limit = attempt.deadline + REPLY_GRACE;
        self.outstanding.insert(key, (pos, limit));
        // An attempt without a reply fails at `limit`.
        let outcome = if connecting { AttemptOutcome::NotSent } else { AttemptOutcome::Unknown };
        let outcome = Box::new(outcome);
        self.queue(limit, SimEvent::ReplyArrives { key, outcome, draining: false });
        let connect = if connecting { self.connect_time } else { Duration::ZERO };
        let a = AttemptAtServer { key, server: pos, attempt, query_number: number.unwrap_or(0) };
        self.record_sent(&a);
        let at = self.now + connect + self.delay;
        self.queue(at, SimEvent::AttemptArrives(Box::new(a)));
    }

    /// Uses an idle connection or opens one; returns whether it had to be opened.
    fn open_connection(&mut self, i: InstanceIdx, pos: ServerIdx) -> bool {
        let incarnation = self.instances[i].incarnation;
        let c = self.connections.entry((i, incarnation, pos)).or_default();
        c.used += 1;
        let opened = c.used > c.open;
        c.open = c.open.max(c.used);
        let all: u32 =
            self.connections.iter().filter(|((_, _, s), _)| *s == pos).map(|(_, c)| c.open).sum();
        let announced = &self.servers[pos].announced;
        if all > announced.connections {
            let text = format!("{} has {all} connections", announced.server);
            self.violations.push(format!("at {}: {text}", self.now));
        }
        opened
    }

    fn send_cancel(&mut self, i: InstanceIdx, attempt: AttemptId, name: &ServerId) {
        let Some(pos) = self.server_index(name.as_str()) else { return };
        let key = self.key(i, attempt);
        self.queue(self.now + self.delay, SimEvent::CancelArrives { server: pos, key });
    }

    fn reply_arrives(&mut self, key: AttemptKey, outcome: AttemptOutcome, draining: bool) {
        let Some((pos, _)) = self.outstanding.remove(&key) else { return };
        let endpoints = (key.instance, key.incarnation, pos);
        if let Some(c) = self.connections.get_mut(&endpoints) {
            c.used = c.used.saturating_sub(1);
        }
        if self.instances[key.instance].incarnation != key.incarnation {
            return;
        }
        let input = Input::Reply { attempt: key.attempt, outcome, draining };
        self.engine_step(key.instance, input);
    }
}
