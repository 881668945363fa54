//! A running daemon: its threads and servers.

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
use crate::settings::{Listen, Settings};
use crate::shared::Shared;
use crate::{admin_api, caller_api};

/// Largest body of an admin request in bytes.
const MAX_ADMIN_BODY: usize = 16 << 10;

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings have faults.
    #[snafu(display("{faults}"))]
    Settings {
        /// All faults, one a line.
        faults: String,
    },
    /// A listening address can't be used.
    #[snafu(display("cannot listen on {address} for {purpose}: {reason}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// The operating system gave no thread or runtime.
    #[snafu(display("cannot start threads: {source}"))]
    Threads {
        /// What went wrong.
        source: std::io::Error,
    },
    /// The metrics address can't be used.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// What went wrong.
        source: std::io::Error,
    },
    /// An API description is inconsistent.
    #[snafu(display("the HTTP API is inconsistent: {reason}"))]
    Api {
        /// What went wrong.
        reason: String,
    },
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    listen: Listen,
    traffic: Option<Runtime>,
    callers: Option<HttpServer<Arc<Shared>>>,
    admin: Option<HttpServer<Arc<Shared>>>,
    forwards: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
    control: Option<ControlThread>,
}

struct ControlThread {
    end: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon with its own threads; returns once it listens.
    ///
    /// # Errors
    /// Fails when the settings have faults or an address can't be listened on.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let faults = settings.faults();
        if !faults.is_empty() {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return SettingsSnafu {
                faults: lines.join("\n"),
            }
            .fail();
        }
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name(format!("traffic-{}", settings.name))
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let control = bind_std(settings.listen.peers, "peers")?;
        let forwards = bind_std(settings.listen.traffic, "traffic")?;
        let machine = describe(&settings, local(&control), local(&forwards));
        let mut listen = settings.listen;
        listen.peers = machine.peer_address;
        listen.traffic = machine.traffic_address;
        let shared = Arc::new(Shared::new(settings, machine, events));
        let reporter = Reporter::new(shared.settings.metrics, Arc::clone(&shared.counters))
            .context(MetricsSnafu)?;
        let callers = traffic.block_on(start_callers(&shared))?;
        let admin = traffic.block_on(start_admin(&shared))?;
        listen.callers = callers.local_addr();
        listen.admin = admin.local_addr();
        let mut machine = Machine::clone(&shared.machine.load());
        machine.caller_address = listen.callers;
        shared.machine.store(Arc::new(machine));
        let forwards = traffic.block_on(start_forwards(&shared, forwards))?;
        let control = start_control(&shared, control, inbox, reporter)?;
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
            traffic: Some(traffic),
            callers: Some(callers),
            admin: Some(admin),
            forwards: Some(forwards),
            control: Some(control),
        })
    }

    /// Addresses that the daemon listens on.
    #[must_use]
    pub fn listen(&self) -> &Listen {
        &self.listen
    }

    /// State that request threads use; for status and tests.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the daemon: takes no new work, gives its shards up, finishes what is in flight.
    pub fn stop(mut self) {
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        let limit = self.shared.settings.stop_timeout;
        let (reply, released) = oneshot::channel();
        let shared = Arc::clone(&self.shared);
        traffic.block_on(async move {
            if shared.events.send(Event::Stop(reply)).await.is_ok() {
                let _ = tokio::time::timeout(limit * 2, released).await;
            }
        });
        if let Some(callers) = self.callers.take() {
            let _ = traffic.block_on(async { tokio::time::timeout(limit, callers.close()).await });
        }
        if let Some((end, served)) = self.forwards.take() {
            let _ = end.send(());
            let _ = traffic.block_on(async { tokio::time::timeout(limit, served).await });
        }
        if let Some(admin) = self.admin.take() {
            let _ = traffic.block_on(async { tokio::time::timeout(limit, admin.close()).await });
        }
        if let Some(control) = self.control.take() {
            let _ = control.end.send(());
            let _ = control.thread.join();
        }
        traffic.shutdown_background();
        log::info!(event = "stopped"; "");
    }

    /// Ends the daemon at once, as a lost process would.
    pub fn kill(mut self) {
        if let Some(control) = self.control.take() {
            let _ = control.end.send(());
            let _ = control.thread.join();
        }
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

fn bind_std(
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

fn local(listener: &std::net::TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn describe(settings: &Settings, peers: SocketAddr, traffic: SocketAddr) -> Machine {
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

async fn start_callers(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, StartError> {
    let api = caller_api::api().map_err(|reason| StartError::Api { reason })?;
    let config = ConfigDropshot {
        bind_address: shared.settings.listen.callers,
        default_request_body_max_bytes: shared.settings.max_body,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    start_http(shared, api, config, "callers")
}

async fn start_admin(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, StartError> {
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

async fn start_forwards(
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
) -> Result<(oneshot::Sender<()>, JoinHandle<()>), StartError> {
    let incoming = incoming(listener)?;
    let token = PeerToken::from_secret(&shared.settings.secret);
    let server = TrafficServer {
        shared: Arc::clone(shared),
    };
    let service = TrafficService::with_interceptor(server, VerifyToken(token));
    let (end, ended) = oneshot::channel::<()>();
    let served = tokio::spawn(async move {
        let ended = async move {
            let _ = ended.await;
        };
        let result = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, ended)
            .await;
        if let Err(error) = result {
            log::error!(event = "traffic_server_ended", error = error.to_string().as_str(); "");
        }
    });
    Ok((end, served))
}

fn incoming(listener: std::net::TcpListener) -> Result<TcpIncoming, StartError> {
    let listener = TcpListener::from_std(listener).context(ThreadsSnafu)?;
    Ok(TcpIncoming::from(listener).with_nodelay(Some(true)))
}

/// Starts the thread that owns all control state, with its own server for other daemons.
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
    let (end, ended) = oneshot::channel();
    let shared = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name(format!("control-{}", shared.settings.name))
        .spawn(move || runtime.block_on(control_main(shared, listener, inbox, reporter, ended)))
        .context(ThreadsSnafu)?;
    Ok(ControlThread { end, thread })
}

async fn control_main(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    inbox: mpsc::Receiver<Event>,
    reporter: Reporter,
    ended: oneshot::Receiver<()>,
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
    let counted = store.clone();
    let calls = Box::new(move || counted.calls());
    Control::new(shared, store, calls, reporter)
        .run(inbox, ended)
        .await;
    serving.abort();
}
