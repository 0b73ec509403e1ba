//! Reconstructs the outcome of one request and its cause from the logs of entries and controllers.

use std::collections::BTreeMap;

use hornbeam_events::out;
use serde_json::Value;

use crate::args::ExplainArgs;
use crate::client::CommandError;
use crate::logs::{LogLine, read_all};

/// Kinds of `belief` lines that are shown with a request: the latest of each kind, up to the last
/// line of the request.
const BELIEF_KINDS: [&str; 6] =
    ["cut_off", "feed_lost", "feed_open", "suspended", "settings_reloaded", "controller_heard"];
/// Kinds of `decision` lines that change an entry's state; shown like [`BELIEF_KINDS`].
const STATE_DECISIONS: [&str; 6] = [
    "table_in_force",
    "ejected",
    "server_changed",
    "server_paused",
    "servers_lost",
    "servers_reached",
];

/// The outcome of a request and its cause.
#[derive(Debug, Default)]
pub struct Explanation {
    /// Log lines of the request, ordered by time.
    pub lines: Vec<LogLine>,
    /// Latest beliefs and state changes, up to the last line of the request, of the instances that
    /// logged it.
    pub beliefs: Vec<LogLine>,
    /// The outcome and its cause in one sentence.
    pub cause: String,
}

fn str_field<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.fields.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn u64_field(line: &LogLine, field: &str) -> u64 {
    line.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
}

/// Explains the request with the id `request` from the lines of all logs.
pub fn explain(request: &str, mut all: Vec<LogLine>) -> Explanation {
    all.sort_by_key(|l| l.unix_ms);
    let lines: Vec<LogLine> =
        all.iter().filter(|l| str_field(l, "request") == request).cloned().collect();
    let Some(last) = lines.last() else {
        let cause = "no log contains the request: it did not reach an entry, the log rate limit \
                     dropped its lines, or a log is missing";
        return Explanation { cause: cause.to_owned(), ..Explanation::default() };
    };
    let mut latest: BTreeMap<(String, String), LogLine> = BTreeMap::new();
    // Includes the entries that gathered some of its shards.
    let is_involved = |l: &&LogLine| lines.iter().any(|own| own.instance == l.instance);
    for line in all.iter().filter(is_involved).filter(|l| l.unix_ms <= last.unix_ms) {
        let kind = match (str_field(line, "belief"), str_field(line, "decision")) {
            (belief, _) if BELIEF_KINDS.contains(&belief) => belief,
            (_, decision) if STATE_DECISIONS.contains(&decision) => decision,
            _ => continue,
        };
        let about = format!("{}{}", str_field(line, "server"), str_field(line, "controller"));
        let is_shown = about.is_empty()
            || kind.starts_with("feed")
            || lines.iter().any(|l| str_field(l, "server") == str_field(line, "server"));
        if is_shown {
            let about = format!("{} {about}", line.instance);
            latest.insert((kind.to_owned(), about), line.clone());
        }
    }
    let beliefs: Vec<LogLine> = latest.into_values().collect();
    let cause = format!("{}{}", describe_cause(&lines), network_hint(&beliefs));
    Explanation { lines, beliefs, cause }
}

/// Returns a hint to check the network of an entry that had lost at least half of its controllers.
fn network_hint(beliefs: &[LogLine]) -> String {
    let of_kind =
        |kind: &'static str| beliefs.iter().filter(move |l| str_field(l, "belief") == kind);
    let is_reopened = |lost: &LogLine| {
        let same = |l: &&LogLine| {
            l.instance == lost.instance
                && str_field(l, "controller") == str_field(lost, "controller")
        };
        of_kind("feed_open").find(same).is_some_and(|l| l.unix_ms > lost.unix_ms)
    };
    let lost = of_kind("feed_lost").filter(|l| !is_reopened(l)).count();
    let known = of_kind("feed_open").count().max(lost);
    if lost == 0 || 2 * lost < known {
        return String::new();
    }
    format!("; the entry had lost {lost} of {known} controllers: check its network")
}

