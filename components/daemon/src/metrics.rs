//! Counters of a daemon, for the status and for StatsD.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use serde::Serialize;

/// Prefix of all metric names.
const PREFIX: &str = "plantaingauge";

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $field:ident => $name:literal,)*) => {
        /// Counters since the start of the daemon.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])* pub $field: Counter,)*
        }

        /// Snapshot of the counters.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct Counts {
            $($(#[doc = $doc])* pub $field: u64,)*
        }

        impl Counters {
            /// Returns the current counts.
            #[must_use]
            pub fn counts(&self) -> Counts {
                Counts { $($field: self.$field.get(),)* }
            }
        }

        impl Counts {
            /// Names of all metrics, without the common prefix.
            pub const NAMES: &'static [&'static str] = &[$($name,)*];

            /// Calls `send` with the name and increase of each counter that exceeds its value in
            /// `earlier`.
            fn for_each_increase(&self, earlier: &Self, mut send: impl FnMut(&'static str, u64)) {
                $(if self.$field > earlier.$field {
                    send($name, self.$field - earlier.$field);
                })*
            }
        }
    };
}

counters! {
    /// Requests accepted from callers.
    requests => "entry.requests",
    /// Requests answered by a back end.
    answered => "entry.answered",
    /// Requests that ended with an error.
    failed => "entry.failed",
    /// Requests forwarded to another daemon.
    forwarded => "entry.forwarded",
    /// Requests forwarded over the link between regions.
    distant => "entry.distant",
    /// Body bytes that crossed the link between regions, both ways.
    distant_bytes => "entry.distant_bytes",
    /// Attempts repeated within the retry budget.
    retries => "entry.retries",
    /// Times that a request waited for a key to have an owner.
    owner_waits => "entry.owner_waits",
    /// Requests refused because an allowance was used up.
    rate_limited => "entry.rate_limited",
    /// Tickets issued.
    tickets => "owner.tickets",
    /// Orders started.
    orders => "owner.orders",
    /// Repeated orders answered from the order table.
    replays => "owner.replays",
    /// Requests refused because another machine owns the shard.
    not_owner => "owner.not_owner",
    /// Requests refused because no slot was free.
    overloaded => "owner.overloaded",
    /// Requests given up while the back end may still run them.
    abandoned => "owner.abandoned",
    /// Heartbeats sent.
    heartbeats => "control.heartbeats",
    /// Heartbeats without a valid reply.
    heartbeats_failed => "control.heartbeats_failed",
    /// Lapses of the member lease.
    lapses => "control.lapses",
    /// Take-overs of the cell's term.
    take_overs => "control.take_overs",
    /// Terms lost or given up.
    terms_lost => "control.terms_lost",
}

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Sends the increase of each counter to StatsD over UDP.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    counters: Arc<Counters>,
    sent: Counts,
}

impl Reporter {
    /// Returns a reporter that sends to `target`, or sends nothing without one.
    ///
    /// # Errors
    /// Fails when no UDP socket can be opened.
    pub fn new(target: Option<SocketAddr>, counters: Arc<Counters>) -> std::io::Result<Self> {
        let client = match target {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)
                    .map_err(|e| std::io::Error::other(e.to_string()))?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client,
            counters,
            sent: Counts::default(),
        })
    }

    /// Sends the increase of each counter since the last report. A failed send is logged and not
    /// repeated.
    pub fn report(&mut self) {
        let counts = self.counters.counts();
        let client = &self.client;
        counts.for_each_increase(&self.sent, |name, increase| {
            let increase = i64::try_from(increase).unwrap_or(i64::MAX);
            if let Err(error) = client.count(name, increase) {
                log::debug!(event = "metric_lost", name = name, error = error.to_string().as_str(); "");
            }
        });
        self.sent = counts;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sends_the_increase_of_each_counter() {
        let receiver = UdpSocket::bind("127.0.0.1:0").expect("socket");
        let counters = Arc::new(Counters::default());
        let target = receiver.local_addr().expect("address");
        let mut reporter = Reporter::new(Some(target), Arc::clone(&counters)).expect("reporter");
        counters.requests.add_many(3);
        reporter.report();
        let mut buffer = [0; 512];
        let (size, _) = receiver.recv_from(&mut buffer).expect("metric");
        let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
        assert_eq!(text.trim(), "plantaingauge.entry.requests:3|c");
    }
}
