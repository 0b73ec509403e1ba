//! Runs the real programs as processes on loopback, hurts them from outside and checks their promises.
//!
//! Nothing here looks into the programs: the checks see what callers, servers and operators see.
//!
//! - [`fleet`]: settings, starts and signals of entries and controllers
//! - [`proxy`]: links between programs that can be delayed, reset, cut one way or silenced
//! - [`caller`]: callers, and operators
//! - [`ledger`]: what all of them saw, and the promises
//! - [`plan`]: faults drawn from a seed
//! - [`run`]: one seed from start to verdict

pub mod caller;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
