//! A pool of idle connections, limited per address and in total.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

/// Limit on idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// A connection that has been idle for longer is closed instead of being reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Idle connections by address. Each list is in the order of insertion, so the first entry has been
/// idle for longest.
#[derive(Debug)]
pub(super) struct Pool<T> {
    idle: HashMap<SocketAddrV4, Vec<Idle<T>>>,
}

#[derive(Debug)]
struct Idle<T> {
    connection: T,
    idle_since: Instant,
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

    /// Adds an idle connection, or closes it if the address already has the maximum.
    pub(super) fn put(&mut self, addr: SocketAddrV4, connection: T) {
        let list = self.idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(Idle { connection, idle_since: Instant::now() });
        }
    }

    /// Removes and returns the most recently used connection to the address that is neither too old
    /// nor unusable. Those found too old or unusable are closed.
    pub(super) fn take(&mut self, addr: SocketAddrV4, is_usable: impl Fn(&T) -> bool) -> Option<T> {
        let list = self.idle.get_mut(&addr)?;
        while let Some(Idle { connection, idle_since }) = list.pop() {
            if idle_since.elapsed() <= MAX_IDLE_TIME && is_usable(&connection) {
                return Some(connection);
            }
        }
        self.idle.remove(&addr);
        None
    }

    /// Closes the connections that have been idle for longest until at most `max` are left in total.
    pub(super) fn shrink(&mut self, max: usize) {
        for _ in max..self.len() {
            let oldest = self
                .idle
                .iter()
                .filter_map(|(&addr, list)| Some((list.first()?.idle_since, addr)))
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
