//! Connections to peers: reconnects with backoff and detection of unresponsive peers.
//!
//! Each process opens one connection to every peer for its own requests; the peer sends their
//! outcomes over the same connection.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use tokio::sync::{Notify, mpsc};
use world::instant::BootInstant;

use crate::frame::Frame;
use crate::frame_stream::{read_frames, send_frame, write_frames};
use crate::node::Node;
use crate::peer::Peer;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without traffic after which TCP keepalive probes start.
pub(crate) const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// First backoff before a lost connection is opened again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a lost connection is opened again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Backoff after another machine than the expected one has answered at the address.
const WRONG_MACHINE_BACKOFF: Duration = Duration::from_secs(10);
/// Time without a frame after which a peer with in-flight requests is pinged.
const PING_IDLE: Duration = Duration::from_millis(350);
/// Time without a frame after a ping before the connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks whether a peer responds.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Keeps the connection to the peer open, for as long as the process runs.
pub async fn keep_connected(node: Rc<Node>, peer: Rc<Peer>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let connection = net::connect(peer.address(), CONNECT_TIMEOUT, KEEPALIVE_IDLE).await;
        match connection {
            Ok(stream) => {
                let expected = run_link(&node, &peer, stream).await;
                backoff = if expected {
                    FIRST_BACKOFF
                } else {
                    WRONG_MACHINE_BACKOFF
                };
                peer.disconnect();
                log::info!(event = "link-lost", machine = peer.machine.as_str(); "");
                node.on_link_change();
            }
            Err(error) => {
                log::debug!(event = "link-failed", machine = peer.machine.as_str(), error:% = error; "");
            }
        }
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        // The longer backoff after a wrong machine is neither doubled nor cut to the maximum.
        backoff = (backoff * 2).min(MAX_BACKOFF.max(backoff));
    }
}

/// Sends and receives frames until the connection ends; returns false if another machine has
/// answered at the address.
async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: tokio::net::TcpStream) -> bool {
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    let sent = node.status();
    send_frame(&sender, &Frame::Hello(Box::new(sent.clone())));
    peer.on_received(BootClock.now());
    let wrong_machine = Notify::new();
    let reading = read_frames(read, |frame| {
        peer.on_received(BootClock.now());
        match frame {
            Frame::Response { id, outcome, load } => peer.on_response(id, outcome, load),
            Frame::StoreResponse { id, result } => peer.on_store_response(id, result),
            Frame::Pong { probe } => node.on_pong(peer, probe),
            Frame::Hello(status) if status.machine != peer.machine => wrong_machine.notify_one(),
            Frame::Hello(status) => {
                node.on_frame(Frame::Hello(status), &sender);
                if peer.on_connected(&sender) {
                    // Changes announced since the first `Hello` went to open connections only.
                    let announced = node.last_announced();
                    if announced != sent {
                        send_frame(&sender, &Frame::Hello(Box::new(announced)));
                    }
                    if let Some(announcement) = node.assignment_announcement() {
                        send_frame(&sender, &announcement);
                    }
                    if node.is_back_end_leaving() {
                        let machine = &node.settings.machine;
                        peer.send_departures(machine, &node.departures.known());
                    }
                    peer.send_crashes(&node.suspects.reports());
                    peer.send_evacuations(&node.evacuations_frame());
                    if node.store_era() > StoreEra::FIRST {
                        peer.send_store_era(node.store_era());
                    }
                }
                node.on_link_change();
            }
            other => node.on_frame(other, &sender),
        }
    });
    tokio::select! {
        () = reading => {}
        () = wrong_machine.notified() => {
            log::warn!(event = "link-to-stranger", machine = peer.machine.as_str(); "");
            return false;
        }
        () = write_frames(write, frames) => {}
        () = detect_unresponsive(node, peer) => {
            log::warn!(event = "link-silent", machine = peer.machine.as_str(); "");
        }
    }
    true
}

/// Returns when a peer with in-flight requests does not respond to a ping.
///
/// The timeout is extended by the queueing delay of the links to its region.
async fn detect_unresponsive(node: &Node, peer: &Rc<Peer>) {
    let mut ping_sent_at: Option<BootInstant> = None;
    let link_delay = || {
        let delay = peer.with_status(|s| node.link_delay(&s.region));
        delay.unwrap_or_default()
    };
    loop {
        tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        let now = BootClock.now();
        if ping_sent_at.is_some_and(|at| peer.last_received() >= at) || peer.in_flight() == 0 {
            ping_sent_at = None;
        }
        match ping_sent_at {
            Some(at) if now.since(at) > PONG_TIMEOUT + link_delay() => return,
            Some(_) => {}
            None if peer.in_flight() > 0 && now.since(peer.last_received()) > PING_IDLE => {
                peer.send(&Frame::Ping { probe: 0 });
                ping_sent_at = Some(now);
            }
            None => {}
        }
    }
}
