//! Patience by hour of the service's time zone, including daylight saving time changes.

use hornbeam_model::{Patience, PatienceWindow};
use yare::parameterized;

fn patience() -> Patience {
    Patience {
        time_zone: "Europe/Prague".into(),
        default_ms: 4_000,
        windows: vec![
            PatienceWindow { from_hour: 6, to_hour: 18, ms: 800 },
            PatienceWindow { from_hour: 22, to_hour: 5, ms: 9_000 },
        ],
    }
}

#[parameterized(
    winter_before = { 1_767_848_399, 4_000 }, // 2026-01-08 05:59:59 in Prague
    winter_after = { 1_767_848_400, 800 }, // 06:00:00, one hour ahead of UTC
    summer_before = { 1_783_483_199, 4_000 }, // 2026-07-08 05:59:59 in Prague
    summer_after = { 1_783_483_200, 800 }, // 06:00:00, two hours ahead of UTC
    evening = { 1_783_526_400, 4_000 }, // 18:00:00
    across_midnight = { 1_783_551_600, 9_000 }, // 2026-07-09 01:00:00
    spring_gap = { 1_774_746_000, 9_000 }, // 2026-03-29 03:00:00, right after 01:59:59
    day_of_change = { 1_774_753_200, 4_000 }, // 05:00:00 summer time, 04:00:00 without it
)]
fn at_unix(seconds: i64, expected_ms: u128) {
    assert_eq!(patience().at(seconds * 1_000).as_millis(), expected_ms);
}

#[test]
fn extreme_times() {
    for ms in [i64::MIN, i64::MAX, 0] {
        assert!(patience().at(ms).as_millis() > 0);
    }
}
