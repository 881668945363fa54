//! Observes exits of the back end on this machine and which requests they interrupted.
//!
//! When a connection breaks while it carries a request, the back end is probed at once: if nobody
//! listens any more, it has exited. Otherwise an exit shows when another incarnation reports.

use std::cell::RefCell;
use std::rc::Rc;

use quarantine::fingerprint::{self, Fingerprint};
use quarantine::interrupted::{InterruptedRequest, InterruptedRequests, KnownCrashes};
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::sync::Mutex;
use world::instant::BootInstant;

use crate::frame::ForwardedRequest;
use crate::node::Node;
use crate::suspects;

/// Most fingerprints in one log line.
const MAX_LOGGED: usize = 32;

/// How an exit of a back end showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitProof {
    /// Its address refuses connections and no connection to it is open.
    Refused,
    /// Another incarnation has sent a heartbeat.
    Replaced,
}

impl ExitProof {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
        }
    }
}

/// Exits of the back end on this machine.
#[derive(Default)]
pub struct CrashWatch {
    interrupted: RefCell<InterruptedRequests<BackEndIncarnation>>,
    /// The incarnation that is known to have exited last.
    exited: RefCell<Option<BackEndIncarnation>>,
    /// Held by the one probe in flight.
    probe: Mutex<()>,
}

impl CrashWatch {
    /// Records that the back end has responded to a request sent at `sent`.
    pub fn on_response(&self, sent: BootInstant) {
        self.interrupted.borrow_mut().on_response(sent);
    }

    /// Records that an incarnation has sent a heartbeat: its address refused connections for another
    /// reason than its exit.
    pub fn on_heartbeat(&self, incarnation: &BackEndIncarnation) {
        if self.has_exited(incarnation) {
            *self.exited.borrow_mut() = None;
        }
    }

    /// Records an interrupted request for the incarnation that ran it, and returns that.
    fn record(
        &self,
        sent_to: &BackEndIncarnation,
        current: &BackEndIncarnation,
        request: InterruptedRequest,
    ) -> BackEndIncarnation {
        let mut interrupted = self.interrupted.borrow_mut();
        let incarnation = interrupted.runner(sent_to, current, request.sent).clone();
        interrupted.insert(incarnation.clone(), request);
        incarnation
    }

    fn has_exited(&self, incarnation: &BackEndIncarnation) -> bool {
        self.exited.borrow().as_ref() == Some(incarnation)
    }

    /// Records that an incarnation has exited, and attributes that to what it was running.
    fn on_exit(&self, node: &Node, incarnation: &BackEndIncarnation, proof: ExitProof) {
        let first = !self.has_exited(incarnation);
        let interrupted = self.interrupted.borrow_mut().take(incarnation);
        if first {
            *self.exited.borrow_mut() = Some(incarnation.clone());
            node.metrics.on_back_end_exit(proof.label());
        }
        if first || !interrupted.is_empty() {
            let fingerprints: Vec<Fingerprint> =
                interrupted.iter().map(|r| r.fingerprint).collect();
            log::warn!(
                event = "back-end-exit",
                id = incarnation.id.as_str(),
                born = incarnation.born,
                proof = proof.label(),
                interrupted = interrupted.len(),
                digests = fingerprint::join(&fingerprints, MAX_LOGGED).as_str();
                ""
            );
            suspects::on_exit(node, incarnation, &interrupted);
        }
    }
}

/// Records that an incarnation has exited.
pub fn on_exit(node: &Node, incarnation: &BackEndIncarnation, proof: ExitProof) {
    node.proxy.crash_watch.on_exit(node, incarnation, proof);
}

/// Handles the end of the connection that carried `request`, which was sent to the incarnation
/// `sent_to`, and finds out whether the back end has exited.
pub async fn on_interrupted(
    node: &Rc<Node>,
    sent_to: &BackEndIncarnation,
    request: InterruptedRequest,
) {
    let watch = &node.proxy.crash_watch;
    let current = node.proxy.incarnation();
    let incarnation = watch.record(sent_to, current.as_ref().unwrap_or(sent_to), request);
    let _probe = watch.probe.lock().await;
    if watch.has_exited(&incarnation) {
        watch.on_exit(node, &incarnation, ExitProof::Refused);
    } else if let Err(error) = node.proxy.connections.probe().await {
        node.on_exchange_error(error);
    }
}

/// Describes a request that was sent at `sent`, when the crashes `known` were attributed to it, and
/// is interrupted now.
#[must_use]
pub fn interrupted_now(
    request: &ForwardedRequest,
    known: KnownCrashes,
    sent: BootInstant,
) -> InterruptedRequest {
    InterruptedRequest {
        fingerprint: suspects::fingerprint(request),
        known,
        sent,
        at: BootClock.now(),
    }
}
