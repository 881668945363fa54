//! Chooses which keys move and which machines receive them, from the load of keys and machines.

use world::name::MachineName;

use crate::span::Span;

/// Keys in one bucket of [`KeyLoad`].
const KEYS_PER_BUCKET: u16 = 16;
const BUCKETS: usize = 65_536 / KEYS_PER_BUCKET as usize;

/// Load per key without requests; makes idle keys distribute by their number.
const IDLE_KEY_LOAD: f64 = 1e-6;

/// Lower bound of the load of a window, as a fraction of the requested load.
const MIN_WINDOW_LOAD: f64 = 0.7;
/// Upper bound of the load of a window, as a fraction of the requested load.
const MAX_WINDOW_LOAD: f64 = 1.2;

/// Decaying count of requests per bucket of adjacent keys.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    buckets: Vec<f32>,
}

impl Default for KeyLoad {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
        }
    }
}

impl KeyLoad {
    /// Counts a request.
    pub fn add(&mut self, key: u16) {
        if let Some(b) = self.buckets.get_mut(usize::from(key / KEYS_PER_BUCKET)) {
            *b += 1.0;
        }
    }

    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f32) {
        for b in &mut self.buckets {
            *b *= factor;
        }
    }

    /// Returns the load of a span, as decayed requests; requests of a bucket count evenly for its
    /// keys.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        let idle = f64::from(span.len()) * IDLE_KEY_LOAD;
        let counted: f64 = bucket_parts(span)
            .map(|part| {
                let bucket = self.buckets[usize::from(part.from / KEYS_PER_BUCKET)];
                f64::from(bucket) * f64::from(part.len()) / f64::from(KEYS_PER_BUCKET)
            })
            .sum();
        idle + counted
    }

    /// Returns the smallest span of keys whose load is about `load`, if there is one.
    ///
    /// Whole spans are preferred, so that moves do not fragment the keys more and more.
    #[must_use]
    pub fn smallest_window(&self, spans: &[Span], load: f64) -> Option<Span> {
        let min = load * MIN_WINDOW_LOAD;
        let max = load * MAX_WINDOW_LOAD;
        let fits = |s: &&Span| (min..=max).contains(&self.of(**s));
        if let Some(whole) = spans.iter().filter(fits).min_by_key(|s| s.len()) {
            return Some(*whole);
        }
        let windows = spans.iter().filter_map(|s| {
            let parts: Vec<Span> = bucket_parts(*s).collect();
            self.smallest_window_of(&parts, min, max)
        });
        windows.min_by_key(|w| w.len())
    }

    /// Returns the smallest window over adjacent `parts` with a load between `min` and `max`.
    fn smallest_window_of(&self, parts: &[Span], min: f64, max: f64) -> Option<Span> {
        let mut best: Option<Span> = None;
        let mut first = 0;
        let mut sum = 0.0;
        for (last, part) in parts.iter().enumerate() {
            sum += self.of(*part);
            while sum > max && first <= last {
                sum -= self.of(parts[first]);
                first += 1;
            }
            while first < last && sum - self.of(parts[first]) >= min {
                sum -= self.of(parts[first]);
                first += 1;
            }
            if sum < min || first > last {
                continue;
            }
            let window = Span::new(parts[first].from, part.to)?;
            if best.is_none_or(|b| window.len() < b.len()) {
                best = Some(window);
            }
        }
        best
    }

    /// Splits `spans` in order: the first list carries about `load`, the second the rest.
    #[must_use]
    pub fn split(&self, spans: &[Span], load: f64) -> (Vec<Span>, Vec<Span>) {
        let mut left = load;
        let mut head = Vec::new();
        let mut tail = Vec::new();
        for part in spans.iter().flat_map(|s| bucket_parts(*s)) {
            let cost = self.of(part);
            if tail.is_empty() && left > cost / 2.0 {
                left -= cost;
                push_merged(&mut head, part);
            } else {
                push_merged(&mut tail, part);
            }
        }
        (head, tail)
    }
}

