//! Routing decisions of an entry: matching, placement, hedging, retries and completion.
//!
//! Requests are opaque: a request goes to one server of a service, or to one server of every shard
//! of an index, whose responses are merged. This crate does no I/O.
//!
//! - `access`: detects that this entry reaches no backend server
//! - [`budget`]: limit on hedges and retries per service
//! - [`claim`]: rank, team and patience of a request
//! - [`cold_limit`]: this entry's part of the rate that a cold server bears
//! - `copy_hold`: second copies of the shards of a search under which servers end
//! - [`contact`]: whether the keys that this entry knows can be relied on
//! - [`crash_history`]: requests that end the servers that run them
//! - `demand`: request rate of this entry and its part of that of all entries
//! - [`fleet_size`]: number of entries that share a limit
//! - `rate_meter`: mean rate of requests
//! - [`quota`]: quotas of teams over all entries together
//! - [`rate_limit`]: this entry's part of the rates that servers state
//! - [`fair_share`]: fair queueing between teams, by work
//! - [`kind_shares`]: refusals of more and less urgent kinds of requests
//! - [`server`]: measurements and limits of one backend server
//! - [`service`]: servers and request queue of one service
//! - [`request`]: state of one running request
//! - `silence`: detects that a set of servers has become silent together
//! - `region_rule`: regions in which a request may be handled
//! - `zone_rules`: evacuated zones, and the regions of zones
//! - [`zones`]: detects that a whole zone has become unreachable
//! - [`spill`]: decides when requests leave the zone, and how many
//! - [`split`]: weighted distribution of requests over services
//! - [`stated_load`]: load that a server states, and what it adds to the cost of the server
//! - [`merge`]: merges the records of shard responses into one ranking
//! - [`notice`]: servers that leave, ask for a pause or state a rate
//! - [`decision`]: decisions and their reasons, for the log
//! - [`peers`]: other entries, and the choice of gathering entries for shard groups
//! - [`engine`]: state machine of all requests of one entry, `step(now, input) -> outputs`

mod access;
pub mod budget;
pub mod claim;
pub mod cold_limit;
pub mod contact;
mod copy_hold;
pub mod crash_history;
pub mod decision;
mod demand;
pub mod engine;
pub mod fair_share;
pub mod fleet_size;
pub mod kind_shares;
pub mod merge;
pub mod notice;
pub mod peers;
pub mod quota;
pub mod rate_limit;
mod rate_meter;
mod region_rule;
pub mod request;
pub mod server;
pub mod service;
mod silence;
pub mod spill;
pub mod split;
pub mod stated_load;
mod zone_rules;
pub mod zones;

pub use budget::{RetryBudget, RetryBudgetParams};
pub use cold_limit::ColdBounds;
pub use contact::ControllerContact;
pub use crash_history::CrashHistory;
pub use decision::{AttemptKind, Decision, GroupFailure};
pub use engine::{
    Attempt, AttemptOutcome, Completion, Counters, Delegation, Engine, EngineParams, GroupEvent,
    GroupReport, GroupRequest, Input, Output, ServerChange, ServerHealthReport, TeamField,
    group_size,
};
pub use merge::{RECORD_BYTES, merge_records};
pub use notice::{LeavingServer, MAX_PAUSE, PauseRequest, RateNotice, ServerNotice};
pub use peers::{Peer, Peers, ProbePath};
pub use quota::{OverQuota, QuotaBounds, Quotas};
pub use request::{Refusal, RefusalKind};
pub use spill::SpillParams;
pub use stated_load::{LoadNotice, StatedLoad};
