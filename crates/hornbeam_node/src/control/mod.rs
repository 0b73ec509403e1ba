//! The control thread, which runs membership, the configuration and the sockets between instances.
//!
//! - [`handle`]: requests from other threads to the control thread
//! - [`net`]: datagrams and streams between instances
//! - [`run`]: the event loop of the thread

pub mod handle;
pub mod net;
pub mod run;

pub use handle::{
    ConfigView, ControlHandle, ControlRequest, ControlStatus, PeerStatus, ProposalResponse,
    ViewStatus,
};
pub use run::ControlThread;
