//! Second copies of the shards of a search under which servers end.
//!
//! Load pattern: a search ends every server that runs it. Sent once, it ends one server of each shard;
//! its retries and hedges would end the other copies as well. What tells it from an innocent search
//! beside the loss of a zone is a response: as long as there is none, several ends hold back all second
//! copies until the checks are done, and then one copy at a time shows whether its server ends too.
//! Replayed in `tests/second_copies`.

use hornbeam_model::{Incarnation, ServerId};

/// Servers that must have ended under a search before its second copies are held back. One end alone is
/// the usual failure of a server, after which a retry is sent at once.
const SEVERAL_ENDS: usize = 2;
/// Second copies that may end their servers as well before no more are sent. The first is usually sent
/// right after the first end and may meet a server of the same lost zone; the second is sent after the
/// checks, which leave out the servers that have ended.
const MAX_ENDED_COPIES: usize = 2;

/// A server whose connection was lost while it ran the search.
#[derive(Debug)]
struct ServerEnd {
    server: ServerId,
    incarnation: Incarnation,
    /// False until a check has shown that the server has ended.
    confirmed: bool,
    /// True if it ran a second copy of a shard.
    ran_copy: bool,
}

/// Whether a second copy of a shard may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyVerdict {
    /// It may be sent now.
    Allowed,
    /// It waits for a check or for the outcome of another copy.
    Held,
    /// It is not sent any more.
    Refused,
}

/// Servers that ended under one search.
#[derive(Debug, Default)]
pub struct CopyHold {
    ends: Vec<ServerEnd>,
}

impl CopyHold {
    /// Records that the connection to a server was lost that ran the search.
    pub fn record_loss(&mut self, server: ServerId, incarnation: Incarnation, ran_copy: bool) {
        if !self.ends.iter().any(|e| e.server == server && e.incarnation == incarnation) {
            self.ends.push(ServerEnd { server, incarnation, confirmed: false, ran_copy });
        }
    }

    /// Records the result of a check; a server that is running does not count as ended.
    pub fn record_check(&mut self, server: &ServerId, incarnation: Incarnation, has_ended: bool) {
        let is_checked = |e: &ServerEnd| e.server == *server && e.incarnation == incarnation;
        self.ends.retain(|e| has_ended || !is_checked(e));
        self.ends.iter_mut().filter(|e| is_checked(e)).for_each(|e| e.confirmed = true);
    }

    /// Returns whether a second copy may be sent, with this number of responses to the search so far
    /// and of second copies without an outcome.
    pub fn verdict(&self, responses: usize, pending_copies: usize) -> CopyVerdict {
        if responses > 0 || self.ends.len() < SEVERAL_ENDS {
            return CopyVerdict::Allowed;
        }
        let is_checked = self.ends.iter().all(|e| e.confirmed);
        if !is_checked || pending_copies > 0 {
            return CopyVerdict::Held;
        }
        let ended_copies = self.ends.iter().filter(|e| e.ran_copy).count();
        if ended_copies < MAX_ENDED_COPIES { CopyVerdict::Allowed } else { CopyVerdict::Refused }
    }
}
