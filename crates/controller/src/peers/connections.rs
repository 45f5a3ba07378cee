//! The connections between nodes: each node sends to each other one over a connection of its own, and only reads on
//! those that it accepted.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use super::frame::{read_frame, Frame, MAX_BODY};
use crate::settings::SocketBudget;

/// Connections from peers at once, with room for stale ones.
pub(crate) const MAX_CONNECTIONS: u32 = 64;
/// Bytes sent in one piece, about.
const MAX_WRITE: usize = 32 * 1024;
/// Time to connect to a peer, and to write one piece.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection on which nothing came for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a connection couldn't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Messages that wait for another node beside its workers' heartbeats: a status, some addresses and the progress of
/// every open job each second. If one doesn't fit, only a hint is lost.
const QUEUED_HINTS: usize = 2_048;

/// A frame's bytes on their way to one peer or several.
pub(crate) type EncodedFrame = Rc<Vec<u8>>;

/// Messages that may wait for another node: in a burst the heartbeats on all of a node's connections, or the answers
/// to as many, and the hints.
pub(crate) fn queue_length(sockets: SocketBudget) -> usize {
    sockets.inbound as usize + QUEUED_HINTS
}

/// The queues of frames to the other nodes, by name. What doesn't fit is dropped.
pub(crate) struct PeerSenders {
    queues: Vec<(String, mpsc::Sender<EncodedFrame>)>,
}

impl PeerSenders {
    /// With the queue of each peer.
    pub(crate) fn new(
        queues: impl IntoIterator<Item = (String, mpsc::Sender<EncodedFrame>)>,
    ) -> PeerSenders {
        PeerSenders { queues: queues.into_iter().collect() }
    }

    /// Sends the frame to all peers.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        let bytes = Rc::new(frame.encode());
        for (_, queue) in &self.queues {
            let _ = queue.try_send(bytes.clone());
        }
    }

    /// Sends the frame to the peer; to no one if there is none of that name.
    pub(crate) fn send(&self, peer: &str, frame: &Frame) {
        if let Some((_, queue)) = self.queues.iter().find(|(name, _)| name == peer) {
            let _ = queue.try_send(Rc::new(frame.encode()));
        }
    }
}

/// Counts a connection as closed when its task ends, however it ends.
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

/// Accepts connections from other nodes and hands their frames on.
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

/// Reads frames until the connection ends, is idle or can't be understood.
async fn read_frames(stream: TcpStream, handle: impl Fn(Frame)) {
    // Frames come in bunches; each system call is paid for.
    let mut stream = BufReader::with_capacity(MAX_BODY, stream);
    loop {
        match timeout(IDLE_TIMEOUT, read_frame(&mut stream)).await {
            Ok(Ok(Some(frame))) => handle(frame),
            Ok(Ok(None)) => {}
            Ok(Err(reason)) => {
                debug!(%reason, "peer connection closed");
                return;
            }
            Err(_) => return,
        }
    }
}

/// Sends what is queued for one peer over a connection that is made anew when it breaks. What can't be sent is
/// dropped: it was only a hint, or is repeated.
pub(crate) async fn run_sender(address: SocketAddrV4, mut queue: mpsc::Receiver<EncodedFrame>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(first) = queue.recv().await {
        let message = queued_with(&first, &mut queue);
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

/// The frame and those queued behind it, in one piece.
fn queued_with(first: &[u8], queue: &mut mpsc::Receiver<EncodedFrame>) -> Vec<u8> {
    let mut message = first.to_vec();
    while message.len() < MAX_WRITE {
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
