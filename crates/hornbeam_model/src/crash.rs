//! Runs of requests during which their backend server ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Incarnation, Mono, ServerId};

/// A time span on the clock of one process, in microseconds since its start; negative before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunSpan {
    /// When the request was sent.
    pub began: i64,
    /// When its connection was lost.
    pub ended: i64,
}

/// A request that was in flight at a server when the server ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// Recognizes the request when the caller repeats it.
    pub fingerprint: Fingerprint,
    /// Server that ended.
    pub server: ServerId,
    /// Start of the server that ended.
    pub incarnation: Incarnation,
    /// Time of the run.
    pub span: RunSpan,
    /// True once the same request got a response elsewhere, so that it did not end the server.
    pub cleared: bool,
}

/// A [`CrashedRun`] in a message: times are ages, since clocks differ between processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    fingerprint: Fingerprint,
    server: ServerId,
    incarnation: Incarnation,
    began_ms_ago: u32,
    ended_ms_ago: u32,
    cleared: bool,
}

impl CrashedRun {
    /// Returns true if both are about the same request and the same end of a server.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.is_same_end(other)
    }

    /// Returns true if both are about the same end of a server.
    pub fn is_same_end(&self, other: &Self) -> bool {
        self.is_at(&other.server, other.incarnation)
    }

    /// Returns true if the run was at this start of a server.
    pub fn is_at(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.server == *server && self.incarnation == incarnation
    }

    /// Encodes the run for a message that is sent at `now`.
    pub fn report(&self, now: Mono) -> CrashReport {
        let age = |at: i64| ((now.0 as i64 - at).max(0) / 1_000).min(u32::MAX.into()) as u32;
        CrashReport {
            fingerprint: self.fingerprint,
            server: self.server.clone(),
            incarnation: self.incarnation,
            began_ms_ago: age(self.span.began),
            ended_ms_ago: age(self.span.ended),
            cleared: self.cleared,
        }
    }
}

impl CrashReport {
    /// Returns the server that ended.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Returns the report after it was kept for this time.
    #[must_use]
    pub fn aged_by(self, time: Duration) -> Self {
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self {
            began_ms_ago: self.began_ms_ago.saturating_add(ms),
            ended_ms_ago: self.ended_ms_ago.saturating_add(ms),
            ..self
        }
    }

    /// Decodes the run from a message that arrived at `now`.
    pub fn into_run(self, now: Mono) -> CrashedRun {
        let at = |ms_ago: u32| now.0 as i64 - i64::from(ms_ago) * 1_000;
        CrashedRun {
            fingerprint: self.fingerprint,
            server: self.server,
            incarnation: self.incarnation,
            span: RunSpan { began: at(self.began_ms_ago), ended: at(self.ended_ms_ago) },
            cleared: self.cleared,
        }
    }
}
