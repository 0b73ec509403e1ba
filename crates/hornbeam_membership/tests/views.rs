//! Views between instances: push, fetch, confirmation and expiry.

use std::collections::VecDeque;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_membership::{Input, Membership, MembershipParams, Output};
use hornbeam_model::{Incarnation, InstanceId, Mono, ServerState};
use hornbeam_protocol::Message;
use hornbeam_testkit::samples;

const STEP: Duration = Duration::from_millis(10);

/// Simulated network of instances; a message arrives at the next step.
struct Net {
    now: Mono,
    nodes: Vec<Option<Membership>>,
    /// Messages that arrive at the next step: sender, receiver and content.
    in_transit: VecDeque<(usize, usize, Message)>,
    /// Last state of the server that each instance reported: true if listed, false if gone.
    listed: Vec<Option<bool>>,
    /// Number of expired views.
    expired: u32,
    /// Pairs of instances between which messages are lost in both directions.
    broken_links: Vec<(usize, usize)>,
}

fn name(n: usize) -> InstanceId {
    format!("node-{n}").parse().unwrap()
}

impl Net {
    fn new(count: usize) -> Self {
        let node = |n: usize| {
            let others = (0..count).filter(|p| *p != n);
            Some(Membership::new(MembershipParams {
                instance: name(n),
                zone: "a".parse().unwrap(),
                incarnation: Incarnation(1),
                lease: Duration::from_millis(1_600),
                peers: others.map(|p| (name(p), "a".parse().unwrap())).collect(),
                seed: n as u64,
            }))
        };
        Self {
            now: Mono::from_millis(1),
            nodes: (0..count).map(node).collect(),
            in_transit: VecDeque::new(),
            listed: vec![None; count],
            expired: 0,
            broken_links: Vec::new(),
        }
    }

    fn process_outputs(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| name(*n) == to).unwrap();
                    let lost = self.broken_links.contains(&(from, to))
                        || self.broken_links.contains(&(to, from));
                    if !lost {
                        self.in_transit.push_back((from, to, message));
                    }
                }
                Output::Listed(_) => self.listed[from] = Some(true),
                Output::Gone(_) => self.listed[from] = Some(false),
                Output::Event(Event::ViewLapsed { .. }) => self.expired += 1,
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, to, message) in std::mem::take(&mut self.in_transit) {
            let Some(node) = &mut self.nodes[to] else { continue };
            let mut out = Vec::new();
            node.step(self.now, Input::Message { from: name(from), message }, &mut out);
            self.process_outputs(to, out);
        }
        for n in 0..self.nodes.len() {
            // Instances start 130 ms apart, so that they do not send their digests at the same
            // time.
            let started = self.now >= Mono::from_millis(130 * n as u64);
            let Some(node) = self.nodes[n].as_mut().filter(|_| started) else { continue };
            let mut out = Vec::new();
            node.step(self.now, Input::Tick, &mut out);
            self.process_outputs(n, out);
        }
    }

    /// Advances the time by `ms`; the server announces every half second to `registrar`, if one is
    /// given.
    fn run(&mut self, ms: u64, registrar: Option<usize>) {
        for step in 0..ms / 10 {
            if let Some(n) = registrar.filter(|_| step % 50 == 0) {
                self.announce(n, ServerState::Ready);
            }
            self.step();
        }
    }

    fn announce(&mut self, registrar: usize, state: ServerState) {
        let mut a = samples::announcement("s", "a", "planner", vec![samples::holding(1, 4, 0..4)]);
        a.seq = self.now.as_millis();
        a.state = state;
        let mut out = Vec::new();
        let node = self.nodes[registrar].as_mut().unwrap();
        node.announce(self.now, &a, &mut out).unwrap();
        self.process_outputs(registrar, out);
    }
}

