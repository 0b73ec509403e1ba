//! What became of one request and why, from the logs of all programs.

use std::collections::BTreeMap;

use hornbeam_events::out;
use serde_json::Value;

use crate::args::ExplainArgs;
use crate::client::CommandError;
use crate::logs::{LogLine, read_all};

/// Beliefs shown beside a request, the latest of each kind before it ended.
const BELIEFS: [&str; 6] =
    ["cut_off", "feed_lost", "feed_open", "suspended", "settings_reloaded", "controller_heard"];
/// Decisions that change what an entry believes, shown in the same way.
const STATES: [&str; 3] = ["table_in_force", "ejected", "server_changed"];

/// What became of a request.
#[derive(Debug, Default)]
pub struct Explanation {
    /// Lines of the request, in order.
    pub lines: Vec<LogLine>,
    /// What the programs concerned believed when it ended.
    pub beliefs: Vec<LogLine>,
    /// The cause in a sentence.
    pub cause: String,
}

fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.fields.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
}

/// Explains a request from the lines of all logs.
pub fn explain(request: &str, mut all: Vec<LogLine>) -> Explanation {
    all.sort_by_key(|l| l.unix_ms);
    let lines: Vec<LogLine> =
        all.iter().filter(|l| text(l, "request") == request).cloned().collect();
    let Some(last) = lines.last() else {
        let cause = "no log has the request: it did not reach an entry, its lines were left out \
                     to bound the log, or a log is missing";
        return Explanation { cause: cause.to_owned(), ..Explanation::default() };
    };
    let mut latest: BTreeMap<(String, String), LogLine> = BTreeMap::new();
    // Other entries may have collected some of its shards.
    let concerned = |l: &&LogLine| lines.iter().any(|of| of.instance == l.instance);
    for line in all.iter().filter(concerned).filter(|l| l.unix_ms <= last.unix_ms) {
        let kind = match (text(line, "belief"), text(line, "decision")) {
            (belief, _) if BELIEFS.contains(&belief) => belief,
            (_, decision) if STATES.contains(&decision) => decision,
            _ => continue,
        };
        let about = format!("{}{}", text(line, "server"), text(line, "controller"));
        let is_shown = about.is_empty()
            || kind.starts_with("feed")
            || lines.iter().any(|l| text(l, "server") == text(line, "server"));
        if is_shown {
            let about = format!("{} {about}", line.instance);
            latest.insert((kind.to_owned(), about), line.clone());
        }
    }
    let beliefs: Vec<LogLine> = latest.into_values().collect();
    let cause = format!("{}{}", cause(&lines), network(&beliefs));
    Explanation { lines, beliefs, cause }
}

/// Points to the network of an entry that had lost most of its controllers.
fn network(beliefs: &[LogLine]) -> String {
    let of_kind = |kind: &'static str| beliefs.iter().filter(move |l| text(l, "belief") == kind);
    let last_open = |lost: &LogLine| {
        let same = |l: &&LogLine| {
            l.instance == lost.instance && text(l, "controller") == text(lost, "controller")
        };
        of_kind("feed_open").find(same).is_some_and(|l| l.unix_ms > lost.unix_ms)
    };
    let lost = of_kind("feed_lost").filter(|l| !last_open(l)).count();
    let known = of_kind("feed_open").count().max(lost);
    if lost == 0 || 2 * lost < known {
        return String::new();
    }
    format!("; the entry had lost {lost} of {known} controllers: look at its network")
}

/// What became of the groups of shards that other entries collected, if something is lacking.
fn groups(lines: &[LogLine]) -> String {
    let mut told = String::new();
    for l in lines {
        match text(l, "decision") {
            "group_failed" => told.push_str(&format!(
                "; {} did not collect {} shards ({}) after {} ms, {} were sent from here",
                text(l, "peer"),
                number(l, "shards"),
                text(l, "reason"),
                number(l, "after_ms"),
                number(l, "sent_from_here")
            )),
            "gathered" if number(l, "missing") > 0 => told.push_str(&format!(
                "; {} collected a group without {} shards: {} found no room, {} were out",
                l.instance,
                number(l, "missing"),
                number(l, "waiting"),
                number(l, "late")
            )),
            _ => {}
        }
    }
    told
}

/// The cause in a sentence, from the last decision and the failures before it.
fn cause(lines: &[LogLine]) -> String {
    let with =
        |decision: &'static str| lines.iter().filter(move |l| text(l, "decision") == decision);
    let failures: Vec<String> = with("attempt_failed")
        .map(|l| {
            let (server, outcome) = (text(l, "server"), text(l, "outcome"));
            let retried = l.fields.get("retried").and_then(Value::as_bool).unwrap_or_default();
            let then = if retried { "sent again" } else { "not sent again" };
            format!("{server}: {outcome} after {} ms, {then}", number(l, "after_ms"))
        })
        .collect();
    let failures = if failures.is_empty() {
        String::new()
    } else {
        format!("; failed attempts: {}", failures.join("; "))
    };
    let failures = format!("{}{failures}", groups(lines));
    if let Some(l) = with("refused").next_back() {
        let took = number(l, "took_ms");
        let why = match text(l, "reason") {
            "overloaded" => format!(
                "it was turned away after {took} ms and has not run: {} requests waited for its \
                 service, with {} usable servers",
                number(l, "queue"),
                number(l, "usable")
            ),
            "no_server" => format!(
                "it was turned away after {took} ms and has not run: too few of its servers are \
                 known or answer ({} usable)",
                number(l, "usable")
            ),
            "no_table" => "the entry had no routing table yet; it has not run".to_owned(),
            "no_route" => "no route of the table in force matches it; it has not run".to_owned(),
            "timed_out" => format!("no answer came within {took} ms; it may have run"),
            reason => format!("its servers {reason} after {took} ms; it may have run"),
        };
        return format!("{why}{failures}");
    }
    if let Some(l) = with("answered").next_back() {
        let missing = number(l, "missing");
        if missing == 0 {
            return format!("it was answered whole after {} ms{failures}", number(l, "took_ms"));
        }
        let (waiting, late) = (number(l, "waiting"), number(l, "late"));
        let denied = with("hedge_denied").count();
        let failed = missing.saturating_sub(waiting + late);
        return format!(
            "it was answered after {} ms without {missing} shards, since its objective was due: \
             {waiting} found no room at a server, {late} were out, {failed} had failed or had no \
             server; {denied} second attempts were denied by the budget{failures}",
            number(l, "took_ms")
        );
    }
    if let Some(l) = with("caller_gone").next_back() {
        return format!("its caller left after {} ms{failures}", number(l, "took_ms"));
    }
    format!("no end is on record: the entry ended while it had the request{failures}")
}

/// Explains a request from files.
///
/// # Errors
///
/// A file cannot be read.
pub fn run(args: &ExplainArgs) -> Result<(), CommandError> {
    let explanation = explain(&args.request, read_all(&args.files)?);
    out!("{}", render(&args.request, &explanation));
    Ok(())
}

/// An explanation as text.
pub fn render(request: &str, explanation: &Explanation) -> String {
    let began = explanation.lines.first().map_or(0, |l| l.unix_ms);
    let mut text = String::new();
    for (title, lines) in
        [("decisions", &explanation.lines), ("believed then", &explanation.beliefs)]
    {
        if lines.is_empty() {
            continue;
        }
        text.push_str(&format!("{title}:\n"));
        for line in lines {
            text.push_str(&line.render(began, &["request"]));
        }
    }
    text.push_str(&format!("{request}: {}\n", explanation.cause));
    text
}
