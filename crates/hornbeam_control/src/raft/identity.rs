//! Hello between voters, and when one may vote.
//!
//! A voter that starts shows its disk, the number of its start and a random number to the other
//! voters. Each of them durably notes the start before it answers. The starting voter takes part
//! once a majority, itself included, knows no later start and no acknowledged entry that it lacks.
//! So a voter that comes back with an old copy of its disk is found out as long as a voter that it
//! has acknowledged to, or that has seen a later start, can be reached. One with an empty disk is a
//! stranger: it can only join as a learner.
//!
//! A new log is founded only if every first voter is there and blank.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{ControlBody, DiskId, HelloVerdict, LogIndex, LogPos};
use hornbeam_storage::{Boot, Record};
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::{HELLO_EVERY, LEARNER_HELLO_EVERY, Persist, Raft, RaftOutput, Role};

const OLD_COPY: &str = "its disk is an older copy of one that the other voters know";
const FOREIGN_DISK: &str = "its disk is not the one that the other voters know, or is empty";

/// Time that a starting voter gives the others to object, unless all of them have answered.
const OBJECTION_TIME: Duration = Duration::from_millis(500);

/// A voter's hello.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hello {
    pub disk: DiskId,
    pub boot: u64,
    pub nonce: u64,
    pub last: LogPos,
}

/// An instance that said hello and does not vote.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stranger {
    pub disk: DiskId,
    /// When it last said hello.
    pub seen: Mono,
}

/// Progress of a voter towards taking part.
#[derive(Debug, Default)]
pub(super) struct IdentityCheck {
    pub next_hello: Mono,
    first_hello: Option<Mono>,
    /// Voters that know no later state.
    known_by: IndexSet<InstanceId>,
    /// Voters that are blank too.
    blank: IndexSet<InstanceId>,
    /// Voters that know another disk for this instance.
    foreign_by: IndexSet<InstanceId>,
    /// Instances that said hello and do not vote.
    pub strangers: IndexMap<InstanceId, Stranger>,
    /// Instances that may take part in control, besides the voters.
    pub contacts: Vec<InstanceId>,
    /// True if other instances have a configuration.
    pub config_exists: bool,
    /// Why this voter will not take part with this disk.
    pub refusal: Option<&'static str>,
}

impl Raft {
    /// True if this disk has never been part of a control log.
    pub(super) fn is_blank(&self) -> bool {
        self.log.last().index == LogIndex::default() && self.hard.term.0 == 0
    }

    pub(super) fn say_hello(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if now < self.identity.next_hello {
            return;
        }
        let every = match (self.role, &self.params.repair) {
            (Role::Learner, None) => LEARNER_HELLO_EVERY,
            _ => HELLO_EVERY,
        };
        self.identity.next_hello = now + every;
        self.identity.first_hello.get_or_insert(now);
        self.verify(now, out);
        if !matches!(self.role, Role::Unverified | Role::Learner) {
            return;
        }
        self.send_hellos(out);
    }

