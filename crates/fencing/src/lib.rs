//! Roles that one node at a time holds under a lease, and the fencing of their writes and cloud
//! actions by an epoch.
//!
//! Like the scheduler, this crate has no clock and does no I/O: it takes times, responses and
//! stored records, and returns transactions and requests. `docs/fencing.md` explains why the
//! protocol is safe.

pub mod action_state;
pub mod adoption;
pub mod fence;
pub mod intent;
pub mod intent_log;
pub mod lease;
pub mod leased_role;
pub mod role_balancer;
