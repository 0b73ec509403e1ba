//! Links between entries and servers, which can be cut while all other links of an entry work.
//!
//! Each server announces an address of a proxy. All entries connect to it from the same address, so
//! the proxy finds the entry by the process that owns the other end of the connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::TcpListener;

use crate::proxy::{LinkState, Links, forward_stream, reset};

/// Links to all servers, by the process id of the entry.
#[derive(Clone, Debug, Default)]
pub struct EntryLinks {
    by_pid: Arc<Mutex<HashMap<u32, Links>>>,
}

impl EntryLinks {
    /// Adds an entry that has just started.
    pub fn add(&self, pid: u32, links: Links) {
        self.by_pid.lock().unwrap_or_else(PoisonError::into_inner).insert(pid, links);
    }

    /// Forwards the connections of entries that `listener` accepts to `server`.
    pub async fn proxy(&self, listener: TcpListener, server: SocketAddr) {
        let Ok(proxy) = listener.local_addr() else { return };
        while let Ok((stream, from)) = listener.accept().await {
            let links = self.links_of(from, proxy).unwrap_or_default();
            // The system has accepted the connection already, so it is reset instead of refused.
            if matches!(links.state(), LinkState::Blocked | LinkState::RefusesNew) {
                reset(&stream);
                continue;
            }
            tokio::spawn(forward_stream(stream, server, links));
        }
    }

    /// Returns the links of the entry that opened the connection between two addresses.
    fn links_of(&self, from: SocketAddr, to: SocketAddr) -> Option<Links> {
        let inode = socket_inode(from, to)?;
        let by_pid = self.by_pid.lock().unwrap_or_else(PoisonError::into_inner);
        by_pid.iter().find(|(pid, _)| owns_socket(**pid, &inode)).map(|(_, links)| links.clone())
    }
}

/// Returns the inode of the socket at the opening end of a connection over IPv4.
fn socket_inode(from: SocketAddr, to: SocketAddr) -> Option<String> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => {
            Some(format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()))
        }
        SocketAddr::V6(_) => None,
    };
    let (from, to) = (hex(from)?, hex(to)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(1) == Some(&&from[..]) && fields.get(2) == Some(&&to[..]))
            .then(|| fields.get(9).map(|inode| (*inode).to_owned()))
    });
    row.flatten()
}

fn owns_socket(pid: u32, inode: &str) -> bool {
    let socket = format!("socket:[{inode}]");
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    descriptors
        .flatten()
        .any(|d| std::fs::read_link(d.path()).is_ok_and(|target| target == Path::new(&socket)))
}
