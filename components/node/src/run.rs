//! Starts the tasks of the process and shuts them down gracefully.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::settings::{Settings, SettingsFile};
use snafu::{ResultExt, Snafu};
use timer::{BootClock, Clock, TimerService};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::back_end::ExchangeError;
use crate::back_end_proxy::Availability;
use crate::node::Node;
use crate::{
    catalog_watch, cold_limit, entry, evacuation_watch, log_queue, members, peer_server, peer_sync,
    platform_server, probe, quarantine_store, relay, shard_driver,
};

/// Time between two runs of the periodic checks of keys, queue and back end.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of the settings file for changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time after the stop request for which new requests of callers are still accepted.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2_300);
/// Largest fraction of the grace period for which they are accepted; the rest is for their responses.
const SERVE_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which the process exits, even with requests in flight.
const GRACE_FRACTION: f64 = 0.95;
/// Time before the forced exit at which callers get their final responses.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(400);

/// Error that prevents the process from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

fn open(address: SocketAddr) -> Result<TcpListener, StartError> {
    platform_server::listen(address).context(ListenSnafu { address })
}

/// Runs the process until SIGTERM, reloading the settings file when it changes or on SIGHUP.
///
/// # Errors
/// Returns a [`StartError`] if a listener or a signal handler cannot be set up.
pub async fn run(settings: Settings, file: SettingsFile) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let stop = async move {
        terminate.recv().await;
    };
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let node = Rc::new(Node::new(settings, rand::random()));
    spawn_local(reload_settings(Rc::clone(&node), file, hangup));
    serve_node(node, stop).await
}

/// Puts a changed settings file in force; checks the file periodically and on SIGHUP.
async fn reload_settings(node: Rc<Node>, mut file: SettingsFile, mut hangup: Signal) {
    loop {
        let _ = tokio::time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        match file.read_changed() {
            Ok(None) => {}
            Ok(Some(settings)) => {
                log::info!(event = "reload", service = settings.service.as_str(), bounds:? = settings.bounds; "");
                node.on_settings(&settings);
            }
            Err(error) => {
                log::error!(event = "reload-refused", error:% = error; "");
            }
        }
    }
}

/// Runs the process on the current local task set until `stop` completes, then shuts it down
/// gracefully.
///
/// # Errors
/// Returns [`StartError::Listen`] if a listener cannot be opened.
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
    spawn_local(evacuation_watch::run(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(quarantine_store::watch(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(quarantine_store::save(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(quarantine_store::save_in_each_era(Rc::clone(&node)));
    spawn_local(members::run(Rc::clone(&node), Rc::clone(&store)));
    spawn_local(shard_driver::run(
        Rc::clone(&node),
        Rc::clone(&store),
        timer.subscribe(TICK_INTERVAL),
    ));
    spawn_local(cold_limit::start_queued(Rc::clone(&node)));
    spawn_local(probe::run(Rc::clone(&node)));
    spawn_local(peer_sync::run(Rc::clone(&node)));
    spawn_local(peer_server::serve(Rc::clone(&node), peers));
    spawn_local(entry::serve(Rc::clone(&node), callers));
    for listener in [readiness, heartbeats, metrics] {
        spawn_local(platform_server::serve(Rc::clone(&node), listener));
    }
    stop.await;
    shut_down(&node, &store).await;
    Ok(())
}

/// Waits until requests in flight are finished, at most for `GRACE_FRACTION` of the grace period,
/// and removes the member record if the back end has ended.
async fn shut_down(node: &Rc<Node>, store: &relay::StoreClient) {
    let started = BootClock.now();
    log::info!(event = "stop-requested"; "");
    node.stop();
    let grace = node.bounds().grace.mul_f64(GRACE_FRACTION);
    let abort_after = grace.saturating_sub(FINAL_RESPONSE_TIME);
    let serve_for = SERVE_AFTER_STOP.min(node.bounds().grace.mul_f64(SERVE_FRACTION));
    loop {
        tokio::time::sleep(TICK_INTERVAL / 2).await;
        let elapsed = BootClock.now().since(started);
        if elapsed >= serve_for {
            node.close();
        }
        if elapsed >= abort_after {
            node.abort_requests.notify_waiters();
        }
        let idle = node.proxy.is_idle()
            && node.peer_requests.borrow().in_flight() == 0
            && node.open_requests.get() == 0
            && node.queued_bytes.get() == 0;
        if (elapsed >= serve_for && idle) || elapsed >= grace {
            break;
        }
    }
    if is_back_end_gone(node).await {
        let _ = tokio::time::timeout(TICK_INTERVAL * 3, members::unregister(node, store)).await;
    }
    log::info!(event = "stop"; "");
    log_queue::flush();
}

/// Returns whether the machine leaves the deployment: its back end has ended. One that only says that
/// it leaves may outlast this process, and the next one has to know of it.
async fn is_back_end_gone(node: &Node) -> bool {
    let back_end = node.proxy.back_end.borrow().as_ref().map(|b| b.state);
    if back_end == Some(Availability::Ready) {
        return false;
    }
    let connections = &node.proxy.connections;
    connections.evict_closed(BootClock.now()) == 0
        && connections.probe().await == Err(ExchangeError::NobodyListens)
}