#[test]
fn all_informed() {
    for count in [2, 3, 9, 30] {
        let mut net = Net::new(count);
        net.run(1_000, Some(0));
        assert_eq!(net.listed, vec![Some(true); count]);
    }
}

#[test]
fn dead_view_expires() {
    // After a crash of the registrar, its view must expire everywhere: the other instances must not
    // keep confirming it to each other.
    for (count, case) in [3, 4, 9].into_iter().flat_map(|c| (0..25).map(move |d| (c, d))) {
        let mut net = Net::new(count);
        net.run(3_000 + 40 * case, Some(0));
        net.nodes[0] = None;
        // The TTL of a view, and 10 ms for each hop, which the ages in digests do not include.
        net.run(1_350 + 150, None);
        for listed in &net.listed[1..] {
            assert_eq!(*listed, Some(false), "{count} instances, case {case}");
        }
        for _ in 0..300 {
            net.step();
            assert!(net.listed[1..].iter().all(|l| *l == Some(false)), "the expired view returned");
        }
    }
}

#[test]
fn relayed_age() {
    // An instance whose view expired fetches it from another one whose confirmation is a second
    // old. Neither instance may treat the confirmation as more recent afterwards.
    let mut net = Net::new(3);
    net.run(3_000, Some(0));
    net.broken_links = vec![(0, 2), (1, 2)];
    net.run(1_500, Some(0));
    assert_eq!(net.listed[2], Some(false));
    let age = |net: &Net| {
        let views = net.nodes[1].as_ref().unwrap().views(net.now);
        views.filter(|v| *v.0 == name(0)).map(|v| v.2).next().unwrap()
    };
    while age(&net) > 2 * STEP {
        net.step();
    }
    net.nodes[0] = None;
    net.run(800, None);
    assert_eq!(net.listed[1], Some(true), "the view has not expired yet");
    net.broken_links.clear();
    net.run(650, None);
    assert_eq!(net.listed[1..], [Some(false), Some(false)]);
}

#[test]
fn broken_link_bridged() {
    // One instance receives nothing from the registrar; the other instances relay its view.
    let mut net = Net::new(4);
    net.broken_links = vec![(0, 1)];
    net.run(10_000, Some(0));
    assert_eq!(net.listed, vec![Some(true); 4]);
    net.announce(0, ServerState::Draining);
    net.run(1_500, None);
    let views: Vec<u64> =
        net.nodes[1].as_ref().unwrap().views(net.now).map(|v| v.1.version).collect();
    assert!(views.contains(&2), "the drain arrives through the other instances: {views:?}");
}

#[test]
fn registrar_replaced() {
    let mut net = Net::new(3);
    net.run(2_000, Some(0));
    net.nodes[0] = None;
    net.run(4_000, Some(1));
    assert_eq!(net.listed[1..], [Some(true), Some(true)]);
}

#[test]
fn lower_incarnation() {
    // A registrar restarts with a lower incarnation, as after a backward clock adjustment; its
    // server must stay listed.
    let mut net = Net::new(3);
    net.run(2_000, Some(0));
    let params = MembershipParams {
        instance: name(0),
        zone: "a".parse().unwrap(),
        incarnation: Incarnation(0),
        lease: Duration::from_millis(1_600),
        peers: vec![(name(1), "a".parse().unwrap()), (name(2), "a".parse().unwrap())],
        seed: 9,
    };
    net.nodes[0] = Some(Membership::new(params));
    net.run(5_000, Some(0));
    assert_eq!(net.listed, vec![Some(true); 3]);
}

#[test]
fn no_flapping() {
    // No view expires while all instances run.
    for count in [2, 3, 9, 17, 30] {
        let mut net = Net::new(count);
        net.run(2_000, Some(0));
        for _ in 0..40 {
            net.run(500, Some(0));
            assert_eq!(net.listed, vec![Some(true); count], "{count} instances at {}", net.now);
        }
        assert_eq!(net.expired, 0, "{count} instances");
    }
}
