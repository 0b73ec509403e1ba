//! Weighted distribution of requests over the parts of a split route.

use hornbeam_model::WeightedService;
use hornbeam_route::split::Splitter;

fn parts(weights: &[u32]) -> Vec<WeightedService> {
    let named = weights.iter().enumerate();
    named
        .map(|(i, weight)| WeightedService {
            service: format!("s{i}").parse().unwrap(),
            weight: *weight,
        })
        .collect()
}

fn counts(weights: &[u32], requests: usize) -> Vec<usize> {
    let (mut splitter, parts) = (Splitter::default(), parts(weights));
    let mut counts = vec![0; weights.len()];
    for _ in 0..requests {
        counts[splitter.next(&parts).unwrap()] += 1;
    }
    counts
}

#[test]
fn in_proportion() {
    assert_eq!(counts(&[3, 1], 400), [300, 100]);
    assert_eq!(counts(&[90, 9, 1], 1_000), [900, 90, 10]);
}

#[test]
fn evenly_spread() {
    let (mut splitter, parts) = (Splitter::default(), parts(&[2, 1]));
    let drawn: Vec<_> = (0..6).map(|_| splitter.next(&parts).unwrap()).collect();
    assert_eq!(drawn, [0, 1, 0, 0, 1, 0]);
}

#[test]
fn zero_weight_part() {
    assert_eq!(counts(&[0, 5, 0], 50), [0, 50, 0]);
    assert_eq!(Splitter::default().next(&parts(&[0, 0])), None);
}

#[test]
fn changed_parts_reset() {
    let mut splitter = Splitter::default();
    for _ in 0..5 {
        splitter.next(&parts(&[9, 1]));
    }
    assert_eq!(splitter.next(&parts(&[1, 1, 8])), Some(2));
}
