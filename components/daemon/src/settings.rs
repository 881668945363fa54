//! Settings of a daemon and their validation.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use orders::table::Bounds;
use ownership::timing::Timing;
use world::name::{CellName, MachineName, RegionName, ZoneName};

/// Shortest accepted shared secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Largest number of traffic threads.
const MAX_TRAFFIC_THREADS: usize = 64;

/// Settings of one daemon, fixed from its start.
#[derive(Clone)]
pub struct Settings {
    /// Name of the machine, unique in the deployment; it outlives a replaced VM.
    pub name: MachineName,
    /// Cell that the machine belongs to.
    pub cell: CellName,
    /// Region that the machine runs in.
    pub region: RegionName,
    /// Availability zone that the machine runs in.
    pub zone: ZoneName,
    /// Listening addresses.
    pub listen: ListenAddresses,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Secret shared by all daemons of the deployment.
    pub secret: String,
    /// Durations of the lease protocol, the same in all daemons of a cell.
    pub timing: Timing,
    /// Bounds of the order table of each shard.
    pub orders: Bounds,
    /// Number of threads that serve requests.
    pub traffic_threads: usize,
    /// Largest accepted request body in bytes.
    pub max_body: usize,
    /// Longest time that a stop waits for requests and shards.
    pub stop_timeout: Duration,
    /// Address that metrics are sent to over UDP in StatsD format.
    pub metrics: Option<SocketAddr>,
}

/// Listening addresses; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For control messages of other daemons.
    pub peers: SocketAddr,
    /// For requests that other daemons forward.
    pub traffic: SocketAddr,
    /// For the local back end and for operators. Must be a loopback address.
    pub admin: SocketAddr,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the flag, without the dashes.
    pub flag: &'static str,
    /// What is wrong and which values are accepted.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.flag, self.message)
    }
}

impl Settings {
    /// Returns all errors in the settings; none when they are valid.
    #[must_use]
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        let mut report = |flag, message: String| errors.push(SettingsError { flag, message });
        let names = [
            ("name", self.name.as_str()),
            ("cell", self.cell.as_str()),
            ("region", self.region.as_str()),
            ("zone", self.zone.as_str()),
        ];
        for (flag, text) in names {
            if let Err(e) = world::name::check(text) {
                report(flag, format!("{text:?}: {e}"));
            }
        }
        if self.secret.len() < MIN_SECRET_BYTES {
            report("secret", format!("needs at least {MIN_SECRET_BYTES} bytes"));
        }
        if !self.listen.admin.ip().is_loopback() {
            let message = format!("{} is no loopback address", self.listen.admin);
            report("admin-listen", message);
        }
        if self.platform.port() == 0 {
            report("platform", "needs a port".to_owned());
        }
        if self.traffic_threads == 0 || self.traffic_threads > MAX_TRAFFIC_THREADS {
            let message = format!("{}: use 1 to {MAX_TRAFFIC_THREADS}", self.traffic_threads);
            report("traffic-threads", message);
        }
        if self.max_body == 0 {
            report("max-body", "0 would refuse every body".to_owned());
        }
        for (flag, message) in timing_errors(&self.timing) {
            report(flag, message);
        }
        errors
    }
}

fn timing_errors(timing: &Timing) -> Vec<(&'static str, String)> {
    let mut errors = Vec::new();
    if timing.heartbeat.is_zero() || timing.heartbeat * 3 > timing.authority {
        let limit = timing.authority.as_millis() / 3;
        errors.push((
            "heartbeat-ms",
            format!("use 1 to a third of --authority-ms, {limit}"),
        ));
    }
    if timing.renewal.is_zero() || timing.renewal * 3 > timing.authority {
        let limit = timing.authority.as_millis() / 3;
        errors.push((
            "renewal-ms",
            format!("use 1 to a third of --authority-ms, {limit}"),
        ));
    }
    if timing.suspicion < timing.heartbeat * 2 {
        let limit = timing.heartbeat.as_millis() * 2;
        errors.push((
            "suspicion-ms",
            format!("use at least two heartbeats, {limit}"),
        ));
    }
    errors
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
            listen: ListenAddresses {
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
        assert_eq!(settings().validate(), Vec::new());
    }

    #[test]
    fn reports_every_error_at_once() {
        let mut wrong = settings();
        wrong.secret = "short".to_owned();
        wrong.traffic_threads = 0;
        wrong.timing.heartbeat = Duration::from_secs(1);
        wrong.listen.admin = "192.0.2.1:0".parse().expect("address");
        let flags: Vec<_> = wrong.validate().iter().map(|f| f.flag).collect();
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
