//! Regions in which a request may be handled.

use std::sync::Arc;

use hornbeam_model::Region;

/// Regions whose servers and entries may handle a request: all, unless its route or team lists some.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionRule(Option<Arc<[Region]>>);

impl RegionRule {
    /// Creates the rule from the regions of a route and of a team; an empty list allows all. If both
    /// list some, both apply.
    pub fn new(route: &[Region], team: &[Region]) -> Self {
        match (route.is_empty(), team.is_empty()) {
            (true, true) => Self(None),
            (false, true) => Self(Some(route.into())),
            (true, false) => Self(Some(team.into())),
            (false, false) => {
                let both = route.iter().filter(|r| team.contains(r));
                Self(Some(both.cloned().collect()))
            }
        }
    }

    /// Returns true if a server or entry in this region may handle the request. One whose region is not
    /// known may only without any list.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(listed) => region.is_some_and(|r| listed.contains(r)),
        }
    }

    /// Returns true if all regions are allowed.
    pub fn allows_all(&self) -> bool {
        self.0.is_none()
    }
}
