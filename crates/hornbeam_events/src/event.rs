//! Event kinds with number, level, message and remedy.
//!
//! Numbers are stable: a retired number is never reused. 1xx process, 2xx queries,
//! 3xx backend servers, 4xx membership, 5xx control, 6xx storage, 7xx security.

use hornbeam_model::{
    Incarnation, IndexVersion, InstanceId, QueryId, Revision, ServerId, ServiceId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::catalogue::EventKind;

/// Severity of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Normal operation; requires no action.
    Info,
    /// A problem that operators should investigate if it repeats.
    Warn,
    /// A failure that requires an operator.
    Error,
}

macro_rules! events {
    ($(
        $number:literal $level:ident $name:ident
        { $($(#[$fdoc:meta])* $field:ident : $ty:ty),* $(,)? }
        $text:literal
        => $remedy:literal
    )*) => {
        /// An event of one instance.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        #[serde(tag = "event", rename_all = "snake_case")]
        pub enum Event {
            $(
                #[doc = $text]
                $name { $(#[allow(missing_docs)] $field: $ty),* },
            )*
        }

        impl Event {
            /// Returns the number of the event kind, which never changes.
            pub fn number(&self) -> u16 {
                match self { $(Self::$name { .. } => $number,)* }
            }

            /// Returns the name of the event kind.
            pub fn name(&self) -> &'static str {
                match self { $(Self::$name { .. } => stringify!($name),)* }
            }

            /// Returns the severity of the event kind.
            pub fn level(&self) -> Level {
                match self { $(Self::$name { .. } => Level::$level,)* }
            }

            /// Formats the event as a message for operators.
            pub fn message(&self) -> String {
                match self {
                    $(Self::$name { $($field),* } => {
                        $(let _ = $field;)*
                        format!($text)
                    })*
                }
            }
        }

        /// All event kinds in ascending order of their numbers.
        pub(crate) const EVENT_KINDS: &[EventKind] = &[
            $(EventKind {
                number: $number,
                name: stringify!($name),
                level: Level::$level,
                text: $text,
                remedy: $remedy,
            },)*
        ];
    };
}

events! {
    101 Info ProcessStarted { instance: InstanceId, zone: SmolStr, incarnation: Incarnation }
        "instance {instance} of zone {zone} started with incarnation {incarnation}"
        => "none"
    102 Info DrainStarted { in_flight: u64 }
        "shutdown started with {in_flight} in-flight requests"
        => "none"
    103 Info ProcessStopped { }
        "instance stopped with no in-flight requests"
        => "none"
    104 Error RequestsAbandoned { in_flight: u64 }
        "shutdown was forced: {in_flight} in-flight requests are abandoned"
        => "send only one SIGTERM, and wait at least the longest patience before a second one"
    105 Warn SignalRepeated { in_flight: u64 }
        "second SIGTERM: still waiting for {in_flight} requests; a third abandons them"
        => "wait, or send a third SIGTERM to abandon them"
    201 Info SnapshotChanged { service: ServiceId, from: IndexVersion, to: IndexVersion }
        "service {service} answers from index version {to} instead of {from}"
        => "none"
    202 Warn ShardCountConflict { service: ServiceId, version: IndexVersion, server: ServerId }
        "server {server} disagrees on the shard count of index version {version} of {service}; the version is unusable"
        => "publish the index version again under a new number, or stop the server that announces the wrong shard count"
    203 Info ShardCountAgreed { service: ServiceId, version: IndexVersion }
        "servers agree again on the shard count of index version {version} of {service}"
        => "none"
    204 Info QueryRestarted { service: ServiceId, query: QueryId, from: IndexVersion, to: IndexVersion }
        "query {query} of {service} restarted on index version {to}: version {from} lost shards while the query ran"
        => "retire an index version only when no query uses it any more"
    205 Warn AnswerShort { service: ServiceId, query: QueryId, lacking: u64 }
        "query {query} of {service} was answered without {lacking} of its shards"
        => "check the servers of these shards with hornbeamctl status"
    206 Warn ReplyDropped { server: ServerId, reason: SmolStr }
        "a reply of server {server} was discarded: {reason}"
        => "upgrade or restart the server if this repeats"
    207 Warn Overloaded { service: ServiceId, limit: u64 }
        "service {service} refuses queries: its concurrency limit fell to {limit}"
        => "add searchers or lower the load"
    301 Info ServerJoined { server: ServerId, service: ServiceId }
        "server {server} of {service} is ready"
        => "none"
    302 Info ServerDraining { server: ServerId }
        "server {server} is draining and receives no new requests"
        => "none"
    303 Warn ServerLapsed { server: ServerId }
        "server {server} has not announced itself within its lease and receives no new requests"
        => "check that the server runs and can reach an instance of its zone"
    304 Warn ServerEjected { server: ServerId, failures: u64 }
        "server {server} is ejected temporarily after {failures} failures"
        => "check the log of the server"
    305 Info ServerRestored { server: ServerId }
        "server {server} is used again"
        => "none"
    306 Info ServerLeft { server: ServerId }
        "server {server} left"
        => "none"
    401 Info PeerAlive { peer: InstanceId }
        "messages arrive from instance {peer}"
        => "none"
    402 Warn PeerSilent { peer: InstanceId }
        "no messages arrive from instance {peer}"
        => "check the instance and the network between the zones"
    403 Warn ViewLapsed { registrar: InstanceId, servers: u64 }
        "the view of registrar {registrar} lapsed with {servers} servers"
        => "none if its servers announce to another registrar; otherwise check the network of the zone"
    404 Info PeerLeft { peer: InstanceId }
        "instance {peer} left after an orderly shutdown"
        => "none"
    501 Info BecameLeader { term: u64 }
        "this instance is the control leader in term {term}"
        => "none"
    502 Warn SteppedDown { term: u64, reason: SmolStr }
        "this instance is no longer the control leader in term {term}: {reason}"
        => "check the network between the control instances if this repeats"
    503 Info ConfigInForce { revision: Revision }
        "configuration revision {revision} is in force on this instance"
        => "none"
    504 Warn ConfigUnconfirmed { revision: Revision, age_ms: u64 }
        "configuration revision {revision} is in use without confirmation by a quorum for {age_ms} ms"
        => "check that a majority of the control instances is running and reachable"
    505 Error VoterRefused { reason: SmolStr }
        "this instance does not vote: {reason}"
        => "replace it with hornbeamctl control replace"
    506 Info VotersChanged { voters: SmolStr }
        "the voters are now {voters}"
        => "none"
    507 Warn ConfigFromDisk { revision: Revision }
        "serving with configuration revision {revision} from disk or from peers: no quorum responded in time"
        => "restore a majority of the control instances; queries continue meanwhile"
    601 Info LogRecovered { entries: u64, torn_bytes: u64 }
        "recovered {entries} entries from the log and truncated {torn_bytes} bytes of an unfinished write"
        => "none"
    602 Error StorageFailed { problem: SmolStr }
        "the disk failed and this instance stops its control role: {problem}"
        => "repair the disk, then replace this voter with hornbeamctl control replace"
    701 Warn FrameRefused { reason: SmolStr }
        "an inner message was refused: {reason}"
        => "check that all instances have the same key file and release"
    702 Warn OperatorRefused { }
        "an operator request had a missing or wrong token"
        => "check the operator's token file"
}
