//! How long frames queue on a link that many processes share.
//!
//! A link that is full delays everything that is sent over it, so requests that are sent on top are
//! answered too late and sent again. The delay is found as in LEDBAT (RFC 6817): the time beyond the
//! least one that was seen.

use std::time::Duration;

use smallvec::SmallVec;
use world::instant::BootInstant;

/// Probes whose results are compared; the median stands for the link, so that one slow process does
/// not.
const PROBES: usize = 3;
/// Age at which a probe without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Default)]
struct Probe {
    /// Number and start of the probe that is on its way.
    open: Option<(u64, BootInstant)>,
    last: Option<Duration>,
}

impl Probe {
    /// Time that a frame takes there and back, as far as is known.
    fn round_trip(&self, now: BootInstant) -> Option<Duration> {
        let waited = self.open.map(|(_, since)| now.since(since));
        match (self.last, waited) {
            (Some(last), Some(waited)) => Some(last.max(waited)),
            (last, _) => last,
        }
    }
}

/// Delay of the links to one region, by probes that are answered at once.
#[derive(Clone, Debug, Default)]
pub struct LinkDelay {
    probes: [Probe; PROBES],
    started: u64,
    least: Option<Duration>,
}

impl LinkDelay {
    /// Number of the probe to send now; nothing if an earlier one is still awaited.
    pub fn start_probe(&mut self, now: BootInstant) -> Option<u64> {
        self.started += 1;
        let number = self.started;
        let probe = &mut self.probes[Self::index(number)];
        let awaited = probe.open.map(|(_, since)| now.since(since));
        match awaited {
            Some(waited) if waited < PROBE_TIMEOUT => return None,
            Some(_) => probe.last = None,
            None => {}
        }
        probe.open = Some((number, now));
        Some(number)
    }

    /// Takes in the answer to a probe.
    pub fn on_answer(&mut self, number: u64, now: BootInstant) {
        let probe = &mut self.probes[Self::index(number)];
        let Some((_, since)) = probe.open.filter(|(open, _)| *open == number) else {
            return;
        };
        let took = now.since(since);
        probe.open = None;
        probe.last = Some(took);
        self.least = Some(self.least.map_or(took, |least| least.min(took)));
    }

    /// Time that frames queue on the way there and back.
    #[must_use]
    pub fn delay(&self, now: BootInstant) -> Duration {
        let least = self.least.unwrap_or_default();
        let round_trips = self.probes.iter().filter_map(|p| p.round_trip(now));
        let mut known: SmallVec<[Duration; PROBES]> = round_trips.collect();
        known.sort_unstable();
        let median = known.get(known.len() / 2).copied().unwrap_or_default();
        median.saturating_sub(least)
    }

    fn index(number: u64) -> usize {
        usize::try_from(number).unwrap_or(0) % PROBES
    }
}

/// Window after which the least difference of two clocks is found anew.
const SKEW_WINDOW: Duration = Duration::from_secs(5);

/// How late frames of one sender arrive, by the times that they were sent at.
///
/// The clocks need not agree: the least difference seen lately counts as no delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Start of the present window.
    window: Option<BootInstant>,
    /// Least difference of the two clocks in this window, in milliseconds.
    least: Option<i128>,
    /// The same in the window before.
    before: Option<i128>,
}

impl Lateness {
    /// Delay of a frame that was sent at `sent_ms` by its sender's clock and arrives at `now`.
    pub fn observe(&mut self, sent_ms: u64, now: BootInstant) -> Duration {
        if self.window.is_none_or(|w| now.since(w) > SKEW_WINDOW) {
            self.window = Some(now);
            self.before = self.least.take();
        }
        let difference = i128::from(now.as_millis()) - i128::from(sent_ms);
        let least = self.least.map_or(difference, |l| l.min(difference));
        self.least = Some(least);
        let base = self.before.map_or(least, |b| b.min(least));
        let late = u64::try_from(difference - base).unwrap_or(0);
        Duration::from_millis(late)
    }
}
