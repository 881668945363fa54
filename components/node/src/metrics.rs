//! Counters and the latency histogram, rendered in the Prometheus text format.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Quantiles that are rendered for a histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Maximum number of values of one label; further values are not counted.
const MAX_LABELS: usize = 64;

/// One counter per value of a label.
#[derive(Default)]
struct LabelledCounter(RefCell<BTreeMap<&'static str, u64>>);

impl LabelledCounter {
    fn increment(&self, label: &'static str) {
        self.add(label, 1);
    }

    fn add(&self, label: &'static str, count: usize) {
        let mut counts = self.0.borrow_mut();
        if counts.len() < MAX_LABELS || counts.contains_key(label) {
            *counts.entry(label).or_insert(0) += count as u64;
        }
    }
}

/// Metrics of the process.
pub struct Metrics {
    requests: LabelledCounter,
    sends: LabelledCounter,
    retries: Cell<u64>,
    back_end_sends: Cell<u64>,
    rejections: LabelledCounter,
    denials: LabelledCounter,
    no_home: LabelledCounter,
    deferred_denials: Cell<u64>,
    unsigned_responses: Cell<u64>,
    refused_heartbeats: Cell<u64>,
    store_requests: LabelledCounter,
    store_bytes: LabelledCounter,
    store_eras: Cell<u64>,
    configurations: LabelledCounter,
    configuration_bytes: LabelledCounter,
    configuration_requests: Cell<u64>,
    back_end_exits: LabelledCounter,
    quarantine: LabelledCounter,
    latency: RefCell<Option<Histogram<u32>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: LabelledCounter::default(),
            sends: LabelledCounter::default(),
            retries: Cell::new(0),
            back_end_sends: Cell::new(0),
            rejections: LabelledCounter::default(),
            denials: LabelledCounter::default(),
            no_home: LabelledCounter::default(),
            deferred_denials: Cell::new(0),
            unsigned_responses: Cell::new(0),
            refused_heartbeats: Cell::new(0),
            store_requests: LabelledCounter::default(),
            store_bytes: LabelledCounter::default(),
            store_eras: Cell::new(0),
            configurations: LabelledCounter::default(),
            configuration_bytes: LabelledCounter::default(),
            configuration_requests: Cell::new(0),
            back_end_exits: LabelledCounter::default(),
            quarantine: LabelledCounter::default(),
            // 1 ms to 60 s with two significant digits.
            latency: RefCell::new(Histogram::new_with_bounds(1, 60_000, 2).ok()),
        }
    }
}

impl Metrics {
    /// Counts a caller's request by its outcome and records its latency.
    pub fn on_request(&self, outcome: &'static str, latency: Duration) {
        self.requests.increment(outcome);
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        if let Some(h) = self.latency.borrow_mut().as_mut() {
            h.saturating_record(millis.max(1));
        }
    }

    /// Counts a send of a request to a back end by its outcome.
    pub fn on_send(&self, outcome: &'static str) {
        self.sends.increment(outcome);
    }

    /// Counts a retry at another back end.
    pub fn on_retry(&self) {
        self.retries.set(self.retries.get() + 1);
    }

    /// Counts a request that is sent to the local back end.
    pub fn on_back_end_send(&self) {
        self.back_end_sends.set(self.back_end_sends.get() + 1);
    }

    /// Counts a request that the local back end's queue rejected, by its cause.
    pub fn on_rejection(&self, cause: &'static str) {
        self.rejections.increment(cause);
    }

    /// Counts a caller's request that is refused for good, by the reason.
    pub fn on_denial(&self, reason: &'static str) {
        self.denials.increment(reason);
    }

    /// Counts a request that is rejected as no home region of its route can serve it, by the cause.
    pub fn on_no_home(&self, cause: &'static str) {
        self.no_home.increment(cause);
    }

    /// Counts a caller's request that is refused, but not for good, as the configuration may be stale.
    pub fn on_deferred_denial(&self) {
        self.deferred_denials.set(self.deferred_denials.get() + 1);
    }

    /// Counts a response of a back end without its signature, whether it is passed on or not.
    pub fn on_unsigned_response(&self) {
        self.unsigned_responses
            .set(self.unsigned_responses.get() + 1);
    }

    /// Counts a heartbeat that does not speak for the local back end.
    pub fn on_refused_heartbeat(&self) {
        self.refused_heartbeats
            .set(self.refused_heartbeats.get() + 1);
    }