    /// Shows itself to the voters and to all others that may know them.
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
        if self.identity.refusal == Some(OLD_COPY) {
            return;
        }
        let verdict = self.judge(from, hello);
        match verdict {
            HelloVerdict::Known | HelloVerdict::Blank => {
                let boot = Boot { disk: hello.disk, boot: hello.boot, nonce: hello.nonce };
                self.note_boot(from, boot, out);
            }
            HelloVerdict::Foreign | HelloVerdict::Outdated => {
                let stranger = Stranger { disk: hello.disk, seen: now };
                self.identity.strangers.insert(from.clone(), stranger);
            }
        }
        self.send(from, ControlBody::HelloReply { nonce: hello.nonce, verdict }, out);
    }

    /// Durably notes a start of another voter.
    fn note_boot(&mut self, from: &InstanceId, boot: Boot, out: &mut Vec<RaftOutput>) {
        if self.boots.get(from) == Some(&boot) {
            return;
        }
        self.boots.insert(from.clone(), boot);
        let records = vec![Record::Boot(from.clone(), boot)];
        out.push(RaftOutput::Persist(Persist::Append(records)));
    }

    fn judge(&self, from: &InstanceId, hello: Hello) -> HelloVerdict {
        if self.is_blank() {
            return HelloVerdict::Blank;
        }
        if self.voter_disk(from) != Some(hello.disk) {
            return HelloVerdict::Foreign;
        }
        let later_start = self.boots.get(from).is_some_and(|known| {
            let same_disk = known.disk == hello.disk;
            let same_start = known.nonce == hello.nonce;
            same_disk && !same_start && known.boot >= hello.boot
        });
        let acknowledged = self.acknowledged.get(&hello.disk).copied().unwrap_or_default();
        if later_start || acknowledged > hello.last {
            return HelloVerdict::Outdated;
        }
        HelloVerdict::Known
    }

    /// The disk of a voter: as the log has it, or while the log has none, as it showed itself.
    pub(super) fn voter_disk(&self, voter: &InstanceId) -> Option<DiskId> {
        let shown = || self.boots.get(voter).map(|b| b.disk);
        self.members.voters.get(voter).and_then(|disk| disk.or_else(shown))
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
        if self.role != Role::Unverified {
            // A late objection still counts.
            if verdict == HelloVerdict::Outdated {
                self.refuse(OLD_COPY, out);
            }
            return;
        }
        match verdict {
            HelloVerdict::Known => {
                self.identity.known_by.insert(from.clone());
            }
            HelloVerdict::Blank => {
                self.identity.blank.insert(from.clone());
            }
            HelloVerdict::Outdated => self.refuse(OLD_COPY, out),
            HelloVerdict::Foreign => {
                // One voter may lag behind a replacement; a majority does not.
                self.identity.foreign_by.insert(from.clone());
                let count = self.identity.foreign_by.len();
                if self.is_blank() || 2 * count > self.members.voters.len() {
                    self.refuse(FOREIGN_DISK, out);
                }
            }
        }
        self.verify(now, out);
    }

    /// Gives up on voting with this disk; it can still become a learner.
    fn refuse(&mut self, reason: &'static str, out: &mut Vec<RaftOutput>) {
        if self.identity.refusal.replace(reason).is_none() {
            let reason = SmolStr::new_static(reason);
            out.push(RaftOutput::Event(Event::VoterRefused { reason }));
        }
        // A voter that was replaced while it was away may come back as a learner with its own log.
        let may_follow = self.is_blank() || self.params.repair.is_some();
        if reason == FOREIGN_DISK && may_follow {
            self.role = Role::Learner;
        } else if reason == OLD_COPY {
            // It must not even follow: it could acknowledge again what it has lost.
            self.stop_leading(OLD_COPY, out);
            self.role = Role::Unverified;
        }
    }

    /// Takes part once enough voters know this disk.
    fn verify(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role != Role::Unverified || self.identity.refusal.is_some() {
            return;
        }
        if self.is_blank() {
            self.verify_blank(now, out);
            return;
        }
        let others = self.other_voters();
        let known = others.iter().filter(|v| self.identity.known_by.contains(*v)).count();
        // Only a leader knows what this disk has acknowledged: give every voter time to object.
        let waited = self.identity.first_hello.is_some_and(|at| now.since(at) >= OBJECTION_TIME);
        let heard_all = known == others.len();
        if self.is_majority(known) && (heard_all || waited) {
            self.role = Role::Follower;
            self.stand_soon(now);
        } else if !self.is_voter() {
            self.role = Role::Learner;
        }
    }

    fn verify_blank(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.identity.config_exists {
            self.refuse(FOREIGN_DISK, out);
            return;
        }
        let others = self.other_voters();
        let listed = self.params.initial_voters.contains(&self.params.me);
        if !listed {
            self.role = Role::Learner;
            return;
        }
        // One that knows this disk already has counted it among the founders.
        let founds =
            |v: &InstanceId| self.identity.blank.contains(v) || self.identity.known_by.contains(v);
        let shown = |v: &InstanceId| self.boots.contains_key(v);
        if !others.iter().all(|v| founds(v) && shown(v)) {
            return;
        }
        self.role = Role::Follower;
        self.stand_soon(now);
    }
}
