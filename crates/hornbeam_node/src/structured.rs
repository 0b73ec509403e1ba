//! Structured log on standard output: one JSON object per line.
//!
//! A line is written for each decision that affects a request or changes the known state of another
//! instance. The rate is limited per kind, with a higher default rate for failures than for
//! successes. A slow reader never blocks the program: lines that do not fit into the queue are
//! dropped and counted, and the count is written with the next batch.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use hornbeam_settings::LogRates;
use serde::Serialize;

use crate::clock::unix_ms;

/// Maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected before they are written as one batch.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Batch size, in bytes, from which no further line is added.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Capacity of a token bucket, in seconds at its rate.
const BURST_SECONDS: f64 = 2.0;

/// A log line: time, instance and the fields of the logged value.
#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    unix_ms: i64,
    instance: &'a str,
    #[serde(flatten)]
    what: &'a T,
    /// Lines of this kind that the rate limit suppressed since the previous one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Token bucket of one kind of line.
#[derive(Debug)]
struct TokenBucket {
    lines: f64,
    refilled_at: Instant,
    suppressed: u64,
}

/// Rate limiter with one token bucket for each kind of line.
#[derive(Debug)]
pub struct LineRateLimiter {
    rates: LogRates,
    buckets: HashMap<&'static str, TokenBucket>,
}

impl LineRateLimiter {
    /// Creates a limiter whose token buckets are full.
    pub fn new(rates: LogRates) -> Self {
        Self { rates, buckets: HashMap::new() }
    }

    /// Takes one token for a line of `kind`. Returns how many lines were suppressed since the
    /// previous one of this kind, or `None` if this line exceeds the rate too.
    pub fn admit(&mut self, kind: &'static str, is_failure: bool, now: Instant) -> Option<u64> {
        let rate = if is_failure { self.rates.failures_per_s } else { self.rates.others_per_s };
        let capacity = rate * BURST_SECONDS;
        let bucket = self.buckets.entry(kind).or_insert_with(|| TokenBucket {
            lines: capacity,
            refilled_at: now,
            suppressed: 0,
        });
        let elapsed_s = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.lines = (bucket.lines + elapsed_s * rate).min(capacity);
        bucket.refilled_at = now;
        if bucket.lines < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.lines -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}

/// Writer of structured log lines. Clones share the output and the rate limits.
#[derive(Clone, Debug)]
pub struct StructuredLog {
    instance: Arc<str>,
    tx: SyncSender<String>,
    /// Lines that did not fit into the queue and whose count is not written yet.
    dropped: Arc<AtomicU64>,
    limiter: Arc<Mutex<LineRateLimiter>>,
}

impl StructuredLog {
    /// Starts the thread that writes the lines of `instance` to standard output.
    pub fn start(instance: &str, rates: LogRates) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let limiter = Arc::new(Mutex::new(LineRateLimiter::new(rates)));
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(e) = thread.spawn(move || write_lines(&rx, &counter)) {
            log::error!("cannot start the log thread ({e}): structured log lines are discarded");
        }
        Self { instance: instance.into(), tx, dropped, limiter }
    }

    /// Writes a line unless its kind exceeds its rate limit.
    pub fn write<T: Serialize>(&self, kind: &'static str, is_failure: bool, what: &T) {
        let mut limiter = self.limiter.lock().unwrap_or_else(|e| e.into_inner());
        let Some(left_out) = limiter.admit(kind, is_failure, Instant::now()) else { return };
        drop(limiter);
        let line = Line { unix_ms: unix_ms(), instance: &self.instance, what, left_out };
        match serde_json::to_string(&line) {
            Ok(text) => self.queue(text),
            Err(e) => log::error!("cannot encode a log line of kind {kind}: {e}"),
        }
    }

    fn queue(&self, mut text: String) {
        text.push('\n');
        if let Err(TrySendError::Full(_)) = self.tx.try_send(text) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Installs this log as the logger of the `log` facade, with warnings of all targets and
    /// records of the target `event` up to `level`. Later calls have no effect.
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
            log::warn!("another logger is already installed: log records go to its output");
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
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        while text.len() < MAX_BATCH_BYTES {
            let Ok(line) = rx.try_recv() else { break };
            text.push_str(&line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("{{\"decision\":\"lines_dropped\",\"count\":{count}}}\n"));
        }
        // Standard output is closed: no reader is left.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
