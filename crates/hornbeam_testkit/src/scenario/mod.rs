//! Parser and runner of scenario files.
//!
//! docs/SCENARIOS.md describes the language.
//!
//! - [`parse`]: parses the statements of a file, one per line
//! - [`run`]: simulates instances, servers and voters and checks the expectations

pub mod parse;
pub mod run;

pub use parse::{Action, Expect, Fault, Scenario, ScenarioError, Statement, parse};
pub use run::{Outcome, run};
