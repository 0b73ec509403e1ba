//! Which other entries an entry is told of.

use hornbeam_model::Zone;
use hornbeam_protocol::discovery::EntryOffer;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Entries of each other zone that an entry is told of: enough to bear the loss of some, and few enough
/// that a fleet of hundreds stays cheap to tell.
const ELSEWHERE: usize = 12;

/// All entries of a zone and some of every other, drawn alike each time and differently for each zone.
pub fn neighbours(zone: &Zone, all: &[EntryOffer]) -> Vec<EntryOffer> {
    let seed = xxh3_64_with_seed(zone.as_str().as_bytes(), 0);
    let rank = |offer: &EntryOffer| xxh3_64_with_seed(offer.entry.as_str().as_bytes(), seed);
    let mut zones: Vec<&Zone> = all.iter().map(|o| &o.zone).collect();
    zones.sort();
    zones.dedup();
    let mut told = Vec::new();
    for of in zones {
        let mut offers: Vec<&EntryOffer> = all.iter().filter(|o| o.zone == *of).collect();
        if of != zone {
            offers.sort_by_key(|o| rank(o));
            offers.truncate(ELSEWHERE);
        }
        told.extend(offers.into_iter().cloned());
    }
    told
}
