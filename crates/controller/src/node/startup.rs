//! Starts a node: its listeners, the queues to its peers and its long-running tasks. There is no
//! orderly shutdown: a node may be killed at any time, and what it held is released when its leases
//! expire.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::debug;
use walnutlug_scheduler::tunables::Tunables;

use super::{
    broadcast, election, heartbeats, load, machine_types, machine_types_role, routes, Node,
};
use crate::http::client::Client;
use crate::http::server;
use crate::peers::{self, PeerSenders};
use crate::settings::{Peer, Settings, SocketBudget};
use crate::worker_api::WorkerConnection;

/// Runs a node on a single-threaded runtime until the process is killed.
///
/// # Errors
/// Returns an error if the node cannot listen or the runtime cannot be started.
pub(crate) fn run(settings: Settings, tunables: Tunables) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, tunables))
}

async fn serve(settings: Settings, tunables: Tunables) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = TcpListener::bind(settings.internal).await?;
    let sockets = SocketBudget::for_limit(settings.fd_limit);
    let client = Rc::new(Client::with_max_connections(sockets.outbound as usize));
    let peers = start_senders(&settings.peers, sockets);
    let node = Rc::new(Node::new(settings, tunables, client, peers)?);
    node.key_value.set_leading(false);
    start_tasks(&node, peer_listener);
    let open_connections = node.load.open_connections().clone();
    let new_handler = move || {
        let (node, connection) = (node.clone(), Rc::new(WorkerConnection::default()));
        move |request| routes::handle(node.clone(), connection.clone(), request)
    };
    server::serve(listener, sockets.inbound, open_connections, new_handler).await;
    Ok(())
}

/// Starts all long-running tasks except the server for users and workers.
fn start_tasks(node: &Rc<Node>, peer_listener: TcpListener) {
    let receiver = node.clone();
    spawn_local(peers::listen(peer_listener, move |frame| receiver.handle_frame(frame)));
    spawn_local(election::run(node.clone()));
    spawn_local(machine_types::keep_fresh(node.clone()));
    spawn_local(machine_types_role::run(node.clone()));
    spawn_local(broadcast::run(node.clone()));
    spawn_local(load::log_periodically(node.clone()));
    spawn_local(heartbeats::run(node.clone()));
}

/// Creates one queue and starts one sending task for each peer.
fn start_senders(peers: &[Peer], sockets: SocketBudget) -> PeerSenders {
    let start = |peer: &Peer| {
        debug!(peer = %peer.name, "starting sender for peer");
        let (sender, queue) = mpsc::channel(peers::queue_length(sockets));
        spawn_local(peers::run_sender(peer.addr, queue));
        (peer.name.clone(), sender)
    };
    PeerSenders::new(peers.iter().map(start))
}
