//! How a node's sockets are shared out.

/// Own descriptors and listeners.
const OWN: usize = 8;
/// Requests to the key-value store and the cloud, beside two watches.
const REQUESTS: usize = 12;
/// A connection each way with one to spare for every other node.
const PER_PEER: usize = 3;
/// Some users and workers.
const USERS_AND_WORKERS: usize = 16;

/// Percent of the limit, as the table at [`SocketBudget`] says.
const INBOUND: u32 = 76;
const WORKER_KEEP_ALIVE_LIMIT: u32 = 64;
const OUTBOUND: u32 = 16;
const MESSAGES: u32 = 11;
const MIN_MESSAGES: u32 = 4;

/// How a node's sockets are shared out. One node leads, so all workers may keep a connection to it,
/// and it sends to all of them: without shares either could take every socket. Shares count what is
/// needed of a limit `L` at the size that the platform plans for (a fleet of up to 0.62 L machines):
///
/// | who | part of L |
/// | --- | --- |
/// | workers' own connections, kept open | 64% |
/// | users, probes, and workers beyond that for one heartbeat each | 12% |
/// | requests of this node: messages to workers 11%, the rest store, cloud and idle connections | 16% |
/// | other nodes, listeners, connections that are closing | 8% |
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SocketBudget {
    /// Most connections from users and workers.
    pub(crate) inbound: u32,
    /// Beyond this many, a worker's connection is closed after its answer: the rest is for users.
    pub(crate) worker_keep_alive_limit: u32,
    /// Most connections to others, idle ones included.
    pub(crate) outbound: u32,
    /// Most messages in flight to workers at once.
    pub(crate) messages: u32,
}

impl SocketBudget {
    /// The fewest sockets with which a node of so many peers can work.
    pub(crate) fn minimum(peers: usize) -> u32 {
        (OWN + REQUESTS + PER_PEER * peers + USERS_AND_WORKERS) as u32
    }

    /// What is left over is for the other nodes, the listeners and connections that are closing.
    pub(crate) fn for_limit(limit: u32) -> SocketBudget {
        let part = |percent: u32| (u64::from(limit) * u64::from(percent) / 100) as u32;
        SocketBudget {
            inbound: part(INBOUND),
            worker_keep_alive_limit: part(WORKER_KEEP_ALIVE_LIMIT),
            outbound: part(OUTBOUND),
            messages: part(MESSAGES).max(MIN_MESSAGES),
        }
    }
}
