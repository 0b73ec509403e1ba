//! Structured log lines on standard output: one JSON object a line.
//!
//! A line for each decision that touches a request or changes a belief. The volume is bounded by kind,
//! failures before successes, and a reader that does not keep up never holds up the program: lines that
//! do not fit are counted and the count is written once there is room.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use hornbeam_settings::LogRates;
use serde::Serialize;

use crate::clock::unix_ms;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected before they are written together.
const COLLECT: Duration = Duration::from_millis(50);
/// Longest line of collected ones, in bytes.
const WRITE_BYTES: usize = 64 << 10;
/// Seconds of unused lines that are saved up.
const SAVED_SECONDS: f64 = 2.0;

/// A line: when, who and what.
#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    unix_ms: i64,
    instance: &'a str,
    #[serde(flatten)]
    what: &'a T,
    /// Lines of this kind left out since the last one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Lines that one kind may still write.
#[derive(Debug)]
struct Allowance {
    lines: f64,
    refilled: Instant,
    left_out: u64,
}

/// Bounds the lines of each kind.
#[derive(Debug)]
pub struct LineRateLimiter {
    rates: LogRates,
    kinds: HashMap<&'static str, Allowance>,
}

impl LineRateLimiter {
    /// A budget that nothing was taken from.
    pub fn new(rates: LogRates) -> Self {
        Self { rates, kinds: HashMap::new() }
    }

    /// The number of lines left out before this one, or nothing if this one is left out too.
    pub fn admit(&mut self, kind: &'static str, is_failure: bool, now: Instant) -> Option<u64> {
        let rate = if is_failure { self.rates.failures_per_s } else { self.rates.others_per_s };
        let most = rate * SAVED_SECONDS;
        let allowance = self.kinds.entry(kind).or_insert_with(|| Allowance {
            lines: most,
            refilled: now,
            left_out: 0,
        });
        let time = now.saturating_duration_since(allowance.refilled).as_secs_f64();
        allowance.lines = (allowance.lines + time * rate).min(most);
        allowance.refilled = now;
        if allowance.lines < 1.0 {
            allowance.left_out += 1;
            return None;
        }
        allowance.lines -= 1.0;
        Some(std::mem::take(&mut allowance.left_out))
    }
}

/// Writes structured lines; clones share the output.
#[derive(Clone, Debug)]
pub struct StructuredLog {
    instance: Arc<str>,
    tx: SyncSender<String>,
    /// Lines that did not fit into the queue.
    dropped: Arc<AtomicU64>,
    limiter: Arc<Mutex<LineRateLimiter>>,
}

impl StructuredLog {
    /// Starts the thread that writes to standard output.
    pub fn start(instance: &str, rates: LogRates) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let limiter = Arc::new(Mutex::new(LineRateLimiter::new(rates)));
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(e) = thread.spawn(move || write_lines(&rx, &counter)) {
            log::error!("the log thread cannot start ({e}): decisions are not logged");
        }
        Self { instance: instance.into(), tx, dropped, limiter }
    }

    /// Writes a line unless its kind has used up its allowance.
    pub fn write<T: Serialize>(&self, kind: &'static str, is_failure: bool, what: &T) {
        let mut limiter = self.limiter.lock().unwrap_or_else(|e| e.into_inner());
        let Some(left_out) = limiter.admit(kind, is_failure, Instant::now()) else { return };
        drop(limiter);
        let line = Line { unix_ms: unix_ms(), instance: &self.instance, what, left_out };
        match serde_json::to_string(&line) {
            Ok(text) => self.queue(text),
            Err(e) => log::error!("a log line of kind {kind} cannot be encoded: {e}"),
        }
    }

    fn queue(&self, mut text: String) {
        text.push('\n');
        if let Err(TrySendError::Full(_)) = self.tx.try_send(text) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends the records of the `log` facade the same way. Later calls change nothing.
    pub fn install(&self, level: log::LevelFilter) {
        static INSTALLED: OnceLock<()> = OnceLock::new();
        if INSTALLED.set(()).is_err() {
            return;
        }
        let log = self.clone();
        let dispatch = fern::Dispatch::new()
            .level(log::LevelFilter::Warn)
            .level_for("event", level)
            .chain(fern::Output::call(move |record| log.write_record(record)));
        if dispatch.apply().is_err() {
            log::warn!("another logger is installed already: its output has the messages");
        }
    }

    fn write_record(&self, record: &log::Record<'_>) {
        let what = serde_json::json!({
            "level": record.level().as_str(),
            "target": record.target(),
            "message": record.args().to_string(),
        });
        let is_failure = record.level() <= log::Level::Warn;
        let kind = if is_failure { "warning" } else { "event" };
        self.write(kind, is_failure, &what);
    }
}

fn write_lines(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        std::thread::sleep(COLLECT);
        let mut text = first;
        while text.len() < WRITE_BYTES {
            let Ok(line) = rx.try_recv() else { break };
            text.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("{{\"decision\":\"lines_dropped\",\"count\":{lost}}}\n"));
        }
        // A closed pipe has no reader that could miss anything.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
