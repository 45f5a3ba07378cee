//! The frames about nodes and machines: a node's status, and where machines can be reached.

use std::net::SocketAddrV4;
use walnutlug_scheduler::leadership::fencing_token::Term;

use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use super::layout::{self, name_field, NODE_NAME_BYTES};
use super::FrameError;

/// Machines in one frame. One frame each, the hints of a large fleet overran the queue, and a failover asked only a
/// part of it.
pub(crate) const MAX_MACHINES: usize = 120;
/// Bytes of a machine's name.
const MACHINE_NAME_BYTES: usize = 26;

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NodeStatus {
    /// The node that speaks.
    pub(crate) name: String,
    /// The term under which it leads; zero if it doesn't.
    pub(crate) term: Term,
    /// Whether it leads.
    pub(crate) leading: bool,
    /// Whether the key-value store serves it.
    pub(crate) store_reachable: bool,
    /// Worker heartbeats answered with a redirect in the last seconds.
    pub(crate) redirected: u16,
    /// Which incarnation of the node speaks.
    pub(crate) incarnation: u64,
    /// Statuses that this incarnation sent before.
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
        let (body, _) = layout::fixed_part::<StatusBody>(body)?;
        Ok(NodeStatus {
            name: layout::name(&body.name)?,
            term: Term(body.term.get()),
            leading: body.leading != 0,
            store_reachable: body.store_reachable != 0,
            redirected: body.redirected.get(),
            incarnation: body.incarnation.get(),
            count: body.count.get(),
        })
    }
}

/// Where a machine can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MachineAddress {
    /// The machine's name.
    pub(crate) machine: String,
    /// Where its worker listens for commands.
    pub(crate) address: SocketAddrV4,
}

/// One machine of many in a frame.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy)]
#[repr(C)]
struct MachineEntry {
    name: [u8; MACHINE_NAME_BYTES],
    ip: U32,
    port: U16,
}

pub(super) fn encode_machines(machines: &[MachineAddress]) -> Vec<u8> {
    let mut body = Vec::with_capacity(machines.len() * size_of::<MachineEntry>());
    // A longer name than any cloud gave so far doesn't fit, and its machine reports by itself later.
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
        Ok(MachineAddress { machine: layout::name(&entry.name)?, address })
    };
    entries.map(machine).collect()
}
