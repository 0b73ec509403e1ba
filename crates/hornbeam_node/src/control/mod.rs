//! The control thread: membership, configuration and the sockets between instances.
//!
//! - [`handle`]: how the other threads talk to it
//! - [`net`]: datagrams and streams between instances
//! - [`run`]: the thread's loop

pub mod handle;
pub mod net;
pub mod run;

pub use handle::{
    ConfigView, ControlHandle, ControlRequest, ControlStatus, PeerStatus, ProposalResponse,
    ViewStatus,
};
pub use run::ControlThread;
