//! The machine table: entries by name, and their reuse after a machine is gone.

use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::machine::{Machine, MachineState};
use crate::time::{TimeDelta, Timestamp};

/// How long a terminated machine keeps its table entry, so that its late heartbeats are still
/// recognised.
const TERMINATED_RETENTION: TimeDelta = TimeDelta::from_secs(600);

impl Cluster {
    /// Returns the index of the machine with this name. An unknown machine is added in the state
    /// `Booting`, without an address.
    pub fn machine_named(&mut self, now: Timestamp, name: &str) -> MachineIndex {
        if let Some(&index) = self.machines_by_name.get(name) {
            return index;
        }
        let machine = Machine::new(now, name);
        let index = match self.reusable_entry(now) {
            Some(index) => {
                self.machines_by_name.remove(&self.machines[index].name);
                self.machines[index] = machine;
                index
            }
            None => {
                self.machines.push(machine);
                MachineIndex::from(self.machines.len() - 1)
            }
        };
        self.machines_by_name.insert(name.to_owned(), index);
        index
    }

    /// Returns a table entry that can be reused, so that the table does not grow for the whole term
    /// of a leader. The machine must have been terminated for [`TERMINATED_RETENTION`], with
    /// nothing left that refers to it. Only the oldest entry is checked: checking all of them for
    /// every new machine made loading the machine list after a failover quadratic.
    fn reusable_entry(&mut self, now: Timestamp) -> Option<MachineIndex> {
        let &(gone_at, index) = self.terminated.front()?;
        if now.since(gone_at) <= TERMINATED_RETENTION {
            return None;
        }
        self.terminated.pop_front();
        let machine = &self.machines[index];
        if machine.state == MachineState::Terminated
            && machine.tasks.is_empty()
            && !machine.channel.has_request_in_flight()
        {
            return Some(index);
        }
        self.terminated.push_back((now, index));
        None
    }

    /// Records a machine's address as told by another node. The address is unverified, so
    /// it is only used to ask the machine for a heartbeat.
    pub fn hint_address(&mut self, now: Timestamp, name: &str, address: &str) {
        let index = self.machine_named(now, name);
        let machine = &mut self.machines[index];
        if machine.state == MachineState::Booting && machine.address.is_empty() {
            machine.address = address.to_owned();
            machine.hinted_up_at.get_or_insert(now);
        }
    }
}