    /// Counts a request to the store by its outcome.
    pub fn on_store_request(&self, outcome: &'static str) {
        self.store_requests.increment(outcome);
    }

    /// Counts the bytes of a response of the store, by whether it ends a watch.
    pub fn on_store_bytes(&self, call: &'static str, bytes: usize) {
        self.store_bytes.add(call, bytes);
    }

    /// Counts a configuration that has arrived, by what became of it.
    pub fn on_configuration(&self, result: &'static str) {
        self.configurations.increment(result);
    }

    /// Counts the bytes of a configuration that is exchanged with a peer, by the direction.
    pub fn on_configuration_bytes(&self, direction: &'static str, bytes: usize) {
        self.configuration_bytes.add(direction, bytes);
    }

    /// Counts a request to a peer for its configuration.
    pub fn on_configuration_request(&self) {
        self.configuration_requests
            .set(self.configuration_requests.get() + 1);
    }

    /// Counts a later era of the store.
    pub fn on_store_era(&self) {
        self.store_eras.set(self.store_eras.get() + 1);
    }

    /// Counts an exit of the local back end by how it showed.
    pub fn on_back_end_exit(&self, proof: &'static str) {
        self.back_end_exits.increment(proof);
    }

    /// Counts an event of the quarantine of crash-causing requests.
    pub fn on_quarantine(&self, event: &'static str) {
        self.quarantine.increment(event);
    }

    /// Renders all metrics as text, with the current values of the given gauges.
    #[must_use]
    pub fn render(&self, gauges: &[(&str, f64)]) -> String {
        let mut out = String::new();
        for (name, label, counts) in [
            ("plantaingauge_requests_total", "outcome", &self.requests),
            ("plantaingauge_sends_total", "outcome", &self.sends),
            ("plantaingauge_rejections_total", "cause", &self.rejections),
            ("plantaingauge_denials_total", "reason", &self.denials),
            ("plantaingauge_no_home_total", "cause", &self.no_home),
            (
                "plantaingauge_store_calls_total",
                "outcome",
                &self.store_requests,
            ),
            (
                "plantaingauge_store_response_bytes_total",
                "call",
                &self.store_bytes,
            ),
            (
                "plantaingauge_configurations_total",
                "result",
                &self.configurations,
            ),
            (
                "plantaingauge_configuration_peer_bytes_total",
                "direction",
                &self.configuration_bytes,
            ),
            (
                "plantaingauge_back_end_exits_total",
                "proof",
                &self.back_end_exits,
            ),
            (
                "plantaingauge_quarantine_events_total",
                "event",
                &self.quarantine,
            ),
        ] {
            let _ = writeln!(out, "# TYPE {name} counter");
            for (value, n) in counts.0.borrow().iter() {
                let _ = writeln!(out, "{name}{{{label}=\"{value}\"}} {n}");
            }
        }
        let counters = [
            ("plantaingauge_retries_total", &self.retries),
            ("plantaingauge_back_end_sends_total", &self.back_end_sends),
            ("plantaingauge_store_era_changes_total", &self.store_eras),
            (
                "plantaingauge_configuration_requests_total",
                &self.configuration_requests,
            ),
            (
                "plantaingauge_deferred_denials_total",
                &self.deferred_denials,
            ),
            (
                "plantaingauge_unsigned_responses_total",
                &self.unsigned_responses,
            ),
            (
                "plantaingauge_refused_heartbeats_total",
                &self.refused_heartbeats,
            ),
        ];
        for (name, count) in counters {
            let _ = writeln!(out, "# TYPE {name} counter\n{name} {}", count.get());
        }
        for (name, value) in gauges {
            let _ = writeln!(out, "# TYPE {name} gauge\n{name} {value}");
        }
        self.render_latency(&mut out);
        out
    }

    fn render_latency(&self, out: &mut String) {
        let latency = self.latency.borrow();
        let Some(h) = latency.as_ref() else { return };
        let name = "plantaingauge_request_milliseconds";
        let _ = writeln!(out, "# TYPE {name} summary");
        for q in QUANTILES {
            let _ = writeln!(out, "{name}{{quantile=\"{q}\"}} {}", h.value_at_quantile(q));
        }
        let _ = writeln!(out, "{name}_count {}", h.len());
    }
}
