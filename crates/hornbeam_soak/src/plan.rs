//! Random faults, drawn from a seed.
//!
//! Faults follow each other within less than a second and may overlap. Those that can remove a
//! controller from the voters never overlap, because the fleet tolerates the loss of one at a time.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkState;
use hornbeam_standin::routed::{ROUTED_FAULTS, RoutedFault};

/// Time from the end of a controller fault to the next one, in which a replaced voter catches up.
const CONTROLLER_FAULT_GAP: Duration = Duration::from_secs(5);

/// Fault, or other disturbance, that is injected into the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills and restarts an entry.
    KillEntry(usize),
    /// Stops an entry by SIGTERM and restarts it after its grace period.
    StopEntry(usize),
    /// Suspends a program for a time.
    Freeze {
        /// Whether the program is a controller; otherwise it is an entry.
        controller: bool,
        /// Index of the program or server among those of its kind.
        which: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// Kills and restarts a controller.
    KillController {
        /// Index of the program or server among those of its kind.
        which: usize,
        /// Whether its data is deleted before the restart.
        wipe: bool,
    },
    /// Kills and restarts every controller.
    KillControllers,
    /// Ends all programs at the same moment and starts them again after the outage.
    LosePower {
        /// Time for which nothing runs.
        outage: Duration,
    },
    /// Sets the state of the links to a controller for a time.
    Links {
        /// Index of the program or server among those of its kind.
        which: usize,
        /// State of the links.
        state: LinkState,
        /// Duration of the fault.
        time: Duration,
    },
    /// Sets the state of the links from other entries to an entry for a time.
    EntryLinks {
        /// Index of the program or server among those of its kind.
        which: usize,
        /// State of the links.
        state: LinkState,
        /// Duration of the fault.
        time: Duration,
    },
    /// Sets the state of the links from an entry to all servers for a time; its other links work.
    ServerLinks {
        /// Index of the program or server among those of its kind.
        which: usize,
        /// State of the links.
        state: LinkState,
        /// Whether open connections are reset at the start.
        reset: bool,
        /// Duration of the fault.
        time: Duration,
    },
    /// Closes every connection to a controller.
    Reset(usize),
    /// Closes every connection of other entries to an entry.
    ResetEntry(usize),
    /// Injects a fault into a server for a time.
    Server {
        /// Index of the program or server among those of its kind.
        which: usize,
        /// Fault of the server.
        fault: RoutedFault,
        /// Duration of the fault.
        time: Duration,
    },
    /// Starts a new server of a service and drains an old one.
    Replace(usize),
    /// Sends this number of routing tables one after the other, each to another controller first.
    Tables(usize),
    /// Raises the limit on request heads; callers then send long heads on the connections that they have.
    RaiseLimit,
}

impl Fault {
    fn is_controller_fault(&self) -> bool {
        matches!(
            self,
            Self::KillController { .. }
                | Self::KillControllers
                | Self::Links { .. }
                | Self::Freeze { controller: true, .. }
        )
    }

    fn time(&self) -> Duration {
        match self {
            Self::Freeze { time, .. }
            | Self::Links { time, .. }
            | Self::EntryLinks { time, .. }
            | Self::ServerLinks { time, .. }
            | Self::Server { time, .. } => *time,
            _ => Duration::from_secs(1),
        }
    }
}

/// Numbers of programs and servers from which faults choose their targets.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of entries.
    pub entries: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of servers.
    pub servers: usize,
}

/// Draws the faults of a run of `length`, each with its start time, in order.
pub fn draw_faults(seed: u64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(300);
    let mut next_controller_fault = Duration::ZERO;
    while at < length {
        let fault = draw_fault(&mut rng, sizes);
        if !fault.is_controller_fault() || at >= next_controller_fault {
            if fault.is_controller_fault() {
                next_controller_fault = at + fault.time() + CONTROLLER_FAULT_GAP;
            }
            plan.push((at, fault));
        }
        at += Duration::from_millis(rng.random_range(50..900));
    }
    plan.extend(draw_separate_faults(seed, sizes, length));
    plan.extend(draw_spoilt_responses(seed, sizes, length));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Draws the faults with a generator of their own, beside which the other faults of a seed stay as they are: a
/// raised limit, servers that state falsely that they have not run requests, and a loss of all power.
fn draw_separate_faults(seed: u64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    // Late, so that connections from before are still open when callers use the raised limit.
    let mut plan = vec![(length.mul_f64(rng.random_range(0.8..1.0)), Fault::RaiseLimit)];
    let mut at = Duration::from_millis(rng.random_range(300..2_000));
    while at < length {
        let which = rng.random_range(0..sizes.servers);
        let time = Duration::from_millis(rng.random_range(300..2_000));
        plan.push((at, Fault::Server { which, fault: RoutedFault::FalseRefusal, time }));
        at += Duration::from_millis(rng.random_range(500..3_000));
    }
    if rng.random_bool(0.5) {
        // Comes last, since the fleet tolerates no further fault of a controller before it has recovered.
        let outage = Duration::from_millis(rng.random_range(0..3_000));
        plan.push((length + Duration::from_millis(300), Fault::LosePower { outage }));
    }
    plan
}

/// Draws servers whose responses are spoilt or do not end, with a generator of their own.
fn draw_spoilt_responses(seed: u64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(300..2_000));
    while at < length {
        let which = rng.random_range(0..sizes.servers);
        let time = Duration::from_millis(rng.random_range(300..2_000));
        let fault = match rng.random_bool(0.7) {
            true => RoutedFault::SpoiltHead,
            false => RoutedFault::EndlessBody,
        };
        plan.push((at, Fault::Server { which, fault, time }));
        at += Duration::from_millis(rng.random_range(500..3_000));
    }
    plan
}

fn draw_link_state(rng: &mut SmallRng) -> LinkState {
    let states =
        [LinkState::Slow, LinkState::CutInbound, LinkState::CutOutbound, LinkState::Blocked];
    *states.choose(rng).unwrap_or(&LinkState::Blocked)
}

fn draw_fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let time = Duration::from_millis(rng.random_range(300..4_000));
    let entry = rng.random_range(0..sizes.entries);
    let which = rng.random_range(0..sizes.controllers);
    let server = rng.random_range(0..sizes.servers);
    match rng.random_range(0..20) {
        0 => Fault::KillEntry(entry),
        1 => Fault::StopEntry(entry),
        2 => Fault::Freeze { controller: false, which: entry, time },
        3 => Fault::Freeze { controller: true, which, time },
        4 => Fault::KillController { which, wipe: rng.random_bool(0.5) },
        5 => Fault::KillControllers,
        6 | 7 => Fault::Links { which, state: draw_link_state(rng), time },
        8 => Fault::Reset(which),
        14 | 15 => Fault::EntryLinks { which: entry, state: draw_link_state(rng), time },
        16 => Fault::ResetEntry(entry),
        17..20 => {
            let reset = rng.random_bool(0.3);
            let state = match rng.random_bool(0.5) {
                true => LinkState::Blocked,
                false => LinkState::RefusesNew,
            };
            Fault::ServerLinks { which: entry, state, reset, time }
        }
        9 | 10 => {
            let fault = *ROUTED_FAULTS.choose(rng).unwrap_or(&RoutedFault::Unresponsive);
            Fault::Server { which: server, fault, time }
        }
        11 | 12 => Fault::Replace(server),
        _ => Fault::Tables(rng.random_range(1..4)),
    }
}
