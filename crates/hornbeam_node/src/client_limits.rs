//! How many connections clients may open to a process, and how much memory what they send may take.

/// Fewest connections of clients.
const MIN_CLIENTS: usize = 16;
const MAX_PAGE_CONNECTIONS: usize = 64;
/// Connections to ports between programs per megabyte of memory, before they have shown the key.
const STRANGERS_PER_MB: usize = 2;

/// How many connections of each kind a process may have, and how much memory for what clients send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Connections of callers, servers and operators.
    pub clients: usize,
    /// Connections to a page of readiness or metrics.
    pub pages: usize,
    /// Connections to a port between programs that have not shown the key yet.
    pub strangers: usize,
    /// Memory for what clients send, in bytes.
    pub memory: usize,
}

/// Which part of a process clients may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientShare {
    /// Part of the memory that may hold what they send, in percent.
    pub memory_percent: usize,
    /// Connections for each megabyte of memory. One has buffers of about 16 KB, and the kernel holds up to 32 KB.
    pub clients_per_mb: usize,
}

impl ClientLimits {
    /// Derives the limits from the memory of the process in megabytes and its descriptors according to its settings;
    /// those that it has may be fewer.
    pub fn new(memory_mb: u32, descriptors: u32, share: ClientShare) -> Self {
        let descriptors = (descriptors as usize).min(descriptor_limit());
        let memory_mb = memory_mb as usize;
        Self {
            clients: (share.clients_per_mb * memory_mb).min(descriptors / 8 * 5).max(MIN_CLIENTS),
            pages: MAX_PAGE_CONNECTIONS.min(descriptors / 16),
            strangers: (STRANGERS_PER_MB * memory_mb).min(descriptors / 16),
            memory: (memory_mb << 20) / 100 * share.memory_percent,
        }
    }
}

/// Returns the number of descriptors that this process may open.
fn descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(usize::MAX)
}
