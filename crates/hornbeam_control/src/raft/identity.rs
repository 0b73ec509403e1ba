//! Hello exchange, which detects outdated and foreign disks before a voter takes part.
//!
//! A voter that starts sends the identity of its disk, the number of starts with this disk and a
//! random number to the other voters. Each of them records this start durably before it replies.
//! The starting voter votes and acknowledges entries only once a majority, itself included, knows
//! of no later start and of no acknowledged entry that it lacks. An outdated copy of a disk is
//! therefore detected as long as one voter is reachable that has seen a later start or to which the
//! disk has acknowledged a later entry. An instance with an empty disk is no voter and can only
//! join as a learner.
//!
//! An instance replies by the membership in its own log, which may be older than that of the
//! starting voter, as in the log of a former voter. It objects to a disk that its membership does
//! not list only if the log of the starting voter ends before that membership. A log that reaches
//! further contains the membership, if that was committed, and possibly a later one.
//!
//! A new log is started only if every initial voter is present and has a blank disk, and if no instance
//! with a log or a later configuration has objected during the founding wait.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{ControlBody, DiskId, HelloVerdict, LogIndex, LogPos};
use hornbeam_storage::{Boot, Record};
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::{HELLO_INTERVAL, LEARNER_HELLO_INTERVAL, Persist, Raft, RaftOutput, Role};

const OUTDATED_DISK: &str = "its disk is an outdated copy of the one that the other voters know";
const FOREIGN_DISK: &str = "its disk is empty, or is not the one that the other voters know";

/// Time for which a starting voter waits for objections, unless all other voters have confirmed its
/// disk earlier.
const OBJECTION_PERIOD: Duration = Duration::from_millis(500);
/// Time for which an objection counts; longer than two elections of a voter that hears no leader, which
/// asks again at each of them.
const OBJECTION_TTL: Duration = Duration::from_secs(3);

/// Content of a hello message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hello {
    pub disk: DiskId,
    pub boot: u64,
    pub nonce: u64,
    pub last: LogPos,
}

/// Last entries that a disk has acknowledged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Acknowledged {
    last: LogPos,
    /// Number of the start to which `last` belongs, if it is known.
    start: Option<u64>,
    /// Last entry that earlier starts have acknowledged.
    earlier: LogPos,
}

impl Acknowledged {
    pub(super) fn record(&mut self, start: Option<u64>, position: LogPos) {
        if self.start != start {
            self.start = start;
            self.earlier = self.last;
        }
        self.last = self.last.max(position);
    }

    /// Returns the last entry that a start of this number must have. A hello may arrive after an
    /// acknowledgment that the same start has sent later.
    fn required_of(&self, start: u64) -> LogPos {
        if self.start == Some(start) { self.earlier } else { self.last }
    }
}

/// Instance that has sent a hello and is not a voter with the disk that it named.
#[derive(Clone, Copy, Debug)]
pub(super) struct NonVoter {
    pub disk: DiskId,
    /// When its last hello arrived.
    pub seen_at: Mono,
}

/// State of the hello exchange, both as sender and as receiver.
#[derive(Debug, Default)]
pub(super) struct IdentityCheck {
    pub next_hello_at: Mono,
    first_hello_at: Option<Mono>,
    /// Instances with a log that know no later state of this disk. Those that are no voters in the
    /// membership of this log may be voters in a later one.
    known_by: IndexSet<InstanceId>,
    /// Voters that are blank themselves.
    blank_voters: IndexSet<InstanceId>,
    /// Instances whose latest reply is that a membership later than this log lists this instance
    /// with another disk, or not as a voter, with the time of the reply.
    foreign_by: IndexMap<InstanceId, Mono>,
    /// Random number of the latest start of each disk, from hellos without an objection to an outdated
    /// disk.
    pub starts: IndexMap<DiskId, u64>,
    /// Instances that have sent a hello and do not vote with their disk.
    pub non_voters: IndexMap<InstanceId, NonVoter>,
    /// Instances that may have the control role; may include voters.
    pub contacts: Vec<InstanceId>,
    /// True if another instance has a configuration later than that of an empty log.
    pub config_exists: bool,
    /// Why this instance may not vote with its disk.
    pub refusal: Option<&'static str>,
}

impl Raft {
    /// Returns true if this disk has never been part of a control log.
    pub fn is_blank(&self) -> bool {
        self.log.last().index == LogIndex::default() && self.hard_state.term.0 == 0
    }

