//! Connections to peers: reconnects with backoff and detection of unresponsive peers.
//!
//! Each process opens one connection to every peer for its own requests; the peer sends their
//! outcomes over the same connection.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use tokio::sync::Notify;

use crate::body_assembly::BodyAssembly;
use crate::frame::Frame;
use crate::frame_stream::{self, FrameSender, read_frames, write_frames};
use crate::link_liveness::{Liveness, Signs, Verdict};
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
/// Bytes that the kernel holds of a connection at most, unsent or not acknowledged.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Unsent bytes in the kernel from which a connection takes no more.
const UNSENT_BYTES: u32 = 32 << 10;
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
    bound_send_buffer(&stream);
    let (read, write) = stream.into_split();
    let (sender, frames) = frame_stream::channel(&node.queued_bytes);
    let sent = node.status();
    sender.send(&Frame::Hello(Box::new(sent.clone())));
    let mut bodies = BodyAssembly::default();
    peer.on_received(BootClock.now());
    let wrong_machine = Notify::new();
    let on_bytes = |_| peer.on_received(BootClock.now());
    let reading = read_frames(read, on_bytes, |frame| {
        match frame {
            Frame::Response { id, outcome, load } => peer.on_response(id, outcome, load),
            Frame::StoreResponse { id, result } => peer.on_store_response(id, result),
            Frame::Pong { probe } => node.on_pong(peer, probe),
            Frame::Hello(status) if status.machine != peer.machine => wrong_machine.notify_one(),
            Frame::LargeResponse {
                id,
                outcome,
                load,
                body_bytes,
            } => {
                bodies.begin(id, (outcome, load), body_bytes)?;
                if !peer.awaits(id) {
                    bodies.discard(id);
                }
            }
            Frame::BodyPart { id, bytes } => {
                if !peer.awaits(id) {
                    bodies.discard(id);
                }
                if let Some(((mut outcome, load), body)) = bodies.append(id, &bytes)? {
                    outcome.set_body(body);
                    peer.on_response(id, outcome, load);
                }
            }
            Frame::Hello(status) => {
                sender.set_streams(status.features.streams);
                node.on_frame(Frame::Hello(status), &sender);
                if peer.on_connected(&sender) {
                    // Changes announced since the first `Hello` went to open connections only.
                    let announced = node.last_announced();
                    if announced != sent {
                        sender.send(&Frame::Hello(Box::new(announced)));
                    }
                    if let Some(announcement) = node.assignment_announcement() {
                        sender.send(&announcement);
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
        Ok(())
    });
    tokio::select! {
        () = reading => {}
        () = wrong_machine.notified() => {
            log::warn!(event = "link-to-stranger", machine = peer.machine.as_str(); "");
            return false;
        }
        () = write_frames(write, frames) => {}
        () = detect_unresponsive(node, peer, &sender) => {
            log::warn!(event = "link-silent", machine = peer.machine.as_str(); "");
        }
    }
    true
}

/// Bounds what the kernel holds of a connection, so that the order of its queue takes effect.
pub(crate) fn bound_send_buffer(stream: &tokio::net::TcpStream) {
    if let Err(error) = net::bound_send_buffer(stream, SEND_BUFFER_BYTES, UNSENT_BYTES) {
        log::warn!(event = "socket-option-failed", error:% = error; "");
    }
}

/// Returns when a peer with in-flight requests does not respond to a ping.
///
/// The timeout is extended by the queueing delay of the links to its region.
async fn detect_unresponsive(node: &Node, peer: &Peer, sender: &FrameSender) {
    let mut liveness = Liveness::default();
    let link_delay = || {
        let delay = peer.with_status(|s| node.link_delay(&s.region));
        delay.unwrap_or_default()
    };
    loop {
        tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        let signs = Signs {
            last_received: peer.last_received(),
            last_drained: sender.last_drained(),
            awaits_response: peer.in_flight() > 0,
            link_delay: link_delay(),
        };
        match liveness.check(BootClock.now(), signs) {
            Verdict::Keep => {}
            Verdict::Ping => {
                peer.send(&Frame::Ping { probe: 0 });
            }
            Verdict::Dead => return,
        }
    }
}
