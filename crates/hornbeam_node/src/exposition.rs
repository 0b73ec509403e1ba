//! Registration of metrics and their encoding in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registers a metric whose name and labels are constants.
///
/// # Panics
///
/// Panics if the name is invalid or already registered, which is a programming error.
pub fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("names and labels are valid constants");
    registry.register(Box::new(metric.clone())).expect("each name is registered once");
    metric
}

/// Encodes all registered metrics. On an encoding error, logs a warning and returns what was
/// encoded so far.
pub fn encode_text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    if let Err(e) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        log::warn!("metrics cannot be encoded: {e}");
    }
    text
}
