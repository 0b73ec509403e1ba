//! Messages that arrive twice, late or from an earlier session of the sender.

use hornbeam_protocol::{ReplayGuard, ReplayVerdict};
use proptest::prelude::*;

#[test]
fn accepted_once() {
    let mut guard = ReplayGuard::default();
    let a = "a".parse().unwrap();
    for seq in [1, 3, 2, 130, 4] {
        assert_eq!(guard.check(&a, 1, seq), ReplayVerdict::Fresh, "{seq}");
        assert_eq!(guard.check(&a, 1, seq), ReplayVerdict::Replayed, "{seq}");
    }
    assert_eq!(guard.check(&a, 1, 1), ReplayVerdict::Replayed, "below the replay window");
}

#[test]
fn older_session() {
    let mut guard = ReplayGuard::default();
    let a = "a".parse().unwrap();
    assert_eq!(guard.check(&a, 5, 1), ReplayVerdict::Fresh);
    assert_eq!(guard.check(&a, 4, 2), ReplayVerdict::StaleSession { known: 5 });
    assert_eq!(guard.check(&a, 6, 1), ReplayVerdict::Fresh);
    assert_eq!(guard.check(&a, 5, 9), ReplayVerdict::StaleSession { known: 6 });
}

proptest! {
    #[test]
    fn never_twice(seqs in prop::collection::vec(1u64..400, 1..600)) {
        let mut guard = ReplayGuard::default();
        let a = "a".parse().unwrap();
        let mut accepted = std::collections::HashSet::new();
        for seq in seqs {
            if guard.check(&a, 1, seq) == ReplayVerdict::Fresh {
                prop_assert!(accepted.insert(seq), "{} was accepted twice", seq);
            }
        }
    }
}