    /// Checks whether this instance may take part, and repeats its hello when it is due.
    pub(super) fn hello_tick(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if now < self.identity.next_hello_at {
            return;
        }
        let interval = match (self.role, &self.params.repair) {
            (Role::Learner, None) => LEARNER_HELLO_INTERVAL,
            _ => HELLO_INTERVAL,
        };
        self.identity.next_hello_at = now + interval;
        self.identity.first_hello_at.get_or_insert(now);
        self.verify(now, out);
        if !matches!(self.role, Role::Unverified | Role::Learner) {
            return;
        }
        self.send_hellos(out);
    }

    /// Sends a hello to the voters and to all contacts, which may know a later membership.
    pub(super) fn send_hellos(&self, out: &mut Vec<RaftOutput>) {
        let hello =
            ControlBody::Hello { boot: self.boot, nonce: self.params.nonce, last: self.log.last() };
        let mut targets = self.other_voters();
        for contact in &self.identity.contacts {
            if *contact != self.params.me && !targets.contains(contact) {
                targets.push(contact.clone());
            }
        }
        for to in targets {
            self.send(&to, hello.clone(), out);
        }
    }

    pub(super) fn on_hello(
        &mut self,
        now: Mono,
        from: &InstanceId,
        hello: Hello,
        out: &mut Vec<RaftOutput>,
    ) {
        if self.identity.refusal == Some(OUTDATED_DISK) {
            return;
        }
        let verdict = self.hello_verdict(from, hello);
        if verdict != HelloVerdict::Outdated {
            self.identity.starts.insert(hello.disk, hello.nonce);
        }
        match verdict {
            HelloVerdict::Known | HelloVerdict::Blank => {
                let boot = Boot { disk: hello.disk, boot: hello.boot, nonce: hello.nonce };
                self.record_boot(from, boot, out);
            }
            HelloVerdict::Foreign | HelloVerdict::Outdated => {
                let non_voter = NonVoter { disk: hello.disk, seen_at: now };
                self.identity.non_voters.insert(from.clone(), non_voter);
            }
        }
        self.send(from, ControlBody::HelloReply { nonce: hello.nonce, verdict }, out);
    }

    /// Records the start of another voter durably.
    fn record_boot(&mut self, from: &InstanceId, boot: Boot, out: &mut Vec<RaftOutput>) {
        if self.boots.get(from) == Some(&boot) {
            return;
        }
        self.boots.insert(from.clone(), boot);
        let records = vec![Record::Boot(from.clone(), boot)];
        out.push(RaftOutput::Persist(Persist::Append(records)));
    }

    /// Returns what this instance knows about the disk in a hello.
    fn hello_verdict(&self, from: &InstanceId, hello: Hello) -> HelloVerdict {
        if self.is_blank() {
            return HelloVerdict::Blank;
        }
        let is_listed = self.voter_disk(from) == Some(hello.disk);
        if !is_listed && hello.last < self.members_position() {
            return HelloVerdict::Foreign;
        }
        let later_start = self.boots.get(from).is_some_and(|known| {
            let same_disk = known.disk == hello.disk;
            let same_start = known.nonce == hello.nonce;
            same_disk && !same_start && known.boot >= hello.boot
        });
        let acknowledged = self.acknowledged.get(&hello.disk);
        let required = acknowledged.map(|a| a.required_of(hello.nonce)).unwrap_or_default();
        if later_start || required > hello.last {
            return HelloVerdict::Outdated;
        }
        HelloVerdict::Known
    }

    /// Returns the position in the log from which on the current membership applies.
    fn members_position(&self) -> LogPos {
        if self.members_index == LogIndex::default() {
            return self.snapshot.last;
        }
        let term = self.log.term_at(self.members_index).unwrap_or_default();
        LogPos { term, index: self.members_index }
    }

    /// Returns the disk of a voter from the membership or, if that names none, from its last hello.
    pub(super) fn voter_disk(&self, voter: &InstanceId) -> Option<DiskId> {
        let from_hello = || self.boots.get(voter).map(|b| b.disk);
        self.members.voters.get(voter).and_then(|disk| disk.or_else(from_hello))
    }

