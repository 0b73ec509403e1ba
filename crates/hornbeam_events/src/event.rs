//! The event kinds with number, level, text and remedy.
//!
//! Numbers are stable: a retired number is never used again. 1xx process, 2xx queries,
//! 3xx backend servers, 4xx membership, 5xx control, 6xx storage, 7xx security.

use hornbeam_model::{
    Incarnation, IndexVersion, InstanceId, QueryId, Revision, ServerId, ServiceId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::catalogue::EventKind;

/// How urgent an event is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Ordinary course of things.
    Info,
    /// Worth a look when it repeats.
    Warn,
    /// Needs an operator.
    Error,
}

macro_rules! events {
    ($(
        $number:literal $level:ident $name:ident
        { $($(#[$fdoc:meta])* $field:ident : $ty:ty),* $(,)? }
        $text:literal
        => $remedy:literal
    )*) => {
        /// One thing that happened.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        #[serde(tag = "event", rename_all = "snake_case")]
        pub enum Event {
            $(
                #[doc = $text]
                $name { $(#[allow(missing_docs)] $field: $ty),* },
            )*
        }

        impl Event {
            /// The stable number of the kind.
            pub fn number(&self) -> u16 {
                match self { $(Self::$name { .. } => $number,)* }
            }

            /// The name of the kind.
            pub fn name(&self) -> &'static str {
                match self { $(Self::$name { .. } => stringify!($name),)* }
            }

            /// How urgent the kind is.
            pub fn level(&self) -> Level {
                match self { $(Self::$name { .. } => Level::$level,)* }
            }

            /// The event in words.
            pub fn message(&self) -> String {
                match self {
                    $(Self::$name { $($field),* } => {
                        $(let _ = $field;)*
                        format!($text)
                    })*
                }
            }
        }

        /// All kinds in the order of their numbers.
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
        "shutdown began with {in_flight} requests in flight"
        => "none"
    103 Info ProcessStopped { }
        "instance stopped with no request in flight"
        => "none"
    104 Error RequestsAbandoned { in_flight: u64 }
        "shutdown was forced: {in_flight} requests in flight are abandoned"
        => "send one SIGTERM only and allow the longest patience before a second"
    105 Warn SignalRepeated { in_flight: u64 }
        "second SIGTERM: still waiting for {in_flight} requests; a third abandons them"
        => "wait, or send a third SIGTERM to abandon them"
    201 Info SnapshotChanged { service: ServiceId, from: IndexVersion, to: IndexVersion }
        "service {service} answers from index version {to} instead of {from}"
        => "none"
    202 Warn ShardCountConflict { service: ServiceId, version: IndexVersion, server: ServerId }
        "server {server} disagrees on the shard count of index version {version} of {service}; the version is unusable"
        => "re-publish the index version under a new number or stop the server that announces it wrongly"
    203 Info ShardCountAgreed { service: ServiceId, version: IndexVersion }
        "servers agree again on the shard count of index version {version} of {service}"
        => "none"
    204 Info QueryRestarted { service: ServiceId, query: QueryId, from: IndexVersion, to: IndexVersion }
        "query {query} of {service} restarted on index version {to}: {from} lost shards while it ran"
        => "retire an index version only after queries have moved off it"
    205 Warn AnswerShort { service: ServiceId, query: QueryId, lacking: u64 }
        "query {query} of {service} was answered without {lacking} of its shards"
        => "look at the servers of these shards with hornbeamctl status"
    206 Warn ReplyDropped { server: ServerId, reason: SmolStr }
        "a reply of server {server} was dropped: {reason}"
        => "upgrade or restart the server if this repeats"
    207 Warn Overloaded { service: ServiceId, limit: u64 }
        "service {service} refuses queries: its concurrency limit fell to {limit}"
        => "add searchers or lower the load"
    301 Info ServerJoined { server: ServerId, service: ServiceId }
        "server {server} of {service} is ready"
        => "none"
    302 Info ServerDraining { server: ServerId }
        "server {server} is draining and gets no new work"
        => "none"
    303 Warn ServerLapsed { server: ServerId }
        "server {server} has not announced itself within its lease and gets no new work"
        => "check that the server runs and reaches an instance of its zone"
    304 Warn ServerEjected { server: ServerId, failures: u64 }
        "server {server} is avoided for a while after {failures} failures"
        => "look at the server's own log"
    305 Info ServerRestored { server: ServerId }
        "server {server} is used again"
        => "none"
    306 Info ServerLeft { server: ServerId }
        "server {server} left"
        => "none"
    401 Info PeerAlive { peer: InstanceId }
        "instance {peer} is heard"
        => "none"
    402 Warn PeerSilent { peer: InstanceId }
        "instance {peer} is silent"
        => "check the instance and the network between the zones"
    403 Warn ViewLapsed { registrar: InstanceId, servers: u64 }
        "the view of registrar {registrar} lapsed with {servers} servers"
        => "none if its servers announce to another registrar; else check the zone's network"
    404 Info PeerLeft { peer: InstanceId }
        "instance {peer} left in good order"
        => "none"
    501 Info BecameLeader { term: u64 }
        "this instance leads control in term {term}"
        => "none"
    502 Warn SteppedDown { term: u64, reason: SmolStr }
        "this instance no longer leads control in term {term}: {reason}"
        => "check the network between the control instances if this repeats"
    503 Info ConfigInForce { revision: Revision }
        "configuration revision {revision} is in force here"
        => "none"
    504 Warn ConfigUnconfirmed { revision: Revision, age_ms: u64 }
        "revision {revision} is used without confirmation by a quorum for {age_ms} ms"
        => "check that a majority of control instances runs and is reachable"
    505 Error VoterRefused { reason: SmolStr }
        "this instance does not vote: {reason}"
        => "replace it with hornbeamctl control replace"
    506 Info VotersChanged { voters: SmolStr }
        "the voters are now {voters}"
        => "none"
    507 Warn ConfigFromDisk { revision: Revision }
        "serving from revision {revision} found on disk or at peers: no quorum answered in time"
        => "restore a majority of control instances; queries go on meanwhile"
    601 Info LogRecovered { entries: u64, torn_bytes: u64 }
        "the log was read: {entries} entries, {torn_bytes} bytes of an unfinished write cut off"
        => "none"
    602 Error StorageFailed { problem: SmolStr }
        "the disk failed, the control role stops here: {problem}"
        => "repair the disk, then replace this voter with hornbeamctl control replace"
    701 Warn FrameRefused { reason: SmolStr }
        "an inner message was refused: {reason}"
        => "check that all instances have the same key file and release"
    702 Warn OperatorRefused { }
        "an operator request had a missing or wrong token"
        => "check the operator's token file"
}
