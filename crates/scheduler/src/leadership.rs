//! Who leads, and how far a leader's knowledge of cancellations goes.

pub mod authority;
pub mod election;
pub mod watermark;
