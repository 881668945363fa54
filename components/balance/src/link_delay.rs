//! Estimates the queueing delay of links that many processes share.
//!
//! A congested link delays everything that is sent over it; further requests get their responses
//! too late and are retried, which adds load. As in LEDBAT (RFC 6817), the queueing delay is the
//! measured delay less the smallest one seen.

use std::time::Duration;

use smallvec::SmallVec;
use world::instant::BootInstant;

/// Number of probes whose median is the round-trip time of the link, so that one slow process does
/// not count as a slow link.
const PROBES: usize = 3;
/// Time after which a probe without a reply is replaced.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Default)]
struct Probe {
    /// Number and send time of the probe that awaits its reply.
    in_flight: Option<(u64, BootInstant)>,
    last_round_trip: Option<Duration>,
}

impl Probe {
    /// Returns the last round-trip time or the age of the pending probe, whichever is longer;
    /// `None` without either.
    fn round_trip(&self, now: BootInstant) -> Option<Duration> {
        let waited = self.in_flight.map(|(_, since)| now.since(since));
        match (self.last_round_trip, waited) {
            (Some(last), Some(waited)) => Some(last.max(waited)),
            (last, _) => last,
        }
    }
}

/// Queueing delay of the links to one region, measured by probes that peers reply to at once.
#[derive(Clone, Debug, Default)]
pub struct LinkDelay {
    probes: [Probe; PROBES],
    last_number: u64,
    min_round_trip: Option<Duration>,
}

impl LinkDelay {
    /// Returns the number of the probe to send now; `None` if the probe that it would
    /// replace is still pending.
    pub fn start_probe(&mut self, now: BootInstant) -> Option<u64> {
        self.last_number += 1;
        let number = self.last_number;
        let probe = &mut self.probes[Self::index(number)];
        let pending = probe.in_flight.map(|(_, since)| now.since(since));
        match pending {
            Some(waited) if waited < PROBE_TIMEOUT => return None,
            Some(_) => probe.last_round_trip = None,
            None => {}
        }
        probe.in_flight = Some((number, now));
        Some(number)
    }

    /// Records the reply to a probe; replies to replaced probes are ignored.
    pub fn on_probe_reply(&mut self, number: u64, now: BootInstant) {
        let probe = &mut self.probes[Self::index(number)];
        let Some((_, since)) = probe.in_flight.filter(|(id, _)| *id == number) else {
            return;
        };
        let round_trip = now.since(since);
        probe.in_flight = None;
        probe.last_round_trip = Some(round_trip);
        self.min_round_trip = Some(
            self.min_round_trip
                .map_or(round_trip, |min| min.min(round_trip)),
        );
    }

    /// Returns the queueing delay of a round trip; zero before the first probe.
    #[must_use]
    pub fn queueing_delay(&self, now: BootInstant) -> Duration {
        let min = self.min_round_trip.unwrap_or_default();
        let round_trips = self.probes.iter().filter_map(|p| p.round_trip(now));
        let mut sorted: SmallVec<[Duration; PROBES]> = round_trips.collect();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
        median.saturating_sub(min)
    }

    fn index(number: u64) -> usize {
        usize::try_from(number).unwrap_or(0) % PROBES
    }
}

/// Length of the windows over which the smallest clock offset is kept, so that clock drift does not
/// count as delay.
const OFFSET_WINDOW: Duration = Duration::from_secs(5);

/// Estimates the one-way delay of frames from one sender by their send times.
///
/// The clocks need not agree: the smallest offset in this and the previous window counts as no
/// delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct OneWayDelay {
    /// Start of the current window.
    window_start: Option<BootInstant>,
    /// Smallest offset in this window, receive time less send time, in milliseconds.
    min_offset: Option<i128>,
    /// Smallest offset in the previous window, in milliseconds.
    previous_min_offset: Option<i128>,
}

impl OneWayDelay {
    /// Returns the delay of a frame that was sent at `sent_ms` on its sender's clock and arrives at
    /// `now`.
    pub fn observe(&mut self, sent_ms: u64, now: BootInstant) -> Duration {
        if self
            .window_start
            .is_none_or(|w| now.since(w) > OFFSET_WINDOW)
        {
            self.window_start = Some(now);
            self.previous_min_offset = self.min_offset.take();
        }
        let offset = i128::from(now.as_millis()) - i128::from(sent_ms);
        let min = self.min_offset.map_or(offset, |m| m.min(offset));
        self.min_offset = Some(min);
        let baseline = self
            .previous_min_offset
            .map_or(min, |previous| previous.min(min));
        let delay_ms = u64::try_from(offset - baseline).unwrap_or(0);
        Duration::from_millis(delay_ms)
    }
}
