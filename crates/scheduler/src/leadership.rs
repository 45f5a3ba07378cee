//! Who leads, and up to when a leader knows every cancellation.

pub mod authority;
pub mod cancellation_log;
pub mod election;
pub mod fencing_token;
pub mod watermark;
