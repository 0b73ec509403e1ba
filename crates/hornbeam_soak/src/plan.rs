//! Faults drawn from a seed. They overlap and come in series; those that cost a controller its place
//! come one after the other, as many as the fleet bears.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkState;
use hornbeam_standin::routed::{SERVER_FAULTS, ServerFault};

/// Time between the ends of two losses of controllers: a replaced voter has then caught up.
const LOSS_GAP: Duration = Duration::from_secs(5);

/// What is done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed and started again.
    KillEntry(usize),
    /// An entry is stopped in good order and started again.
    StopEntry(usize),
    /// A program stands still for a time.
    Freeze {
        /// True for a controller.
        controller: bool,
        /// Which one.
        which: usize,
        /// For how long.
        time: Duration,
    },
    /// A controller is killed and started again, with an empty disk if `wipe`.
    KillController {
        /// Which one.
        which: usize,
        /// Whether its disk is lost.
        wipe: bool,
    },
    /// Every controller is killed and started again.
    KillControllers,
    /// The links to a controller behave badly for a time.
    Links {
        /// Which one.
        which: usize,
        /// How.
        state: LinkState,
        /// For how long.
        time: Duration,
    },
    /// The links from other entries to an entry behave badly for a time.
    EntryLinks {
        /// Which one.
        which: usize,
        /// How.
        state: LinkState,
        /// For how long.
        time: Duration,
    },
    /// Every connection to a controller is reset.
    Reset(usize),
    /// Every connection of other entries to an entry is reset.
    ResetEntry(usize),
    /// A server behaves badly for a time.
    Server {
        /// Which one.
        which: usize,
        /// How.
        fault: ServerFault,
        /// For how long.
        time: Duration,
    },
    /// A server leaves and another one comes.
    Replace(usize),
    /// Operators send tables, several at once.
    Tables(usize),
}

impl Fault {
    fn loses_controller(&self) -> bool {
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
            | Self::Server { time, .. } => *time,
            _ => Duration::from_secs(1),
        }
    }
}

/// Sizes of the fleet that faults are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Entries.
    pub entries: usize,
    /// Controllers.
    pub controllers: usize,
    /// Servers.
    pub servers: usize,
}

/// Faults with the time at which each begins, in order.
pub fn draw_faults(seed: u64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(300);
    let mut whole_again = Duration::ZERO;
    while at < length {
        let fault = draw_one(&mut rng, sizes);
        if !fault.loses_controller() || at >= whole_again {
            if fault.loses_controller() {
                whole_again = at + fault.time() + LOSS_GAP;
            }
            plan.push((at, fault));
        }
        at += Duration::from_millis(rng.random_range(50..900));
    }
    plan
}

fn draw_link_state(rng: &mut SmallRng) -> LinkState {
    let states =
        [LinkState::Slow, LinkState::CutInbound, LinkState::CutOutbound, LinkState::Blocked];
    *states.choose(rng).unwrap_or(&LinkState::Blocked)
}

fn draw_one(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let time = Duration::from_millis(rng.random_range(300..4_000));
    let entry = rng.random_range(0..sizes.entries);
    let which = rng.random_range(0..sizes.controllers);
    let server = rng.random_range(0..sizes.servers);
    match rng.random_range(0..17) {
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
        9 | 10 => {
            let fault = *SERVER_FAULTS.choose(rng).unwrap_or(&ServerFault::Unresponsive);
            Fault::Server { which: server, fault, time }
        }
        11 | 12 => Fault::Replace(server),
        _ => Fault::Tables(rng.random_range(1..4)),
    }
}
