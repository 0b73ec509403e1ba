//! Header fields about teams: the key, which only the entry reads, and the name of the team, which only
//! the entry states to servers.
//!
//! Without teams in the routing table both fields pass like any other. A request that arrives before
//! the first table is read without them; they are set aside until the table shows whether they pass.

use std::fmt;
use std::rc::Rc;

use hornbeam_model::{KeyDigest, QueryId, Routing, TeamId};
use hornbeam_route::TeamField;
use hyper::header::HeaderMap;

use crate::core::Core;
use crate::dialect::Dialect;

/// Encoded header fields of a caller that are not forwarded unless the table has no teams. The `Debug`
/// output hides them, since they include the key.
#[derive(Default)]
pub struct SetAside(Vec<u8>);

impl SetAside {
    /// Returns true if there are no such fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the encoded fields.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }

    fn add(&mut self, name: &str, value: &[u8]) {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.0.extend_from_slice(part);
        }
    }
}

impl fmt::Debug for SetAside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SetAside(..)")
    }
}

/// Removes the fields about teams from a caller's header, unless the table in force has no teams.
/// Returns the digest of the key, and the fields if there is no table yet.
pub(crate) fn take(
    dialect: &Dialect,
    headers: &mut HeaderMap,
    table: Option<&Routing>,
) -> (Option<KeyDigest>, SetAside) {
    let mut set_aside = SetAside::default();
    if table.is_some_and(|t| t.policy.teams.is_empty()) {
        return (None, set_aside);
    }
    let mut keys = headers.get_all(&dialect.key).iter();
    // Several keys do not name one team.
    let credential = match (keys.next(), keys.next()) {
        (Some(key), None) => Some(KeyDigest::of(key.as_bytes())),
        _ => None,
    };
    for name in [&dialect.key, &dialect.team] {
        for value in headers.get_all(name).iter().filter(|_| table.is_none()) {
            set_aside.add(name.as_str(), value.as_bytes());
        }
        headers.remove(name);
    }
    (credential, set_aside)
}

/// Returns the team that the head of a gathered group states, if the table has teams.
pub(crate) fn team_of(core: &Core, head: &[u8]) -> Option<TeamId> {
    if !core.with_engine(|e| e.table().is_some_and(|t| !t.policy.teams.is_empty())) {
        return None;
    }
    let name = core.dialect.team.as_str().as_bytes();
    let mut lines = head.split(|b| *b == b'\n');
    let value = lines.find_map(|line| {
        let (field, value) = line.split_at_checked(name.len())?;
        value.strip_prefix(b":").filter(|_| field.eq_ignore_ascii_case(name))
    })?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

impl Core {
    /// Completes the head of a request with the team of its caller.
    pub(crate) fn set_team_field(&self, key: QueryId, field: &TeamField) {
        let set_aside = self.set_aside.borrow_mut().remove(&key);
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&key).map(Rc::make_mut) else { return };
        match (field, set_aside) {
            (TeamField::Team(team), _) => request.set_team(&self.dialect.team, team),
            (TeamField::AsReceived, Some(set_aside)) => {
                request.head.extend_from_slice(set_aside.bytes());
            }
            (TeamField::AsReceived, None) => {}
        }
    }
}
