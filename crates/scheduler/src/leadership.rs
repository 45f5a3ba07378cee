//! Leader election, fencing tokens, and the point in time up to which a leader knows all
//! cancellations.

pub mod authority;
pub mod cancellation_log;
pub mod election;
pub mod fencing_token;
pub mod watermark;
