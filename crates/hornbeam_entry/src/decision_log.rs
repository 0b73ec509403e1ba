//! Writes the engine's decisions to the log and counts them.

use hornbeam_route::{Attempt, Decision};
use serde_json::json;

use crate::core::Core;

impl Core {
    /// Logs and counts a request that was refused because its head is longer than the limit in force.
    pub(crate) fn record_refused_head(&self) {
        self.metrics.refusals.with_label_values(&["HeadTooLong"]).inc();
        let table = self.with_engine(|e| e.table().map(|t| t.version));
        let limit_bytes = self.caller_limits.get().map(|l| l.max_header_bytes);
        let fields =
            json!({"decision": "head_refused", "limit_bytes": limit_bytes, "table": table});
        self.log.write("head_refused", true, &fields);
    }

    /// Logs and counts a request that was refused because there is no memory for its body.
    pub(crate) fn record_refused_body(&self) {
        self.metrics.refusals.with_label_values(&["NoMemory"]).inc();
        let fields = json!({"decision": "body_refused", "reserved_bytes": self.memory.used()});
        self.log.write("body_refused", true, &fields);
    }

    /// Logs and counts a response that does not count for its request. `reason` labels the count, `problem`
    /// tells more.
    pub(crate) fn record_discarded(
        &self,
        attempt: &Attempt,
        request: &str,
        reason: &'static str,
        problem: &str,
    ) {
        self.metrics.discarded_responses.with_label_values(&[reason]).inc();
        let fields = json!({
            "decision": "response_discarded", "request": request, "server": attempt.server,
            "reason": reason, "problem": problem,
        });
        self.log.write("response_discarded", true, &fields);
    }

    pub(crate) fn record_decision(&self, decision: &Decision) {
        let kind = match decision {
            Decision::Admitted { .. } => "admitted",
            Decision::Sent { kind, .. } => kind.label(),
            Decision::KeyRevoked { .. } => "key_revoked",
            Decision::HedgeDenied { .. } => "hedge_denied",
            Decision::AttemptFailed { .. } => "attempt_failed",
            Decision::Answered { took_ms, missing, .. } => {
                let outcome = if *missing > 0 { "short" } else { "complete" };
                self.observe_request(outcome, *took_ms);
                outcome
            }
            Decision::Refused { reason, team, took_ms, .. } => {
                self.observe_request("refused", *took_ms);
                // The name of the variant is the value of the metric label.
                let reason = format!("{reason:?}");
                self.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
                if let Some(team) = team {
                    self.metrics.team_refusals.with_label_values(&[team.as_str()]).inc();
                }
                "refused"
            }
            Decision::CallerGone { .. } => "caller_gone",
            Decision::Ejected { .. } => "ejected",
            Decision::Restored { .. } => "restored",
            Decision::ZoneUnreachable { .. } => "zone_unreachable",
            Decision::ZoneRestored { .. } => "zone_restored",
            Decision::ZoneEvacuated { .. } => "zone_evacuated",
            Decision::ZoneReturned { .. } => "zone_returned",
            Decision::ServersLost { .. } => {
                self.metrics.detached.set(1);
                "servers_lost"
            }
            Decision::ServersReached { .. } => {
                self.metrics.detached.set(0);
                "servers_reached"
            }
            Decision::ServerPaused { .. } => {
                self.metrics.notices.with_label_values(&["pause"]).inc();
                "server_paused"
            }
            Decision::ServerRate { rate, .. } => {
                let label = if rate.is_some() { "rate" } else { "rate_withdrawn" };
                self.metrics.notices.with_label_values(&[label]).inc();
                "server_rate"
            }
            Decision::ServerCold { .. } => {
                self.metrics.notices.with_label_values(&["cold"]).inc();
                "server_cold"
            }
            Decision::ColdWait { .. } => {
                self.metrics.cold_waits.inc();
                "cold_wait"
            }
            Decision::ServerEnded { .. } => "server_ended",
            Decision::CopiesHeld { .. } => "copies_held",
            Decision::Quarantined { .. } => {
                self.metrics.quarantines.inc();
                "quarantined"
            }
            Decision::RateIgnored { .. } => {
                self.metrics.notices.with_label_values(&["unreadable"]).inc();
                "rate_ignored"
            }
            Decision::LoadIgnored { .. } => {
                self.metrics.notices.with_label_values(&["unreadable"]).inc();
                "load_ignored"
            }
            Decision::PauseIgnored { .. } => {
                self.metrics.notices.with_label_values(&["unreadable"]).inc();
                "pause_ignored"
            }
            Decision::ServerChanged { why: "leaving", .. } => {
                self.metrics.notices.with_label_values(&["leaving"]).inc();
                "server_changed"
            }
            Decision::ServerChanged { .. } => "server_changed",
            Decision::ZoneSpill { share, .. } => {
                let change = if *share > 0.0 { "began" } else { "ended" };
                self.metrics.zone_spills.with_label_values(&[change]).inc();
                "zone_spill"
            }
            Decision::TeamOverQuota { .. } => "team_over_quota",
            Decision::TableInForce { .. } => "table_in_force",
            Decision::Delegated { .. } => "delegated",
            Decision::GroupFailed { .. } => "group_failed",
            Decision::Relayed { .. } => {
                self.metrics.relayed_groups.inc();
                "relayed"
            }
            Decision::GroupRefused { .. } => "group_refused",
            Decision::Gathering { .. } => "gathering",
            Decision::Gathered { missing, .. } if *missing > 0 => "gathered_short",
            Decision::Gathered { .. } => "gathered",
            Decision::PeerSuspected { .. } => "peer_suspected",
            Decision::PeerRestored { .. } => "peer_restored",
        };
        self.log.write(kind, decision.is_failure(), decision);
    }

    fn observe_request(&self, outcome: &str, ms: u64) {
        self.metrics.request_seconds.with_label_values(&[outcome]).observe(ms as f64 / 1e3);
    }
}
