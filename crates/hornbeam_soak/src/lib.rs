//! Runs the production programs as processes on loopback, injects faults from outside and checks
//! the guarantees of the system.
//!
//! The checks are black-box: they use only what callers, servers and operators observe.
//!
//! - [`entry_links`]: links between entries and servers, cut apart from all others
//! - [`fleet`]: settings, processes and signals of entries and controllers
//! - [`proxy`]: proxies between programs that delay, reset, cut or block links
//! - [`caller`]: callers and operators
//! - [`ledger`]: observations of callers, servers and operators, and checks of the guarantees
//! - [`plan`]: random faults, drawn from a seed
//! - [`run`]: a complete run of one seed
//! - [`tables`]: routing tables that operators send

pub mod caller;
pub mod entry_links;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod tables;
