//! Writes that take effect only while the writer still holds its role.

use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::storage::revision::Revision;

use crate::leased_role::{Epoch, LeasedRole};

/// What every write of a role's holder is conditional on. There is none without an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    role: LeasedRole,
    epoch: Epoch,
}

impl Fence {
    /// The fence of the role, held under that epoch.
    pub fn new(role: LeasedRole, epoch: Epoch) -> Fence {
        Fence { role, epoch }
    }

    /// The epoch that the writes are fenced by.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The role whose writes these are.
    pub fn role(&self) -> LeasedRole {
        self.role
    }

    fn compare(&self) -> Compare {
        Compare { key: self.role.key(), revision: self.epoch.revision() }
    }

    /// Whether one of these failed conditions means that the role is another's now.
    pub fn is_broken_by(&self, failed: &[String]) -> bool {
        failed.contains(&self.role.key())
    }
}

/// A transaction in the making, under a fence. Nothing else makes a role's writes, so none goes round it.
#[derive(Debug)]
pub struct FencedWrite {
    transaction: Transaction,
}

impl FencedWrite {
    /// An empty write under the fence.
    pub fn new(fence: &Fence) -> FencedWrite {
        FencedWrite {
            transaction: Transaction { compares: vec![fence.compare()], operations: Vec::new() },
        }
    }

    /// Adds a key that must not exist yet.
    pub fn create(&mut self, key: &str, change: Operation) {
        self.transaction.compares.push(Compare { key: key.to_owned(), revision: Revision::NONE });
        self.transaction.operations.push(change);
    }

    /// Adds a change to a key that nobody but the role's holder writes.
    pub fn change(&mut self, change: Operation) {
        self.transaction.operations.push(change);
    }

    /// How many changes it makes.
    pub fn len(&self) -> usize {
        self.transaction.operations.len()
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.transaction.operations.is_empty()
    }

    /// The transaction to send.
    pub fn into_transaction(self) -> Transaction {
        self.transaction
    }
}
