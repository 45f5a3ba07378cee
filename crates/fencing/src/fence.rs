//! Transactions that commit only while the writer still holds its role.

use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::storage::revision::Revision;

use crate::leased_role::{Epoch, LeasedRole};

/// Precondition of every write by a role's holder: the role key still has the holder's epoch as its
/// revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    role: LeasedRole,
    epoch: Epoch,
}

impl Fence {
    /// Creates the fence for a role that is held under the given epoch.
    pub fn new(role: LeasedRole, epoch: Epoch) -> Fence {
        Fence { role, epoch }
    }

    /// Returns the epoch that the writes are conditional on.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the role that the writes belong to.
    pub fn role(&self) -> LeasedRole {
        self.role
    }

    fn compare(&self) -> Compare {
        Compare { key: self.role.key(), revision: self.epoch.revision() }
    }

    /// Returns whether the failed preconditions include the fence, which means that the role is
    /// lost.
    pub fn is_broken_by(&self, failed: &[String]) -> bool {
        failed.contains(&self.role.key())
    }
}

/// Builder of a transaction that is conditional on a fence. All writes of a role are built here, so
/// none is unfenced.
#[derive(Debug)]
pub struct FencedWrite {
    transaction: Transaction,
}

impl FencedWrite {
    /// Creates a transaction with the fence as its only precondition and no operations.
    pub fn new(fence: &Fence) -> FencedWrite {
        FencedWrite {
            transaction: Transaction { compares: vec![fence.compare()], operations: Vec::new() },
        }
    }

    /// Adds an operation on a key that must not exist yet.
    pub fn create(&mut self, key: &str, operation: Operation) {
        self.transaction.compares.push(Compare { key: key.to_owned(), revision: Revision::NONE });
        self.transaction.operations.push(operation);
    }

    /// Adds an operation on a key that only the role's holder writes, so that the fence is
    /// precondition enough.
    pub fn change(&mut self, operation: Operation) {
        self.transaction.operations.push(operation);
    }

    /// Returns the number of operations.
    pub fn len(&self) -> usize {
        self.transaction.operations.len()
    }

    /// Returns whether the transaction has no operations.
    pub fn is_empty(&self) -> bool {
        self.transaction.operations.is_empty()
    }

    /// Returns the finished transaction.
    pub fn into_transaction(self) -> Transaction {
        self.transaction
    }
}
