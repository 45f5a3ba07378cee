//! Who leads, and how far a leader's knowledge of cancellations goes.

pub mod election;
pub mod fencing_token;
pub mod watermark;
