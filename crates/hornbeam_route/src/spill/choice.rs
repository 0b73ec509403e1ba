//! Where a single attempt may go.
//!
//! Load pattern: every copy pauses for 120 ms each 3 s, which hits some shard of nearly every search
//! over 90 shards. Its hedge must leave the zone in time if the zone has no other copy, while first
//! attempts stay as long as the copy at home responds. Replayed in `tests/zone_spill`.

use smol_str::SmolStr;

/// The copies of a shard in the home zones, except for those that it was sent to already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HomeCopies {
    /// Neither ejected nor paused, in a zone that is reachable.
    pub usable: usize,
    /// Usable, with capacity for another attempt.
    pub open: usize,
    /// Open, without an attempt in flight for much longer than usual.
    pub prompt: usize,
}

/// What an attempt is for, and whether its objective is safe at home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptView<'a> {
    /// True if the shard was sent to a server before.
    pub is_repeat: bool,
    /// True if the response of a stalled home copy would be too late.
    pub stall_is_unsafe: bool,
    /// True if the response would be too late after waiting for capacity at home.
    pub wait_is_unsafe: bool,
    /// True if every copy at home is slow or fails so much that a copy elsewhere gains enough.
    pub home_is_slow: bool,
    /// Zone that the attempt leaves for by its draw.
    pub drawn: Option<&'a SmolStr>,
}

/// Where an attempt may go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// To a server of any zone.
    Anywhere,
    /// To a server of a home zone only.
    Home,
    /// To a server of a home zone, or to any other one if there is none with capacity.
    HomeFirst,
    /// To a server of any zone that is known to have room, or else home.
    ZonesWithRoom,
    /// To a server of this zone, or else home.
    Zone(SmolStr),
}

/// Decides where an attempt may go.
pub fn scope(copies: HomeCopies, attempt: AttemptView<'_>) -> Scope {
    if copies.usable == 0 {
        return Scope::Anywhere;
    }
    if attempt.is_repeat {
        return if copies.prompt == 0 { Scope::Anywhere } else { Scope::HomeFirst };
    }
    if copies.open == 0 {
        return if attempt.wait_is_unsafe { Scope::ZonesWithRoom } else { Scope::Home };
    }
    if attempt.home_is_slow {
        return Scope::Anywhere;
    }
    if copies.prompt == 0 && attempt.stall_is_unsafe {
        return Scope::ZonesWithRoom;
    }
    match attempt.drawn {
        Some(zone) => Scope::Zone(zone.clone()),
        None => Scope::Home,
    }
}
