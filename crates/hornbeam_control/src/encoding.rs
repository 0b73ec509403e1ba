//! Encoding of the replicated state in snapshots.
//!
//! Builds before the orders about zones wrote the state alone and ignore bytes after it. The orders
//! follow the state, and only once there has been one.

use std::sync::Arc;

use hornbeam_model::OrderIndex;

use crate::state::ControlState;

/// Encodes a state.
///
/// # Errors
///
/// Fails if a value cannot be encoded.
pub fn encode_state(state: &ControlState) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_allocvec(state)?;
    if state.zone_orders.index == OrderIndex(0) {
        return Ok(bytes);
    }
    postcard::to_extend(&*state.zone_orders, bytes)
}

/// Decodes a state of this build or an earlier one.
///
/// # Errors
///
/// Fails if the bytes are no encoded state.
pub fn decode_state(bytes: &[u8]) -> postcard::Result<ControlState> {
    let (mut state, rest) = postcard::take_from_bytes::<ControlState>(bytes)?;
    if !rest.is_empty() {
        state.zone_orders = Arc::new(postcard::from_bytes(rest)?);
    }
    Ok(state)
}
