//! Command-line flags and environment variables of `plantaingauged`.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use daemon::settings::{ListenAddresses, Settings};
use orders::table::Bounds;
use ownership::timing::Timing;
use world::name::{CellName, MachineName, RegionName, ZoneName};

/// Route requests to the back end on this machine and to those on other machines.
///
/// Each flag has an environment variable of the same name. The suffix of a name gives the unit: `-ms` for milliseconds, `-s` for seconds.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// Name of the machine, unique in the deployment; a replaced VM keeps it
    #[bpaf(env("PLANTAINGAUGE_NAME"), argument("NAME"))]
    name: String,

    /// Cell of the machine
    #[bpaf(env("PLANTAINGAUGE_CELL"), argument("NAME"))]
    cell: String,

    /// Region of the machine
    #[bpaf(env("PLANTAINGAUGE_REGION"), argument("NAME"))]
    region: String,

    /// Availability zone of the machine
    #[bpaf(env("PLANTAINGAUGE_ZONE"), argument("NAME"))]
    zone: String,

    /// Address for callers
    #[bpaf(env("PLANTAINGAUGE_CALLER_LISTEN"), argument("IP:PORT"))]
    caller_listen: SocketAddr,

    /// Address for control messages from other daemons; it must be reachable from them
    #[bpaf(env("PLANTAINGAUGE_PEER_LISTEN"), argument("IP:PORT"))]
    peer_listen: SocketAddr,

    /// Address for requests forwarded by other daemons; it must be reachable from them
    #[bpaf(env("PLANTAINGAUGE_TRAFFIC_LISTEN"), argument("IP:PORT"))]
    traffic_listen: SocketAddr,

    /// Loopback address for the back end on this machine and for operators
    #[bpaf(env("PLANTAINGAUGE_ADMIN_LISTEN"), argument("IP:PORT"))]
    admin_listen: SocketAddr,

    /// Address of the platform's object API
    #[bpaf(env("PLANTAINGAUGE_PLATFORM"), argument("IP:PORT"))]
    platform: SocketAddr,

    /// Secret shared by all daemons of the deployment, at least 16 bytes; prefer the variable
    #[bpaf(env("PLANTAINGAUGE_SECRET"), argument("TEXT"))]
    secret: String,

    /// Time between two heartbeats, at most a third of `--authority-ms`
    #[bpaf(env("PLANTAINGAUGE_HEARTBEAT_MS"), argument("MS"), fallback(millis(Timing::default().heartbeat)), display_fallback)]
    heartbeat_ms: u64,

    /// Time between two renewals of the coordinator's record, at most a third of `--authority-ms`
    #[bpaf(env("PLANTAINGAUGE_RENEWAL_MS"), argument("MS"), fallback(millis(Timing::default().renewal)), display_fallback)]
    renewal_ms: u64,

    /// Time for which a coordinator may grant shards after a confirmed renewal; the same in the whole cell
    #[bpaf(env("PLANTAINGAUGE_AUTHORITY_MS"), argument("MS"), fallback(millis(Timing::default().authority)), display_fallback)]
    authority_ms: u64,

    /// Time without a response after which the coordinator is suspected
    #[bpaf(env("PLANTAINGAUGE_SUSPICION_MS"), argument("MS"), fallback(millis(Timing::default().suspicion)), display_fallback)]
    suspicion_ms: u64,

    /// Longest time in seconds for which witnesses may stand in for the store; the same in the whole cell
    #[bpaf(env("PLANTAINGAUGE_STORE_ABSENCE_S"), argument("SECONDS"), fallback(Timing::default().store_absence.as_secs()), display_fallback)]
    store_absence_s: u64,

    /// Number of tickets that each shard remembers
    #[bpaf(env("PLANTAINGAUGE_TICKETS"), argument("COUNT"), fallback(Bounds::default().tickets), display_fallback)]
    tickets: usize,

    /// Time for which a ticket may be used
    #[bpaf(env("PLANTAINGAUGE_TICKET_LIFETIME_MS"), argument("MS"), fallback(millis(Bounds::default().lifetime)), display_fallback)]
    ticket_lifetime_ms: u64,

    /// Number of threads that serve requests
    #[bpaf(
        env("PLANTAINGAUGE_TRAFFIC_THREADS"),
        argument("COUNT"),
        fallback(2),
        display_fallback
    )]
    traffic_threads: usize,

    /// Largest request body in bytes
    #[bpaf(
        env("PLANTAINGAUGE_MAX_BODY"),
        argument("BYTES"),
        fallback(DEFAULT_MAX_BODY_BYTES),
        display_fallback
    )]
    max_body: usize,

    /// Longest time that a graceful shutdown waits for requests and shards
    #[bpaf(
        env("PLANTAINGAUGE_STOP_TIMEOUT_MS"),
        argument("MS"),
        fallback(DEFAULT_STOP_TIMEOUT_MS),
        display_fallback
    )]
    stop_timeout_ms: u64,

    /// Address that metrics are sent to over UDP in StatsD format
    #[bpaf(env("PLANTAINGAUGE_METRICS"), argument("IP:PORT"))]
    metrics: Option<SocketAddr>,

    /// Log level: error, warn, info, debug or trace
    #[bpaf(
        env("PLANTAINGAUGE_LOG_LEVEL"),
        argument("LEVEL"),
        fallback(log::LevelFilter::Info),
        display_fallback
    )]
    pub(crate) log_level: log::LevelFilter,
}

const DEFAULT_MAX_BODY_BYTES: usize = 8 << 20;
const DEFAULT_STOP_TIMEOUT_MS: u64 = 30_000;

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Options {
    /// Converts the options to settings. They are validated by `Daemon::start`.
    pub(crate) fn into_settings(self) -> Settings {
        let timing = Timing {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            renewal: Duration::from_millis(self.renewal_ms),
            authority: Duration::from_millis(self.authority_ms),
            suspicion: Duration::from_millis(self.suspicion_ms),
            formation: Duration::from_millis(self.heartbeat_ms) * 2 + Timing::default().margin,
            store_absence: Duration::from_secs(self.store_absence_s),
            ..Timing::default()
        };
        let orders = Bounds {
            tickets: self.tickets,
            lifetime: Duration::from_millis(self.ticket_lifetime_ms),
            ..Bounds::default()
        };
        Settings {
            name: MachineName::new(&self.name),
            cell: CellName::new(&self.cell),
            region: RegionName::new(&self.region),
            zone: ZoneName::new(&self.zone),
            listen: ListenAddresses {
                callers: self.caller_listen,
                peers: self.peer_listen,
                traffic: self.traffic_listen,
                admin: self.admin_listen,
            },
            platform: self.platform,
            secret: self.secret,
            timing,
            orders,
            traffic_threads: self.traffic_threads,
            max_body: self.max_body,
            stop_timeout: Duration::from_millis(self.stop_timeout_ms),
            metrics: self.metrics,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    /// Compares the settings page with the flags. `UPDATE_DOCS=1` rewrites the page.
    #[test]
    fn settings_page_is_current() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operations/settings.md");
        let text = super::options().render_markdown("plantaingauged");
        if std::env::var_os("UPDATE_DOCS").is_some() {
            std::fs::write(&path, &text).expect("writable");
        }
        let committed = std::fs::read_to_string(&path).expect("the page");
        assert_eq!(committed, text, "run with UPDATE_DOCS=1");
    }
}
