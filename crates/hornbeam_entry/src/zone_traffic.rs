//! Counts what is exchanged with the servers of each zone.

use hornbeam_route::Attempt;

use crate::backends::Exchange;
use crate::core::{Core, ForwardedRequest};

/// Metric label of the zone that an attempt goes to.
fn zone_label(attempt: &Attempt) -> &'static str {
    if attempt.leaves_zone { "other" } else { "own" }
}

impl Core {
    /// Counts an attempt that is sent.
    pub(crate) fn count_attempt(&self, attempt: &Attempt) {
        self.metrics.attempts.with_label_values(&[attempt.kind.label()]).inc();
        self.metrics.zone_attempts.with_label_values(&[zone_label(attempt)]).inc();
    }

    /// Counts the bytes of an attempt. Those of a request whose response has been read are what the
    /// next request of the service is expected to need.
    pub(crate) fn count_bytes(
        &self,
        attempt: &Attempt,
        request: &ForwardedRequest,
        exchange: &Exchange,
    ) {
        let sent = request.head.len() + request.body.len();
        let received = exchange.response.as_ref().map(|r| r.head_len() + r.body.len());
        let bytes = sent + received.unwrap_or(0);
        self.metrics.zone_bytes.with_label_values(&[zone_label(attempt)]).inc_by(bytes as u64);
        if received.is_some() {
            self.with_engine_mut(|e| e.record_bytes(&attempt.server, bytes));
        }
    }
}
