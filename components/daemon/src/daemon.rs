//! Starts and stops a daemon: its threads and servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use peers::auth::{PeerToken, VerifyToken};
use peers::wire::control_server::ControlServer as ControlService;
use peers::wire::traffic_server::TrafficServer as TrafficService;
use snafu::{ResultExt, Snafu};
use store::http_client::HttpStore;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use world::machine::{Incarnation, Machine};

use crate::control::{Control, EVENT_QUEUE, Event};
use crate::metrics::Reporter;
use crate::peer_server::{ControlServer, TrafficServer};
use crate::settings::{ListenAddresses, Settings};
use crate::shared::Shared;
use crate::{admin_api, caller_api};

/// Largest body of an admin request in bytes.
const MAX_ADMIN_BODY: usize = 16 << 10;

/// Error that keeps a daemon from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("{errors}"))]
    Settings {
        /// All errors, one a line.
        errors: String,
    },
    /// A listening address can't be used.
    #[snafu(display("cannot listen on {address} for {purpose}: {reason}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Server that it is for.
        purpose: &'static str,
        /// The cause.
        reason: String,
    },
    /// A thread or runtime can't be created.
    #[snafu(display("cannot start threads: {source}"))]
    Threads {
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics address can't be used.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The cause.
        source: std::io::Error,
    },
    /// An API description is inconsistent.
    #[snafu(display("the HTTP API is inconsistent: {reason}"))]
    Api {
        /// The cause.
        reason: String,
    },
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    listen: ListenAddresses,
    runtime: Option<Runtime>,
    caller_server: Option<HttpServer<Arc<Shared>>>,
    admin_server: Option<HttpServer<Arc<Shared>>>,
    traffic_server: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
    control_thread: Option<ControlThread>,
}

