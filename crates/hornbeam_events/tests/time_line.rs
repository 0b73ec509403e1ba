//! Order of the events of several instances, and the bound of the journal.

use hornbeam_events::{Event, HybridClock, Journal, timeline};

#[test]
fn cause_before_effect() {
    // The second clock has observed the reading of the cause. Its own wall clock then reads an hour
    // less, which must not order the effect before the cause.
    let (mut first, mut second) = (HybridClock::default(), HybridClock::default());
    let mut a = Journal::new("a".parse().unwrap(), 10);
    let mut b = Journal::new("b".parse().unwrap(), 10);
    let cause = first.tick(7_200_000_000);
    a.push(cause, Event::ProcessStopped {});
    second.observe(cause, 7_199_000_000);
    let effect = second.tick(3_600_000_000);
    b.push(effect, Event::OperatorRefused {});
    let records = b.since(0).chain(a.since(0)).cloned().collect();
    let merged = timeline::merge(records);
    assert_eq!(merged[0].instance.as_str(), "a");
    assert_eq!(merged[1].instance.as_str(), "b");
    let text = timeline::render(&merged);
    assert!(text.lines().next().unwrap().contains("103"), "{text}");
}

#[test]
fn far_clock_ignored() {
    let mut clock = HybridClock::default();
    clock.tick(1_000);
    clock.observe(hornbeam_events::Hlc { wall_us: u64::MAX / 2, counter: 0 }, 1_000);
    assert!(clock.last().wall_us < 1_000_000);
}

#[test]
fn readings_increase() {
    let mut clock = HybridClock::default();
    let mut last = clock.tick(5);
    for wall in [5, 9, 3, 0, 9, 10] {
        let next = clock.tick(wall);
        assert!(next > last, "the wall clock jumped to {wall}");
        last = next;
    }
}

#[test]
fn journal_is_bounded() {
    let mut clock = HybridClock::default();
    let mut journal = Journal::new("a".parse().unwrap(), 3);
    for n in 0..5 {
        journal.push(clock.tick(n), Event::ProcessStopped {});
    }
    let kept: Vec<u64> = journal.since(0).map(|r| r.seq).collect();
    assert_eq!(kept, [3, 4, 5]);
    assert_eq!(journal.since(4).count(), 1);
}
