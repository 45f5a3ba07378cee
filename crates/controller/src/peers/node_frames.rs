//! Frames about nodes and machines: the status of a node, and the addresses of machines.

use std::net::SocketAddrV4;
use walnutlug_scheduler::leadership::fencing_token::Term;

use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::layout::{self, name_field, NODE_NAME_BYTES};
use super::FrameError;

/// Maximum number of machines in one frame. With one machine per frame, the hints of a large fleet
/// overflowed the send queue, and a failover queried only a part of the machines.
pub(crate) const MAX_MACHINES: usize = 120;
/// Size of a field that holds a machine's name, in bytes.
const MACHINE_NAME_BYTES: usize = 26;

/// Status that a node sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NodeStatus {
    /// Name of the sender.
    pub(crate) name: String,
    /// Term under which the sender leads; zero if it doesn't lead.
    pub(crate) term: Term,
    /// Whether the sender is the leader.
    pub(crate) leading: bool,
    /// Whether the key-value store answers the sender.
    pub(crate) store_reachable: bool,
    /// Number of worker heartbeats that the sender answered with a redirect in the last seconds.
    pub(crate) redirected: u16,
    /// Incarnation of the sender.
    pub(crate) incarnation: u64,
    /// Number of statuses that this incarnation sent before this one.
    pub(crate) count: u64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct StatusBody {
    term: U64,
    name: [u8; NODE_NAME_BYTES],
    leading: u8,
    store_reachable: u8,
    redirected: U16,
    incarnation: U64,
    count: U64,
}

impl NodeStatus {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = StatusBody {
            term: self.term.get().into(),
            name: name_field(&self.name),
            leading: u8::from(self.leading),
            store_reachable: u8::from(self.store_reachable),
            redirected: self.redirected.into(),
            incarnation: self.incarnation.into(),
            count: self.count.into(),
        };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<NodeStatus, FrameError> {
        let (body, _) = layout::split_fixed_part::<StatusBody>(body)?;
        Ok(NodeStatus {
            name: layout::required_name(&body.name)?,
            term: Term(body.term.get()),
            leading: body.leading != 0,
            store_reachable: body.store_reachable != 0,
            redirected: body.redirected.get(),
            incarnation: body.incarnation.get(),
            count: body.count.get(),
        })
    }
}

/// Memory that the leader's jobs may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldJobs {
    /// Term of the leader.
    pub(crate) term: Term,
    /// Most memory that its jobs may take besides their placed tasks, in bytes.
    pub(crate) bytes: u64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct HeldJobsBody {
    term: U64,
    bytes: U64,
}

impl HeldJobs {
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = HeldJobsBody { term: self.term.get().into(), bytes: self.bytes.into() };
        body.as_bytes().to_vec()
    }

    pub(super) fn decode(body: &[u8]) -> Result<HeldJobs, FrameError> {
        let (body, _) = layout::split_fixed_part::<HeldJobsBody>(body)?;
        Ok(HeldJobs { term: Term(body.term.get()), bytes: body.bytes.get() })
    }
}

/// Network address of a machine's worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MachineAddress {
    /// Name of the machine.
    pub(crate) machine: String,
    /// Address on which the worker listens for commands.
    pub(crate) address: SocketAddrV4,
}

/// One entry in a frame of machine addresses.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct MachineEntry {
    name: [u8; MACHINE_NAME_BYTES],
    ip: U32,
    port: U16,
}

pub(super) fn encode_machines(machines: &[MachineAddress]) -> Vec<u8> {
    let mut body = Vec::with_capacity(machines.len() * size_of::<MachineEntry>());
    // No cloud has used names too long for the field so far. A machine with such a name is left out
    // of the hints and reports by itself later.
    let fits = |entry: &&MachineAddress| entry.machine.len() <= MACHINE_NAME_BYTES;
    for MachineAddress { machine, address } in machines.iter().take(MAX_MACHINES).filter(fits) {
        let entry = MachineEntry {
            name: name_field(machine),
            ip: u32::from(*address.ip()).into(),
            port: address.port().into(),
        };
        body.extend_from_slice(entry.as_bytes());
    }
    body
}

pub(super) fn decode_machines(body: &[u8]) -> Result<Vec<MachineAddress>, FrameError> {
    let entries = layout::entries::<MachineEntry>(body)?;
    if body.len() > MAX_MACHINES * size_of::<MachineEntry>() {
        return Err(FrameError::TooManyMachines { length: body.len() });
    }
    let machine = |entry: MachineEntry| {
        let address = SocketAddrV4::new(entry.ip.get().into(), entry.port.get());
        Ok(MachineAddress { machine: layout::required_name(&entry.name)?, address })
    };
    entries.map(machine).collect()
}
