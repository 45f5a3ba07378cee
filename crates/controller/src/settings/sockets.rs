//! Divides a node's limit on open sockets among its uses.

/// File descriptors of the process itself, and its listening sockets.
const PROCESS_AND_LISTENERS: usize = 8;
/// Requests to the key-value store and the cloud in progress at once, besides two watches.
const MIN_OUTBOUND_REQUESTS: usize = 12;
/// One connection in each direction for every other node, and a spare one.
const SOCKETS_PER_PEER: usize = 3;
/// Connections from users and workers that even the smallest permitted limit leaves room for.
const MIN_USERS_AND_WORKERS: usize = 16;

/// Shares in percent of the limit; the table at [`SocketBudget`] explains them.
const INBOUND_PERCENT: u32 = 76;
const WORKER_KEEP_ALIVE_PERCENT: u32 = 64;
const OUTBOUND_PERCENT: u32 = 16;
const MESSAGES_PERCENT: u32 = 11;
/// Lower bound on messages in flight, for nodes with a small limit.
const MIN_MESSAGES: u32 = 4;

/// The maximum number of sockets for each use, derived from the node's limit on open files. All
/// workers may keep a connection open to the leader, and the leader sends messages to all of them;
/// without separate shares, either use could take every socket. The shares of a limit `L` are sized
/// for the fleet that the platform plans for, up to 0.62 L machines:
///
/// | use | share of L |
/// | --- | --- |
/// | connections that workers keep open | 64% |
/// | users, health probes, and further workers, which connect for a single heartbeat | 12% |
/// | outbound requests: messages to workers 11%, the rest for the store, the cloud and idle connections | 16% |
/// | other nodes, listeners, connections that are closing | 8% |
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SocketBudget {
    /// Maximum number of open connections from users and workers.
    pub(crate) inbound: u32,
    /// Number of inbound connections above which a worker's connection is closed after each
    /// response. The rest up to `inbound` is reserved for users.
    pub(crate) worker_keep_alive_limit: u32,
    /// Maximum number of connections that this node opens to workers, the store and the cloud, idle
    /// ones included.
    pub(crate) outbound: u32,
    /// Maximum number of messages to workers in flight at once.
    pub(crate) messages: u32,
}

impl SocketBudget {
    /// Returns the lowest limit with which a node that has this number of peers can work.
    pub(crate) fn minimum(peers: usize) -> u32 {
        (PROCESS_AND_LISTENERS
            + MIN_OUTBOUND_REQUESTS
            + SOCKETS_PER_PEER * peers
            + MIN_USERS_AND_WORKERS) as u32
    }

    /// Divides the limit by the fixed shares. The sockets that are not assigned are left for the
    /// other nodes, the listeners and connections that are closing.
    pub(crate) fn for_limit(limit: u32) -> SocketBudget {
        let percent_of_limit = |percent: u32| (u64::from(limit) * u64::from(percent) / 100) as u32;
        SocketBudget {
            inbound: percent_of_limit(INBOUND_PERCENT),
            worker_keep_alive_limit: percent_of_limit(WORKER_KEEP_ALIVE_PERCENT),
            outbound: percent_of_limit(OUTBOUND_PERCENT),
            messages: percent_of_limit(MESSAGES_PERCENT).max(MIN_MESSAGES),
        }
    }
}