/// Splits the span at bucket boundaries.
fn bucket_parts(span: Span) -> impl Iterator<Item = Span> {
    let first = span.from / KEYS_PER_BUCKET;
    let last = span.to / KEYS_PER_BUCKET;
    (first..=last).filter_map(move |b| {
        let from = b * KEYS_PER_BUCKET;
        Span::new(from, from + (KEYS_PER_BUCKET - 1))?.overlap(span)
    })
}

fn push_merged(spans: &mut Vec<Span>, next: Span) {
    match spans.last_mut() {
        Some(last) if last.to.checked_add(1) == Some(next.from) => last.to = next.to,
        _ => spans.push(next),
    }
}

/// A machine that can receive keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Recipient {
    /// The machine.
    pub machine: MachineName,
    /// Fraction of its capacity in use; 1 is full.
    pub utilization: f64,
    /// Whether its back end is cold and takes few requests.
    pub cold: bool,
}

/// Leaves only the machines with a warm back end, if there are any or `keeper_is_warm`: the machine that
/// could keep the keys instead has a warm back end.
pub fn retain_warm(recipients: &mut Vec<Recipient>, keeper_is_warm: bool) {
    if keeper_is_warm || recipients.iter().any(|r| !r.cold) {
        recipients.retain(|r| !r.cold);
    }
}

/// Distributes `spans` among `recipients` in proportion to their free capacity.
///
/// Returns an empty list if there are no recipients.
#[must_use]
pub fn distribute(
    spans: &[Span],
    load: &KeyLoad,
    recipients: &[Recipient],
) -> Vec<(Span, MachineName)> {
    let free: Vec<f64> = recipients
        .iter()
        .map(|r| (1.0 - r.utilization).max(0.05))
        .collect();
    let mut free_left: f64 = free.iter().sum();
    let mut rest: Vec<Span> = spans.to_vec();
    let mut shares = Vec::new();
    for (recipient, own_free) in recipients.iter().zip(&free) {
        let total: f64 = rest.iter().map(|s| load.of(*s)).sum();
        let is_last = free_left <= own_free + 1e-9;
        let (own_spans, remaining) = if is_last {
            (std::mem::take(&mut rest), Vec::new())
        } else {
            load.split(&rest, total * own_free / free_left)
        };
        shares.extend(
            own_spans
                .into_iter()
                .map(|s| (s, recipient.machine.clone())),
        );
        rest = remaining;
        free_left -= own_free;
    }
    shares
}

/// Smallest excess of a machine's utilization over the mean at which keys move.
const MIN_EXCESS: f64 = 0.15;
/// Smallest such excess as a fraction of the mean.
const RELATIVE_EXCESS: f64 = 0.3;
/// Utilization below which a machine keeps its keys: a move would cost callers more than the load.
const MIN_UTILIZATION: f64 = 0.5;
/// Smallest utilization that is worth moving to one machine.
const MIN_MOVED: f64 = 0.04;

/// Returns the machines that should receive keys from one with this utilization, and the
/// fraction of its load for each; empty if its excess is too small.
///
/// Every machine is brought to the mean at once, so that keys move once rather than step by step.
#[must_use]
pub fn rebalance_shares(utilization: f64, others: &[Recipient]) -> Vec<(MachineName, f64)> {
    let total: f64 = utilization + others.iter().map(|r| r.utilization).sum::<f64>();
    let mean = total / (others.len() as f64 + 1.0);
    let excess = utilization - mean;
    if utilization < MIN_UTILIZATION || excess < MIN_EXCESS.max(RELATIVE_EXCESS * mean) {
        return Vec::new();
    }
    let free = |r: &Recipient| (mean - r.utilization).max(0.0);
    let total_free: f64 = others.iter().map(free).sum();
    others
        .iter()
        .map(|r| (r, excess * free(r) / total_free))
        .filter(|(_, moved)| *moved >= MIN_MOVED)
        .map(|(r, moved)| (r.machine.clone(), moved / utilization))
        .collect()
}