struct ControlThread {
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon with its own threads; returns once it listens.
    ///
    /// # Errors
    /// Fails when the settings are invalid, an address can't be listened on, or a thread or socket
    /// can't be created.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let errors = settings.validate();
        if !errors.is_empty() {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            return SettingsSnafu {
                errors: lines.join("\n"),
            }
            .fail();
        }
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name(format!("traffic-{}", settings.name))
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let peer_listener = bind_listener(settings.listen.peers, "peers")?;
        let traffic_listener = bind_listener(settings.listen.traffic, "traffic")?;
        let machine = initial_machine(
            &settings,
            local_address(&peer_listener),
            local_address(&traffic_listener),
        );
        let mut listen = settings.listen;
        listen.peers = machine.peer_address;
        listen.traffic = machine.traffic_address;
        let shared = Arc::new(Shared::new(settings, machine, events));
        let reporter = Reporter::new(shared.settings.metrics, Arc::clone(&shared.counters))
            .context(MetricsSnafu)?;
        let caller_server = runtime.block_on(start_caller_server(&shared))?;
        let admin_server = runtime.block_on(start_admin_server(&shared))?;
        listen.callers = caller_server.local_addr();
        listen.admin = admin_server.local_addr();
        let mut machine = Machine::clone(&shared.machine.load());
        machine.caller_address = listen.callers;
        shared.machine.store(Arc::new(machine));
        let traffic_server = runtime.block_on(start_traffic_server(&shared, traffic_listener))?;
        let control_thread = start_control(&shared, peer_listener, inbox, reporter)?;
        log::info!(
            event = "started",
            name = shared.settings.name.as_str(),
            callers = listen.callers.to_string().as_str(),
            peers = listen.peers.to_string().as_str(),
            traffic = listen.traffic.to_string().as_str(),
            admin = listen.admin.to_string().as_str();
            ""
        );
        Ok(Self {
            shared,
            listen,
            runtime: Some(runtime),
            caller_server: Some(caller_server),
            admin_server: Some(admin_server),
            traffic_server: Some(traffic_server),
            control_thread: Some(control_thread),
        })
    }

    /// Addresses that the daemon listens on, with the ports chosen for those given as 0.
    #[must_use]
    pub fn listen(&self) -> &ListenAddresses {
        &self.listen
    }

    /// State that request threads use, for status and tests.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts the daemon down gracefully: releases its shards, then stops its servers, each with up
    /// to the stop timeout to finish requests in flight.
    pub fn stop(mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let timeout = self.shared.settings.stop_timeout;
        let (reply, released) = oneshot::channel();
        let shared = Arc::clone(&self.shared);
        runtime.block_on(async move {
            if shared.events.send(Event::Stop(reply)).await.is_ok() {
                let _ = tokio::time::timeout(timeout * 2, released).await;
            }
        });
        if let Some(server) = self.caller_server.take() {
            let _ = runtime.block_on(async { tokio::time::timeout(timeout, server.close()).await });
        }
        if let Some((stop, served)) = self.traffic_server.take() {
            let _ = stop.send(());
            let _ = runtime.block_on(async { tokio::time::timeout(timeout, served).await });
        }
        if let Some(server) = self.admin_server.take() {
            let _ = runtime.block_on(async { tokio::time::timeout(timeout, server.close()).await });
        }
        if let Some(control) = self.control_thread.take() {
            let _ = control.stop.send(());
            let _ = control.thread.join();
        }
        runtime.shutdown_background();
        log::info!(event = "stopped"; "");
    }

    /// Stops the daemon at once, as if its process had crashed.
    pub fn kill(mut self) {
        if let Some(control) = self.control_thread.take() {
            let _ = control.stop.send(());
            let _ = control.thread.join();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn bind_listener(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<std::net::TcpListener, StartError> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|e| StartError::Listen {
        address,
        purpose,
        reason: e.to_string(),
    })
}

fn local_address(listener: &std::net::TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn initial_machine(settings: &Settings, peers: SocketAddr, traffic: SocketAddr) -> Machine {
    Machine {
        name: settings.name.clone(),
        incarnation: Incarnation(rand::random()),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: peers,
        traffic_address: traffic,
        caller_address: settings.listen.callers,
        back_end: None,
        leaving: false,
    }
}

async fn start_caller_server(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, StartError> {
    let api = caller_api::api().map_err(|reason| StartError::Api { reason })?;
    let config = ConfigDropshot {
        bind_address: shared.settings.listen.callers,
        default_request_body_max_bytes: shared.settings.max_body,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    start_http(shared, api, config, "callers")
}

async fn start_admin_server(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, StartError> {
    let api = admin_api::api().map_err(|reason| StartError::Api { reason })?;
    let config = ConfigDropshot {
        bind_address: shared.settings.listen.admin,
        default_request_body_max_bytes: MAX_ADMIN_BODY,
        ..ConfigDropshot::default()
    };
    start_http(shared, api, config, "admin")
}

fn start_http(
    shared: &Arc<Shared>,
    api: ApiDescription<Arc<Shared>>,
    config: ConfigDropshot,
    purpose: &'static str,
) -> Result<HttpServer<Arc<Shared>>, StartError> {
    let address = config.bind_address;
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, Arc::clone(shared), logger)
        .config(config)
        .start()
        .map_err(|e| StartError::Listen {
            address,
            purpose,
            reason: e.to_string(),
        })
}

async fn start_traffic_server(
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
) -> Result<(oneshot::Sender<()>, JoinHandle<()>), StartError> {
    let incoming = incoming(listener)?;
    let token = PeerToken::from_secret(&shared.settings.secret);
    let server = TrafficServer {
        shared: Arc::clone(shared),
    };
    let service = TrafficService::with_interceptor(server, VerifyToken(token));
    let (stop, stopped) = oneshot::channel::<()>();
    let served = tokio::spawn(async move {
        let stopped = async move {
            let _ = stopped.await;
        };
        let result = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped)
            .await;
        if let Err(error) = result {
            log::error!(event = "traffic_server_ended", error = error.to_string().as_str(); "");
        }
    });
    Ok((stop, served))
}

fn incoming(listener: std::net::TcpListener) -> Result<TcpIncoming, StartError> {
    let listener = TcpListener::from_std(listener).context(ThreadsSnafu)?;
    Ok(TcpIncoming::from(listener).with_nodelay(Some(true)))
}

/// Starts the thread that owns all control state and serves the control calls of other daemons.
fn start_control(
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
    inbox: mpsc::Receiver<Event>,
    reporter: Reporter,
) -> Result<ControlThread, StartError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadsSnafu)?;
    let (stop, stopped) = oneshot::channel();
    let shared = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name(format!("control-{}", shared.settings.name))
        .spawn(move || runtime.block_on(control_main(shared, listener, inbox, reporter, stopped)))
        .context(ThreadsSnafu)?;
    Ok(ControlThread { stop, thread })
}

async fn control_main(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    inbox: mpsc::Receiver<Event>,
    reporter: Reporter,
    stopped: oneshot::Receiver<()>,
) {
    let incoming = match incoming(listener) {
        Ok(incoming) => incoming,
        Err(error) => {
            log::error!(event = "control_server_failed", error = error.to_string().as_str(); "");
            return;
        }
    };
    let token = PeerToken::from_secret(&shared.settings.secret);
    let server = ControlServer {
        events: shared.events.clone(),
    };
    let service = ControlService::with_interceptor(server, VerifyToken(token));
    let serving = Server::builder()
        .add_service(service)
        .serve_with_incoming(incoming);
    let serving = tokio::spawn(serving);
    let store = HttpStore::new(shared.settings.platform);
    let counted_store = store.clone();
    let calls = Box::new(move || counted_store.calls());
    Control::new(shared, store, calls, reporter)
        .run(inbox, stopped)
        .await;
    serving.abort();
}
