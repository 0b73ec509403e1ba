//! Retry budget over a sliding window, including a restart of the entry.

mod common;

use std::time::Duration;

use common::budget;
use hornbeam_model::Mono;
use hornbeam_route::RetryBudget;

const ENTRIES: u32 = 7;
const STEP: Duration = Duration::from_millis(50);

/// An entry that sends as many extra requests as its budget allows; its clock starts with it.
struct Greedy {
    started: Mono,
    window: RetryBudget,
}

impl Greedy {
    fn new(started: Mono) -> Self {
        Self { started, window: RetryBudget::new(budget()) }
    }

    /// Sends one request and all extra ones that the budget allows; returns their number.
    fn step(&mut self, now: Mono) -> u32 {
        let own = Mono(now.0 - self.started.0);
        self.window.record_request(own);
        let mut extra = 0;
        while self.window.allows_retry(own, ENTRIES, 0.0) {
            self.window.record_extra_request(own);
            extra += 1;
        }
        extra
    }
}

/// Returns the extra requests in each step, for an entry that restarts before step `restart`, if
/// set.
fn greedy_steps(count: usize, restart: Option<usize>) -> Vec<u32> {
    let mut now = Mono::from_millis(30_000);
    let mut entry = Greedy::new(Mono::default());
    let mut steps = Vec::new();
    for i in 0..count {
        if restart == Some(i) {
            entry = Greedy::new(now);
        }
        steps.push(entry.step(now));
        now = now + STEP;
    }
    steps
}

/// Budget of one entry for a window of `steps` steps with one request each.
fn allowed(steps: usize) -> f64 {
    let share = f64::from(budget().percent) / 100.0 * steps as f64;
    share + f64::from(budget().allowance) / f64::from(ENTRIES)
}

fn max_in_window(steps: &[u32]) -> u32 {
    let length = (budget().window.as_millis() / STEP.as_millis()) as usize;
    steps.windows(length).map(|w| w.iter().sum()).max().unwrap_or(0)
}

#[test]
fn steady_entry() {
    let steps = greedy_steps(1_000, None);
    let extra = f64::from(max_in_window(&steps));
    assert!(extra <= allowed(200), "{extra} extra requests of {}", allowed(200));
    assert!(extra >= 0.7 * allowed(200), "{extra} extra requests of {}", allowed(200));
}

#[test]
fn restarted_entry() {
    for restart in [400, 450, 500] {
        let steps = greedy_steps(1_000, Some(restart));
        let extra = f64::from(max_in_window(&steps));
        assert!(
            extra <= allowed(200),
            "restart at {restart}: {extra} extra requests of {}",
            allowed(200)
        );
    }
}

#[test]
fn hedges_leave_reserve() {
    let mut entry = Greedy::new(Mono::default());
    let now = Mono::from_millis(30_000);
    let mut hedges = 0;
    while entry.window.allows_hedge(now, ENTRIES) {
        entry.window.record_extra_request(now);
        hedges += 1;
    }
    assert!(hedges > 0 && entry.window.allows_retry(now, ENTRIES, 0.0));
}

#[test]
fn unsent_refunded() {
    let mut window = RetryBudget::new(budget());
    let now = Mono::from_millis(30_000);
    while window.allows_retry(now, ENTRIES, 0.0) {
        window.record_extra_request(now);
    }
    window.refund(now);
    assert!(window.allows_retry(now, ENTRIES, 0.0));
}