    pub(super) fn on_hello_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        nonce: u64,
        verdict: HelloVerdict,
        out: &mut Vec<RaftOutput>,
    ) {
        if nonce != self.params.nonce {
            return;
        }
        if verdict == HelloVerdict::Outdated {
            // An objection that arrives after the verification still excludes this disk.
            return self.refuse(OUTDATED_DISK, out);
        }
        let is_refused = self.identity.refusal == Some(FOREIGN_DISK);
        // A voter that hears no leader may have been replaced in its absence.
        let asks = matches!(self.role, Role::Unverified | Role::PreCandidate);
        if !asks && !is_refused {
            return;
        }
        // Only the latest reply of an instance counts: its log may have grown since the last one.
        self.identity.known_by.swap_remove(from);
        self.identity.foreign_by.swap_remove(from);
        match verdict {
            HelloVerdict::Known => {
                self.identity.known_by.insert(from.clone());
            }
            HelloVerdict::Blank => {
                self.identity.blank_voters.insert(from.clone());
            }
            HelloVerdict::Foreign => {
                self.identity.foreign_by.insert(from.clone(), now);
            }
            HelloVerdict::Outdated => {}
        }
        if self.is_foreign(now) {
            self.refuse(FOREIGN_DISK, out);
        } else if is_refused && self.is_voter() && !self.must_not_found() {
            self.identity.refusal = None;
            self.role = Role::Unverified;
        }
        self.verify(now, out);
    }

    /// Returns true if instances object to this disk, unless a majority of the voters knows it: the
    /// membership on which an objection rests may never be committed.
    fn is_foreign(&self, now: Mono) -> bool {
        let objections = self.identity.foreign_by.values();
        let count = objections.filter(|at| now.since(**at) < OBJECTION_TTL).count();
        let is_known = !self.is_blank() && self.is_majority(self.identity.known_by.len());
        count > 0 && (!is_known || 2 * count > self.members.voters.len())
    }

    /// Returns true if this instance is a voter by its own log and its disk has not been verified since an
    /// objection: it may be an outdated copy, which must not help to elect a leader without its entries.
    pub(super) fn must_not_vote(&self) -> bool {
        self.identity.refusal == Some(FOREIGN_DISK) && !self.is_blank() && self.is_voter()
    }

    /// Returns true if a log that this instance started would hide an earlier configuration.
    fn must_not_found(&self) -> bool {
        self.is_blank() && self.identity.config_exists
    }

    /// Records that this instance may not vote with its disk. With a foreign disk it can still
    /// become a learner.
    fn refuse(&mut self, reason: &'static str, out: &mut Vec<RaftOutput>) {
        if self.identity.refusal.replace(reason).is_none() {
            let reason = SmolStr::new_static(reason);
            out.push(RaftOutput::Event(Event::VoterRefused { reason }));
        }
        // With a repair policy, a voter that was replaced in its absence may return as a learner
        // that keeps its log.
        let may_follow = self.is_blank() || self.params.repair.is_some();
        if reason == FOREIGN_DISK && may_follow {
            self.role = Role::Learner;
        } else if reason == OUTDATED_DISK {
            // An outdated disk may not even follow, because it could acknowledge entries again that
            // it has acknowledged before and lost.
            self.step_down(OUTDATED_DISK, out);
            self.role = Role::Unverified;
        }
    }

    /// Lets this instance take part once a majority of the voters, itself included, knows its disk.
    fn verify(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role != Role::Unverified || self.identity.refusal.is_some() {
            return;
        }
        if self.is_blank() {
            self.verify_blank(now, out);
            return;
        }
        if !self.is_voter() {
            self.role = Role::Learner;
            return;
        }
        let others = self.other_voters();
        // Only a voter that was leader knows what this disk has acknowledged, so every voter gets
        // time to object.
        let period_over =
            self.identity.first_hello_at.is_some_and(|at| now.since(at) >= OBJECTION_PERIOD);
        // A voter with a blank disk has nothing to object with.
        let is_settled = |v: &InstanceId| {
            self.identity.known_by.contains(v) || self.identity.blank_voters.contains(v)
        };
        let all_confirmed = others.iter().all(is_settled);
        if self.is_majority(self.identity.known_by.len()) && (all_confirmed || period_over) {
            self.role = Role::Follower;
            self.schedule_first_election(now);
        }
    }

    /// Lets a blank initial voter take part once all initial voters are present and blank.
    fn verify_blank(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.must_not_found() {
            self.refuse(FOREIGN_DISK, out);
            return;
        }
        let others = self.other_voters();
        let listed = self.params.initial_voters.contains(&self.params.me);
        if !listed {
            self.role = Role::Learner;
            return;
        }
        // A voter that knows this disk already has started the log with it as an initial voter.
        let agrees = |v: &InstanceId| {
            self.identity.blank_voters.contains(v) || self.identity.known_by.contains(v)
        };
        let has_start = |v: &InstanceId| self.boots.contains_key(v);
        let first_hello_at = self.identity.first_hello_at;
        if first_hello_at.is_none_or(|at| now.since(at) < self.params.founding_wait) {
            return;
        }
        if !others.iter().all(|v| agrees(v) && has_start(v)) {
            return;
        }
        self.role = Role::Follower;
        self.schedule_first_election(now);
    }
}
