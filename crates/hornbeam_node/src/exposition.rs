//! Metrics of a program in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registers a metric whose name and labels are constants.
///
/// # Panics
///
/// The name is not valid or is taken: a mistake in the program.
pub fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("names and labels are valid constants");
    registry.register(Box::new(metric.clone())).expect("each name is registered once");
    metric
}

/// All metrics as text.
pub fn encode_text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    if let Err(e) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        log::warn!("metrics cannot be encoded: {e}");
    }
    text
}
