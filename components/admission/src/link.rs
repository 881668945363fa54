//! Admission by the machine's own link: whether a response can be sent in time.
//!
//! A back end may have room for a request whose response the link cannot send before its target; the
//! response then takes the link's time from others and helps nobody.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Length assumed of a response in bytes until the first one has been queued.
const DEFAULT_RESPONSE_BYTES: f64 = 65_536.0;
/// Factor by which the bytes before a response count. Bodies take turns on a link, so that one of three
/// times the mean length, as one in twenty is where lengths are spread exponentially, is sent about three
/// times as late as the mean.
const TURNS_FACTOR: f64 = 3.0;
/// Longest wait that is computed.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// What the link has still to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Its rate in bytes per second, above 0.
    pub rate: f64,
    /// Bytes that wait to be written to it.
    pub queued_bytes: usize,
}

/// Bytes that a running request is expected to add to the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedResponse {
    class: u32,
    bytes: f64,
}

/// Bytes that responses of each class have, and what the running requests will add to the queue.
#[derive(Clone, Debug, Default)]
pub struct LinkForecast {
    class_bytes: HashMap<u32, f64>,
    mean_bytes: Option<f64>,
    /// Sum over the running requests, and their number.
    running_bytes: f64,
    running: usize,
}

impl LinkForecast {
    /// Returns the expected length of a response of `class`: the mean of its class, else the mean of
    /// all classes, else a default.
    #[must_use]
    pub fn expected_bytes(&self, class: u32) -> f64 {
        let known = self.class_bytes.get(&class).copied().or(self.mean_bytes);
        known.unwrap_or(DEFAULT_RESPONSE_BYTES)
    }

    /// Decides whether the response to a request of `class` that arrives now can be sent within
    /// `until_target`.
    ///
    /// # Errors
    /// Returns the time until the link is expected to have sent what goes before it.
    pub fn check(&self, class: u32, link: Link, until_target: Duration) -> Result<(), Duration> {
        let before = link.queued_bytes as f64 + self.running_bytes;
        let sent_after = (before * TURNS_FACTOR + self.expected_bytes(class)) / link.rate;
        if sent_after <= until_target.as_secs_f64() {
            return Ok(());
        }
        let wait = (before / link.rate).min(MAX_WAIT.as_secs_f64());
        Err(Duration::from_secs_f64(wait))
    }

    /// Counts a request whose response is to be sent over the link.
    #[must_use]
    pub fn start(&mut self, class: u32) -> ExpectedResponse {
        let bytes = self.expected_bytes(class);
        self.running_bytes += bytes;
        self.running += 1;
        ExpectedResponse { class, bytes }
    }

    /// Counts the end of a request, whose response of `response_bytes` is queued now; `None` if it has
    /// none.
    pub fn finish(&mut self, expected: ExpectedResponse, response_bytes: Option<usize>) {
        self.running = self.running.saturating_sub(1);
        self.running_bytes = if self.running == 0 {
            // Ends the accumulation of rounding errors.
            0.0
        } else {
            (self.running_bytes - expected.bytes).max(0.0)
        };
        let Some(bytes) = response_bytes else { return };
        let bytes = bytes as f64;
        let class_mean = self.class_bytes.entry(expected.class).or_insert(bytes);
        *class_mean += EWMA_WEIGHT * (bytes - *class_mean);
        let mean = self.mean_bytes.get_or_insert(bytes);
        *mean += EWMA_WEIGHT * (bytes - *mean);
    }
}
