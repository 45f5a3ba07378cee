//! Roles that one node at a time may carry out, each under a lease and an epoch, and the fence around what
//! their holder does outside.
//!
//! Like the scheduler, this crate has no clock and no input or output: times, answers and stored records come in,
//! transactions and requests go out. `docs/fencing.md` gives the argument.

pub mod action_state;
pub mod adoption;
pub mod fence;
pub mod intent;
pub mod intent_log;
pub mod lease;
pub mod leased_role;
pub mod role_balancer;
