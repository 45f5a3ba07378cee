//! Fair sharing of an overloaded fleet between teams and their classes of jobs.
//!
//! As long as there is room for all jobs, the scheduler's queue order applies unchanged. When
//! waiting work finds no room ([`saturation`]), free resources are divided in small portions
//! ([`deal`]) according to the shares of the fleet that teams and classes hold ([`shares`]). A
//! flood of jobs from one team, or of one class, then cannot keep the others from their share.
//!
//! Submissions are accepted in round-robin order of the teams ([`turns`]), and only as far as a
//! leader has memory for them ([`job_memory`]).
//!
//! All types are plain state machines without I/O and without a clock. See `docs/admission.md`.

pub mod deal;
pub mod job_memory;
pub mod resources;
pub mod saturation;
pub mod shares;
pub mod turns;
