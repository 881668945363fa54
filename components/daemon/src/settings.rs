//! Checked settings of a daemon.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use orders::table::Bounds;
use ownership::timing::Timing;
use world::name::{CellName, MachineName, RegionName, ZoneName};

/// Shortest accepted shared secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Most traffic threads.
const MAX_TRAFFIC_THREADS: usize = 64;

/// Everything that a daemon is told at its start.
#[derive(Clone)]
pub struct Settings {
    /// Name of the machine, unique in the deployment; it outlives a replaced VM.
    pub name: MachineName,
    /// Cell that the machine belongs to.
    pub cell: CellName,
    /// Region that the machine stands in.
    pub region: RegionName,
    /// Availability zone that the machine stands in.
    pub zone: ZoneName,
    /// Listening addresses.
    pub listen: Listen,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Secret shared by all daemons of the deployment.
    pub secret: String,
    /// Durations of the lease protocol, the same in all daemons of a cell.
    pub timing: Timing,
    /// Bounds of the order table of each shard.
    pub orders: Bounds,
    /// Threads for requests.
    pub traffic_threads: usize,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Longest time that a stop waits for requests and shards.
    pub stop_timeout: Duration,
    /// Address that metrics are sent to over UDP in StatsD format.
    pub metrics: Option<SocketAddr>,
}

/// Listening addresses; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For control messages of other daemons.
    pub peers: SocketAddr,
    /// For requests that other daemons forward.
    pub traffic: SocketAddr,
    /// For the back end beside the daemon and for operators. Invariant: a loopback address.
    pub admin: SocketAddr,
}

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the flag.
    pub flag: &'static str,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.flag, self.message)
    }
}

impl Settings {
    /// Finds every fault of the settings.
    #[must_use]
    pub fn faults(&self) -> Vec<SettingsError> {
        let mut faults = Vec::new();
        let mut fault = |flag, message: String| faults.push(SettingsError { flag, message });
        let names = [
            ("name", self.name.as_str()),
            ("cell", self.cell.as_str()),
            ("region", self.region.as_str()),
            ("zone", self.zone.as_str()),
        ];
        for (flag, text) in names {
            if let Err(e) = world::name::check(text) {
                fault(flag, format!("{text:?}: {e}"));
            }
        }
        if self.secret.len() < MIN_SECRET_BYTES {
            fault("secret", format!("needs at least {MIN_SECRET_BYTES} bytes"));
        }
        if !self.listen.admin.ip().is_loopback() {
            let message = format!("{} is no loopback address", self.listen.admin);
            fault("admin-listen", message);
        }
        if self.platform.port() == 0 {
            fault("platform", "needs a port".to_owned());
        }
        if self.traffic_threads == 0 || self.traffic_threads > MAX_TRAFFIC_THREADS {
            let message = format!("{}: use 1 to {MAX_TRAFFIC_THREADS}", self.traffic_threads);
            fault("traffic-threads", message);
        }
        if self.max_body == 0 {
            fault("max-body", "0 would refuse every body".to_owned());
        }
        for (flag, message) in timing_faults(&self.timing) {
            fault(flag, message);
        }
        faults
    }
}

fn timing_faults(timing: &Timing) -> Vec<(&'static str, String)> {
    let mut faults = Vec::new();
    if timing.heartbeat.is_zero() || timing.heartbeat * 3 > timing.authority {
        let limit = timing.authority.as_millis() / 3;
        faults.push((
            "heartbeat-ms",
            format!("use 1 to a third of --authority-ms, {limit}"),
        ));
    }
    if timing.renewal.is_zero() || timing.renewal * 3 > timing.authority {
        let limit = timing.authority.as_millis() / 3;
        faults.push((
            "renewal-ms",
            format!("use 1 to a third of --authority-ms, {limit}"),
        ));
    }
    if timing.suspicion < timing.heartbeat * 2 {
        let limit = timing.heartbeat.as_millis() * 2;
        faults.push((
            "suspicion-ms",
            format!("use at least two heartbeats, {limit}"),
        ));
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    pub(crate) fn settings() -> Settings {
        let any = "127.0.0.1:0".parse().expect("address");
        Settings {
            name: MachineName::new("nord-a-1"),
            cell: CellName::new("maroc"),
            region: RegionName::new("nord"),
            zone: ZoneName::new("nord-a"),
            listen: Listen {
                callers: any,
                peers: any,
                traffic: any,
                admin: any,
            },
            platform: "127.0.0.1:9000".parse().expect("address"),
            secret: "0123456789abcdef".to_owned(),
            timing: Timing::default(),
            orders: Bounds::default(),
            traffic_threads: 2,
            max_body: 1 << 20,
            stop_timeout: Duration::from_secs(30),
            metrics: None,
        }
    }

    #[test]
    fn accepts_the_defaults() {
        assert_eq!(settings().faults(), Vec::new());
    }

    #[test]
    fn reports_every_fault_at_once() {
        let mut wrong = settings();
        wrong.secret = "short".to_owned();
        wrong.traffic_threads = 0;
        wrong.timing.heartbeat = Duration::from_secs(1);
        wrong.listen.admin = "192.0.2.1:0".parse().expect("address");
        let flags: Vec<_> = wrong.faults().iter().map(|f| f.flag).collect();
        let expected = [
            "secret",
            "admin-listen",
            "traffic-threads",
            "heartbeat-ms",
            "suspicion-ms",
        ];
        assert_eq!(flags, expected);
    }
}
