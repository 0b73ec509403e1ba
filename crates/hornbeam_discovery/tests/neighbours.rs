//! Which other entries an entry is told of.

use hornbeam_discovery::neighbours;
use hornbeam_protocol::discovery::EntryOffer;

fn offers(count: usize) -> Vec<EntryOffer> {
    let offer = |i: usize| EntryOffer {
        entry: format!("entry-{i}").parse().unwrap(),
        address: "127.0.0.1:7380".parse().unwrap(),
        zone: ["olomouc", "prerov", "kromeriz"][i % 3].parse().unwrap(),
    };
    (0..count).map(offer).collect()
}

#[test]
fn own_zone_is_whole() {
    let all = offers(90);
    let told = neighbours(&"prerov".parse().unwrap(), &all);
    let own = told.iter().filter(|o| o.zone.as_str() == "prerov").count();
    assert_eq!(own, 30);
    assert!(told.len() < 60, "{} of 90", told.len());
    assert!(told.iter().any(|o| o.zone.as_str() == "olomouc"));
}

#[test]
fn samples_differ() {
    let all = offers(90);
    let of = |zone: &str| -> Vec<EntryOffer> {
        let told = neighbours(&zone.parse().unwrap(), &all);
        told.into_iter().filter(|o| o.zone.as_str() == "kromeriz").collect()
    };
    assert_ne!(of("olomouc"), of("prerov"), "the same entries would help all other zones");
    assert_eq!(of("olomouc"), of("olomouc"));
}
