//! Sharing an overloaded fleet between teams and their classes of jobs.
//!
//! While there is room for everything, the order of the queue is nobody's concern but the
//! scheduler's. When work waits that finds no room ([`saturation`]), room is dealt out in small
//! portions ([`deal`]) by the shares that teams and classes hold of the fleet ([`shares`]), so that
//! neither one team's flood of jobs nor a flood of one class keeps the others from their part.
//!
//! Where jobs are accepted, teams take turns as well ([`turns`]).
//!
//! Everything here is a plain state machine: no input or output and no clock. See
//! `docs/admission.md`.

pub mod deal;
pub mod resources;
pub mod saturation;
pub mod shares;
pub mod turns;
