//! Messages between nodes: frames with fixed binary layouts, and the connections that carry them.
//!
//! Losing or delaying a frame costs time but never breaks an invariant, so a frame that can't be
//! decoded simply closes its connection. All frames are hints except cancellations: these are sent
//! only once they are stored, and are acknowledged and retransmitted
//! (`walnutlug_scheduler::leadership::watermark`).

mod connections;
mod frame;
mod heartbeat_frames;
mod job_frames;
mod layout;
mod node_frames;

#[cfg(test)]
pub(crate) use connections::MAX_CONNECTIONS;
pub(crate) use connections::{listen, queue_length, run_sender, PeerSenders};
#[cfg(test)]
pub(crate) use frame::read_frame;
pub(crate) use frame::{Frame, FrameError};
pub(crate) use heartbeat_frames::{
    DelegationGranted, DelegationRequest, ForwardedHeartbeat, ForwardedResponse, RepeatedHeartbeat,
    MAX_ENTRIES, MAX_FORWARDED_BYTES,
};
pub(crate) use job_frames::{CancellationLogEnd, Cancellations, CancellationsAck};
pub(crate) use node_frames::{HeldJobs, MachineAddress, NodeStatus, MAX_MACHINES};

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
