//! Ends of simulated servers.

use std::time::Duration;

use super::{Event, ONE_WAY_LATENCY, World};

/// Time in which a server that has ended starts again.
const RESTART_TIME: Duration = Duration::from_secs(1);

impl World {
    /// Ends a server with everything that it runs or has queued, and starts it again.
    pub(super) fn crash_server(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.incarnation += 1;
        let mut lost = std::mem::take(&mut s.running);
        lost.extend(s.queue.drain(..).map(|(attempt, ..)| attempt));
        for attempt in lost {
            let at = self.now + ONE_WAY_LATENCY;
            self.schedule(at, Event::AttemptFinished(attempt, server, 5));
        }
        self.schedule(self.now + RESTART_TIME, Event::ServerStarts(server));
    }
}
