//! Start and stop of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::settings::{Settings, SettingsFile};
use snafu::{ResultExt, Snafu};
use timer::{BootClock, Clock, TimerService};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::back_end_proxy::Availability;
use crate::node::Node;
use crate::{
    catalog_watch, catch_up, entry, keys, log_queue, members, peer_server, probe, ready, relay,
};

/// Time between two looks at keys, queue and silence.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the request to stop in which callers are still served.
const LEAVE_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace period after which the process ends whatever still runs.
const GRACE_PART: f64 = 0.95;
/// Time before the forced end in which callers get their final answers.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Why the process cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

fn open(address: SocketAddr) -> Result<TcpListener, StartError> {
    ready::listen(address).context(ListenSnafu { address })
}

/// Runs the process until the platform asks it to stop.
///
/// # Errors
/// Fails if it cannot start.
pub async fn run(settings: Settings, file: SettingsFile) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let stop = async move {
        terminate.recv().await;
    };
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let node = Rc::new(Node::new(settings, rand::random()));
    spawn_local(follow_settings(Rc::clone(&node), file, hangup));
    serve_node(node, stop).await
}

/// Takes over bounds when the settings file changes, with or without a signal.
async fn follow_settings(node: Rc<Node>, mut file: SettingsFile, mut hangup: Signal) {
    loop {
        let _ = tokio::time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        match file.read_changed() {
            Ok(None) => {}
            Ok(Some(settings)) => {
                log::info!(event = "reload", bounds:? = settings.bounds; "");
                node.on_bounds(settings.bounds);
            }
            Err(error) => {
                log::error!(event = "reload-refused", error:% = error; "");
            }
        }
    }
}

/// Runs the process until `stop` ends, on the current local task set.
///
/// # Errors
/// Fails if it cannot start.
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), StartError> {
    serve_node(Rc::new(Node::new(settings, rand::random())), stop).await
}

async fn serve_node(node: Rc<Node>, stop: impl Future<Output = ()>) -> Result<(), StartError> {
    let settings = &node.settings;
    let callers = open(settings.caller_address)?;
    let readiness = open(settings.readiness_address)?;
    let heartbeats = open(settings.heartbeat_address)?;
    let peers = open(settings.peer_address)?;
    let metrics = open(settings.metrics_address)?;
    log::info!(event = "start", machine = settings.machine.as_str(), zone = settings.zone.as_str(), service = settings.service.as_str(); "");
    let store = Rc::new(relay::client(&node));
    let timer = TimerService::new(BootClock);
    spawn_local(log_queue::run());
    spawn_local(catalog_watch::run(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(members::run(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(keys::run(
        Rc::clone(&node),
        Rc::clone(&store),
        timer.subscribe(TICK),
    ));
    spawn_local(probe::run(Rc::clone(&node)));
    spawn_local(catch_up::run(Rc::clone(&node)));
    spawn_local(peer_server::serve(Rc::clone(&node), peers));
    spawn_local(entry::serve(Rc::clone(&node), callers));
    for listener in [readiness, heartbeats, metrics] {
        spawn_local(ready::serve(Rc::clone(&node), listener));
    }
    stop.await;
    finish(&node, &store).await;
    Ok(())
}

/// Lets callers go elsewhere and finishes what runs.
async fn finish(node: &Rc<Node>, store: &relay::StoreClient) {
    let started = BootClock.now();
    log::info!(event = "stop-requested"; "");
    node.stop();
    let grace = node.bounds().grace.mul_f64(GRACE_PART);
    let last_call = grace.saturating_sub(ANSWER_TIME);
    loop {
        tokio::time::sleep(TICK / 2).await;
        let spent = BootClock.now().since(started);
        if spent >= LEAVE_TIME {
            node.close();
        }
        if spent >= last_call {
            node.last_call.notify_waiters();
        }
        let idle = node.proxy.is_idle()
            && node.served.borrow().in_flight() == 0
            && node.open_requests.get() == 0;
        if (spent >= LEAVE_TIME && idle) || spent >= grace {
            break;
        }
    }
    let gone = !node
        .proxy
        .back_end
        .borrow()
        .as_ref()
        .is_some_and(|b| b.state == Availability::Ready);
    if gone {
        let _ = tokio::time::timeout(TICK * 3, members::unregister(node, store)).await;
    }
    log::info!(event = "stop"; "");
    log_queue::flush();
}
