//! Connections between nodes. Each node sends to every other node over a connection of its own, and
//! only reads from the connections that it accepts.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use super::frame::{read_frame, Frame, MAX_BODY_BYTES};
use crate::settings::SocketBudget;

/// Maximum number of open connections from peers, with room for stale ones.
pub(crate) const MAX_CONNECTIONS: u32 = 64;
/// Approximate maximum size of one write, in bytes: queued frames are combined up to this size.
const MAX_WRITE_BYTES: usize = 32 * 1024;
/// Time limit for connecting to a peer, and for each write.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame after which an accepted connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after an error while accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Capacity of a send queue for frames other than heartbeats and responses: each second a status,
/// some addresses and the progress of every open job. If one doesn't fit, only a hint is lost.
const MAX_QUEUED_HINTS: usize = 2_048;

/// Encoded bytes of a frame, shared by the queues of all peers that it is sent to.
pub(crate) type EncodedFrame = Rc<Vec<u8>>;

/// Returns the capacity of the send queue for one peer. It holds the hints and a burst of
/// heartbeats from all of a node's connections, or the responses to as many.
pub(crate) fn queue_length(sockets: SocketBudget) -> usize {
    sockets.inbound as usize + MAX_QUEUED_HINTS
}

/// Send queues to the other nodes, by node name. Frames that don't fit into a queue are dropped.
pub(crate) struct PeerSenders {
    queues: Vec<(String, mpsc::Sender<EncodedFrame>)>,
}

impl PeerSenders {
    /// Creates the senders from the name and the send queue of each peer.
    pub(crate) fn new(
        queues: impl IntoIterator<Item = (String, mpsc::Sender<EncodedFrame>)>,
    ) -> PeerSenders {
        PeerSenders { queues: queues.into_iter().collect() }
    }

    /// Queues the frame for all peers.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        let bytes = Rc::new(frame.encode());
        for (_, queue) in &self.queues {
            let _ = queue.try_send(bytes.clone());
        }
    }

    /// Queues the frame for one peer. Does nothing if there is no peer of that name.
    pub(crate) fn send(&self, peer: &str, frame: &Frame) {
        if let Some((_, queue)) = self.queues.iter().find(|(name, _)| name == peer) {
            let _ = queue.try_send(Rc::new(frame.encode()));
        }
    }
}

/// Counts an open connection, and decrements the count when dropped, however the task of the
/// connection ends.
struct OpenConnection(Rc<Cell<u32>>);

impl OpenConnection {
    fn count(open: &Rc<Cell<u32>>) -> OpenConnection {
        open.set(open.get() + 1);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections from other nodes and passes their frames to `handle`.
pub(crate) async fn listen(listener: TcpListener, handle: impl Fn(Frame) + Clone + 'static) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        let connection = OpenConnection::count(&open);
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            let _connection = connection;
            read_frames(stream, handle).await;
        });
    }
}

/// Reads frames until the connection ends, is idle for [`IDLE_TIMEOUT`], or carries an invalid
/// frame.
async fn read_frames(stream: TcpStream, handle: impl Fn(Frame)) {
    // Frames arrive in bursts; the buffer saves system calls.
    let mut stream = BufReader::with_capacity(MAX_BODY_BYTES, stream);
    loop {
        match timeout(IDLE_TIMEOUT, read_frame(&mut stream)).await {
            Ok(Ok(Some(frame))) => handle(frame),
            Ok(Ok(None)) => {}
            Ok(Err(reason)) => {
                debug!(%reason, "closing a peer connection that ended or carried an invalid frame");
                return;
            }
            Err(_) => return,
        }
    }
}

/// Sends the queued frames to one peer, and reconnects when the connection breaks. Frames that
/// can't be sent are dropped: each was only a hint or is retransmitted.
pub(crate) async fn run_sender(address: SocketAddrV4, mut queue: mpsc::Receiver<EncodedFrame>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(first) = queue.recv().await {
        let message = combine_queued(&first, &mut queue);
        if connection.is_none() {
            connection = connect(address).await;
        }
        if let Some(stream) = &mut connection {
            if !matches!(timeout(SEND_TIMEOUT, stream.write_all(&message)).await, Ok(Ok(()))) {
                connection = None;
            }
        }
    }
}

/// Combines the frame and those queued behind it into one write of about [`MAX_WRITE_BYTES`] at
/// most.
fn combine_queued(first: &[u8], queue: &mut mpsc::Receiver<EncodedFrame>) -> Vec<u8> {
    let mut message = first.to_vec();
    while message.len() < MAX_WRITE_BYTES {
        let Ok(more) = queue.try_recv() else { break };
        message.extend_from_slice(&more);
    }
    message
}

async fn connect(address: SocketAddrV4) -> Option<TcpStream> {
    let stream = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}
