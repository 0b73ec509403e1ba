//! Fields of a settings file as written, with their lines.

use std::net::SocketAddr;
use std::path::PathBuf;

use hornbeam_model::{InstanceId, Zone};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::settings::{Peer, Role};

/// Fields of a settings file before their ranges and combinations are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub instance: InstanceId,
    pub zone: Zone,
    pub http: Spanned<SocketAddr>,
    pub inner: Spanned<SocketAddr>,
    #[serde(default = "default_roles")]
    pub roles: Spanned<Vec<Role>>,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    pub key_file: Spanned<PathBuf>,
    #[serde(default)]
    pub operator_token_file: Option<Spanned<PathBuf>>,
    #[serde(default)]
    pub peers: Vec<Spanned<Peer>>,
    #[serde(default)]
    pub voters: Option<Spanned<Vec<InstanceId>>>,
    #[serde(default)]
    pub max_in_flight: Option<Spanned<u32>>,
    #[serde(default)]
    pub max_body_bytes: Option<Spanned<u32>>,
    #[serde(default)]
    pub memory_mb: Option<Spanned<u32>>,
    #[serde(default)]
    pub descriptors: Option<Spanned<u32>>,
    #[serde(default)]
    pub announce_every_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub lease_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub config_wait_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub traffic_threads: Option<Spanned<u32>>,
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    #[serde(default)]
    pub seed: Option<u64>,
}

fn default_roles() -> Spanned<Vec<Role>> {
    Spanned::new(
        vec![Role::Entry],
        serde_saphyr::Location::UNKNOWN,
        serde_saphyr::Location::UNKNOWN,
    )
}
