//! Connections that wait for their next use.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

/// Idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// An older connection is not used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Idle connections, the longest idle first for each address.
#[derive(Debug)]
pub(super) struct Pool<T> {
    idle: HashMap<SocketAddrV4, Vec<Idle<T>>>,
}

#[derive(Debug)]
struct Idle<T> {
    connection: T,
    since: Instant,
}

impl<T> Default for Pool<T> {
    fn default() -> Pool<T> {
        Pool { idle: HashMap::new() }
    }
}

impl<T> Pool<T> {
    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Keeps a connection, or closes it if there are enough to that address.
    pub(super) fn put(&mut self, addr: SocketAddrV4, connection: T) {
        let list = self.idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(Idle { connection, since: Instant::now() });
        }
    }

    /// The connection used last that is not too old and still usable.
    pub(super) fn take(&mut self, addr: SocketAddrV4, is_usable: impl Fn(&T) -> bool) -> Option<T> {
        let list = self.idle.get_mut(&addr)?;
        while let Some(Idle { connection, since }) = list.pop() {
            if since.elapsed() <= MAX_IDLE_TIME && is_usable(&connection) {
                return Some(connection);
            }
        }
        self.idle.remove(&addr);
        None
    }

    /// Closes those that have been idle longest until at most `most` are left.
    pub(super) fn shrink(&mut self, most: usize) {
        for _ in most..self.len() {
            let oldest = self
                .idle
                .iter()
                .filter_map(|(&addr, list)| Some((list.first()?.since, addr)))
                .min();
            let Some((_, addr)) = oldest else { return };
            if let Some(list) = self.idle.get_mut(&addr) {
                list.remove(0);
                if list.is_empty() {
                    self.idle.remove(&addr);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
