//! Counters and histograms, served as text.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Quantiles that are served of each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Most different label values that are counted apart.
const MAX_LABELS: usize = 64;

/// A counter for each value of one label.
#[derive(Default)]
struct Labelled(RefCell<BTreeMap<&'static str, u64>>);

impl Labelled {
    fn add(&self, label: &'static str) {
        let mut counts = self.0.borrow_mut();
        if counts.len() < MAX_LABELS || counts.contains_key(label) {
            *counts.entry(label).or_insert(0) += 1;
        }
    }
}

/// The metrics of a process.
pub struct Metrics {
    requests: Labelled,
    sent: Labelled,
    retries: Cell<u64>,
    store_calls: Labelled,
    latency: RefCell<Option<Histogram<u32>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Labelled::default(),
            sent: Labelled::default(),
            retries: Cell::new(0),
            store_calls: Labelled::default(),
            // Two digits from 1 ms to a minute.
            latency: RefCell::new(Histogram::new_with_bounds(1, 60_000, 2).ok()),
        }
    }
}

impl Metrics {
    /// Counts a caller's request by its outcome and records how long it took.
    pub fn on_request(&self, outcome: &'static str, took: Duration) {
        self.requests.add(outcome);
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        if let Some(h) = self.latency.borrow_mut().as_mut() {
            h.saturating_record(millis.max(1));
        }
    }

    /// Counts a request sent to a machine by what became of it.
    pub fn on_sent(&self, outcome: &'static str) {
        self.sent.add(outcome);
    }

    /// Counts a request sent once more.
    pub fn on_retry(&self) {
        self.retries.set(self.retries.get() + 1);
    }

    /// Counts a call to the store by how it ended.
    pub fn on_store_call(&self, outcome: &'static str) {
        self.store_calls.add(outcome);
    }

    /// All metrics as text, with the given present values.
    #[must_use]
    pub fn render(&self, gauges: &[(&str, f64)]) -> String {
        let mut out = String::new();
        for (name, label, counts) in [
            ("plantaingauge_requests_total", "outcome", &self.requests),
            ("plantaingauge_sends_total", "outcome", &self.sent),
            (
                "plantaingauge_store_calls_total",
                "outcome",
                &self.store_calls,
            ),
        ] {
            let _ = writeln!(out, "# TYPE {name} counter");
            for (value, n) in counts.0.borrow().iter() {
                let _ = writeln!(out, "{name}{{{label}=\"{value}\"}} {n}");
            }
        }
        let _ = writeln!(out, "# TYPE plantaingauge_retries_total counter");
        let _ = writeln!(out, "plantaingauge_retries_total {}", self.retries.get());
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
