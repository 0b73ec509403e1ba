//! A simulated server with slots, a queue, pauses and faults.

use std::collections::VecDeque;
use std::time::Duration;

use hornbeam_model::{Mono, RequestRate, ServerId};
use hornbeam_route::{LoadNotice, PauseRequest, RateNotice, ServerNotice, StatedLoad};

use super::AttemptKey;

/// Fault of a simulated server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Works normally.
    None,
    /// Accepts requests without ever responding.
    Unresponsive,
    /// Takes this many times as long as normal.
    Slow(f64),
    /// Sheds this fraction of its requests without running them.
    Shed(f64),
    /// Responds to this fraction of its requests with an error.
    Error(f64),
    /// Refuses connections.
    Refused,
    /// Sheds every request and asks for a pause.
    Pause(Duration),
    /// Ends when it runs a request with this content, and starts anew at once.
    Crash(u64),
}

/// A simulated server.
pub struct SimServer {
    pub name: ServerId,
    /// Number of its start.
    pub incarnation: u64,
    pub slots: usize,
    pub fault: Fault,
    /// True once it states in its responses that it is leaving.
    pub leaving: bool,
    /// Interval between the starts of two pauses, and the length of a pause.
    pub pauses: Option<(Duration, Duration)>,
    pub(super) phase: Duration,
    pub(super) speed: f64,
    /// Factor on the work that starts while all slots are busy and others are queued.
    pub slowdown_when_full: f64,
    pub(super) running: Vec<AttemptKey>,
    /// Queued attempts with their work and deadline.
    pub(super) queue: VecDeque<(AttemptKey, Duration, Mono)>,
    pub(super) queue_limit: usize,
    pub arrivals: u64,
    /// True if it states its load in its responses.
    pub states_load: bool,
    /// End of the warm-up that its heartbeats state.
    pub cold_until: Mono,
    /// Remaining warm-up that it states in its responses.
    pub warm_up: Option<Duration>,
    /// Rate that it states in its responses.
    pub rate: Option<RequestRate>,
    /// Times at which requests arrived.
    pub arrived_at: Vec<Mono>,
}

impl SimServer {
    /// What the server states about itself in a response with this outcome.
    pub(super) fn notice(&self, outcome: u8) -> ServerNotice {
        let responds = outcome < 3;
        let pause = match self.fault {
            Fault::Pause(time) if outcome == 2 => Some(PauseRequest::For(time)),
            _ => None,
        };
        let rate = self.rate.filter(|_| responds).map_or(RateNotice::Unstated, RateNotice::Stated);
        let load = match self.states_load && responds {
            true => LoadNotice::Stated(self.load()),
            false => LoadNotice::Unstated,
        };
        let warm_up = self.warm_up.filter(|_| responds);
        ServerNotice { leaving: self.leaving && responds, pause, rate, warm_up, load }
    }

    /// The load that the server states, with the slowness of its fault.
    fn load(&self) -> StatedLoad {
        let slowness = if let Fault::Slow(x) = self.fault { x } else { 1.0 };
        StatedLoad {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.slots as u32,
            slowness_percent: (slowness * 100.0) as u32,
        }
    }

    /// End of work that starts now, including the pauses in between.
    pub(super) fn work_end(&self, now: Mono, work: Duration) -> Mono {
        let Some((every, length)) = self.pauses else { return now + work };
        let mut at = now;
        let mut remaining = work;
        loop {
            let since = Duration::from_micros((at + self.phase).0 % every.as_micros() as u64);
            if since < length {
                at = at + (length - since);
                continue;
            }
            let until_pause = every - since;
            if remaining <= until_pause {
                return at + remaining;
            }
            remaining -= until_pause;
            at = at + until_pause;
        }
    }
}