/// Describes the shard groups that were relayed, that another entry did not gather, or that it gathered
/// without all shards.
fn describe_groups(lines: &[LogLine]) -> String {
    let mut message = String::new();
    for l in lines {
        match str_field(l, "decision") {
            "group_failed" => message.push_str(&format!(
                "; {} did not gather {} shards ({}) after {} ms, {} were reclaimed",
                str_field(l, "peer"),
                u64_field(l, "shards"),
                str_field(l, "reason"),
                u64_field(l, "after_ms"),
                u64_field(l, "sent_from_here")
            )),
            "relayed" => message.push_str(&format!(
                "; {} reached no server of {} shards and relayed them to {}",
                l.instance,
                u64_field(l, "shards"),
                str_field(l, "peer")
            )),
            "group_refused" => message.push_str(&format!(
                "; {} refused {} shards ({}) after {} ms",
                str_field(l, "peer"),
                u64_field(l, "shards"),
                str_field(l, "reason"),
                u64_field(l, "after_ms")
            )),
            "gathered" if u64_field(l, "missing") > 0 => message.push_str(&format!(
                "; {} gathered a group without {} shards: {} waited for capacity, {} were \
                 outstanding",
                l.instance,
                u64_field(l, "missing"),
                u64_field(l, "waiting"),
                u64_field(l, "late")
            )),
            _ => {}
        }
    }
    message
}

/// Describes the outcome of a request in one sentence: its last decision and its failed attempts.
fn describe_cause(lines: &[LogLine]) -> String {
    let with =
        |decision: &'static str| lines.iter().filter(move |l| str_field(l, "decision") == decision);
    let failures: Vec<String> = with("attempt_failed")
        .map(|l| {
            let (server, outcome) = (str_field(l, "server"), str_field(l, "outcome"));
            let retried = l.fields.get("retried").and_then(Value::as_bool).unwrap_or_default();
            let action = if retried { "retried" } else { "not retried" };
            format!("{server}: {outcome} after {} ms, {action}", u64_field(l, "after_ms"))
        })
        .collect();
    let failures = if failures.is_empty() {
        String::new()
    } else {
        format!("; failed attempts: {}", failures.join("; "))
    };
    let failures = format!("{}{failures}", describe_groups(lines));
    if let Some(l) = with("refused").next_back() {
        let took = u64_field(l, "took_ms");
        let reason = match str_field(l, "reason") {
            "overloaded" => format!(
                "it was shed after {took} ms and has not run: {} requests waited for its \
                 service, with {} usable servers",
                u64_field(l, "queue"),
                u64_field(l, "usable")
            ),
            "no_server" => format!(
                "it was refused after {took} ms and has not run: too few of its servers are \
                 known and usable ({} usable)",
                u64_field(l, "usable")
            ),
            "quarantined" => {
                "servers have ended while they ran the same request before; it has not run"
                    .to_owned()
            }
            "draining" => {
                "the entry was shutting down and could not finish it; it has not run".to_owned()
            }
            "no_table" => "the entry had no routing table yet; it has not run".to_owned(),
            "no_route" => "no route of the table in force matches it; it has not run".to_owned(),
            "timed_out" => format!("no response came within {took} ms; it may have run"),
            reason => format!("its servers {reason} after {took} ms; it may have run"),
        };
        return format!("{reason}{failures}");
    }
    if let Some(l) = with("answered").next_back() {
        let missing = u64_field(l, "missing");
        if missing == 0 {
            return format!(
                "it was answered completely after {} ms{failures}",
                u64_field(l, "took_ms")
            );
        }
        let (waiting, late) = (u64_field(l, "waiting"), u64_field(l, "late"));
        let denied = with("hedge_denied").count();
        let failed = missing.saturating_sub(waiting + late);
        return format!(
            "it was answered after {} ms without {missing} shards because its objective was \
             due: {waiting} waited for server capacity, {late} were outstanding, {failed} had \
             failed or had no server; {denied} hedges were denied by the retry budget{failures}",
            u64_field(l, "took_ms")
        );
    }
    if let Some(l) = with("caller_gone").next_back() {
        return format!("its caller disconnected after {} ms{failures}", u64_field(l, "took_ms"));
    }
    format!("no outcome is logged: the entry stopped while it handled the request{failures}")
}

/// Explains a request from log files and prints the explanation.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if a file cannot be read.
pub fn run(args: &ExplainArgs) -> Result<(), CommandError> {
    let explanation = explain(&args.request, read_all(&args.files)?);
    out!("{}", render(&args.request, &explanation));
    Ok(())
}

/// Renders an explanation as text; times are relative to the first line of the request.
pub fn render(request: &str, explanation: &Explanation) -> String {
    let started_at_ms = explanation.lines.first().map_or(0, |l| l.unix_ms);
    let mut text = String::new();
    for (title, lines) in
        [("decisions", &explanation.lines), ("beliefs at that time", &explanation.beliefs)]
    {
        if lines.is_empty() {
            continue;
        }
        text.push_str(&format!("{title}:\n"));
        for line in lines {
            text.push_str(&line.render(started_at_ms, &["request"]));
        }
    }
    text.push_str(&format!("{request}: {}\n", explanation.cause));
    text
}
