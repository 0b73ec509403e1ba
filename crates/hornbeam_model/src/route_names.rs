//! Names of routes, each unique within its table.
//!
//! Host and path select a route, so a table may give several routes one name. Rules, shares and latencies are
//! kept by name, which therefore must be distinct.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::ids::{MAX_NAME_BYTES, RouteId};
use crate::routing::Routing;

/// Returns a distinct name for each of the names that an operator chose, in their order.
///
/// A name that is valid and stands once is kept. Characters that a [`RouteId`] cannot have are replaced, and
/// names that are equal then get a number each, the first one as well.
pub fn distinct_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Vec<RouteId> {
    let labels: Vec<String> = names.into_iter().map(label).collect();
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    for label in &labels {
        *counts.entry(label).or_default() += 1;
    }
    let mut taken: HashSet<String> = HashSet::new();
    taken.extend(counts.iter().filter(|(_, n)| **n == 1).map(|(label, _)| (*label).to_owned()));
    let mut next: IndexMap<&str, usize> = IndexMap::new();
    let names = labels.iter().map(|label| {
        if counts[label.as_str()] == 1 {
            return label.clone();
        }
        let number = next.entry(label).or_default();
        loop {
            *number += 1;
            let suffix = format!("-{number}");
            let length = label.len().min(MAX_NAME_BYTES - suffix.len());
            let name = format!("{}{suffix}", &label[..length]);
            if taken.insert(name.clone()) {
                return name;
            }
        }
    });
    names.map(|name| name.parse().expect("labels are valid names")).collect()
}

/// Returns the valid name that is most like a name; ASCII.
fn label(name: &str) -> String {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let label: String =
        name.chars().map(|c| if valid(c) { c } else { '_' }).take(MAX_NAME_BYTES).collect();
    if label.is_empty() { "route".to_owned() } else { label }
}

impl Routing {
    /// Returns a route name that stands more than once, if there is one.
    pub fn repeated_name(&self) -> Option<&RouteId> {
        let mut seen = HashSet::new();
        self.routes.iter().map(|r| &r.name).find(|name| !seen.insert(*name))
    }

    /// Returns a name in the policy that several routes have, if there is one.
    pub(crate) fn ambiguous_name(&self) -> Option<&RouteId> {
        let mut seen = HashSet::new();
        let mut repeated = self.routes.iter().map(|r| &r.name).filter(|name| !seen.insert(*name));
        let policy = &self.policy;
        repeated.find(|name| {
            policy.public_routes.contains(*name) || policy.route_regions.contains_key(*name)
        })
    }

    /// Returns the table with a distinct name for each route. Which of several routes of one name the policy
    /// means is not known: all of them get its regions, and none is public.
    pub fn with_distinct_names(self: Arc<Self>) -> Arc<Self> {
        if self.repeated_name().is_none() {
            return self;
        }
        let mut table = Self::clone(&self);
        let names = distinct_names(self.routes.iter().map(|r| r.name.as_str()));
        for (route, name) in table.routes.iter_mut().zip(names) {
            if route.name == name {
                continue;
            }
            let policy = Arc::make_mut(&mut table.policy);
            if let Some(regions) = policy.route_regions.get(&route.name).cloned() {
                policy.route_regions.insert(name.clone(), regions);
            }
            // Another build may have assigned it to another one of these routes.
            policy.public_routes.shift_remove(&name);
            Arc::make_mut(route).name = name;
        }
        Arc::new(table)
    }
}
