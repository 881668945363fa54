//! Which machines take over keys, and which keys a busy machine gives away.

use world::name::MachineName;

use crate::span::Span;

/// Keys in one bucket of [`KeyLoad`].
const KEYS_PER_BUCKET: u16 = 16;
const BUCKETS: usize = 65_536 / KEYS_PER_BUCKET as usize;

/// Load of a span that has seen no request, per key; it makes idle keys spread by their number.
const IDLE_KEY_LOAD: f64 = 1e-6;

/// Part of the wanted load that a run of keys must carry to be moved at once.
const LEAST_SHARE: f64 = 0.7;
/// Part of the wanted load that a run of keys may carry.
const MOST_SHARE: f64 = 1.2;

/// Decaying count of requests by key.
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

    /// The load of a span.
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

    /// The smallest run of keys whose load is about `load`, if there is one.
    ///
    /// Whole spans are preferred, so that moves do not cut the keys into ever smaller pieces.
    #[must_use]
    pub fn densest(&self, spans: &[Span], load: f64) -> Option<Span> {
        let least = load * LEAST_SHARE;
        let most = load * MOST_SHARE;
        let fits = |s: &&Span| (least..=most).contains(&self.of(**s));
        if let Some(whole) = spans.iter().filter(fits).min_by_key(|s| s.len()) {
            return Some(*whole);
        }
        let windows = spans.iter().filter_map(|s| {
            let parts: Vec<Span> = bucket_parts(*s).collect();
            self.densest_of(&parts, least, most)
        });
        windows.min_by_key(|w| w.len())
    }

    /// The smallest window over neighbouring `parts` with a load between `least` and `most`.
    fn densest_of(&self, parts: &[Span], least: f64, most: f64) -> Option<Span> {
        let mut best: Option<Span> = None;
        let mut first = 0;
        let mut sum = 0.0;
        for (last, part) in parts.iter().enumerate() {
            sum += self.of(*part);
            while sum > most && first <= last {
                sum -= self.of(parts[first]);
                first += 1;
            }
            while first < last && sum - self.of(parts[first]) >= least {
                sum -= self.of(parts[first]);
                first += 1;
            }
            if sum < least || first > last {
                continue;
            }
            let window = Span::new(parts[first].from, part.to)?;
            if best.is_none_or(|b| window.len() < b.len()) {
                best = Some(window);
            }
        }
        best
    }

    /// Splits `spans`, taken in order, after a share of about `load`.
    #[must_use]
    pub fn split(&self, spans: &[Span], load: f64) -> (Vec<Span>, Vec<Span>) {
        let mut left = load;
        let mut head = Vec::new();
        let mut tail = Vec::new();
        for part in spans.iter().flat_map(|s| bucket_parts(*s)) {
            let cost = self.of(part);
            if tail.is_empty() && left > cost / 2.0 {
                left -= cost;
                push_joined(&mut head, part);
            } else {
                push_joined(&mut tail, part);
            }
        }
        (head, tail)
    }
}

/// The span cut at bucket borders.
fn bucket_parts(span: Span) -> impl Iterator<Item = Span> {
    let first = span.from / KEYS_PER_BUCKET;
    let last = span.to / KEYS_PER_BUCKET;
    (first..=last).filter_map(move |b| {
        let from = b * KEYS_PER_BUCKET;
        Span::new(from, from + (KEYS_PER_BUCKET - 1))?.overlap(span)
    })
}

fn push_joined(spans: &mut Vec<Span>, next: Span) {
    match spans.last_mut() {
        Some(last) if last.to.checked_add(1) == Some(next.from) => last.to = next.to,
        _ => spans.push(next),
    }
}

/// A machine that can take keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Recipient {
    /// The machine.
    pub machine: MachineName,
    /// Share of its capacity that is in use; 1 is full.
    pub busy: f64,
}

/// Divides `spans` among `takers` so that those with more room get more.
#[must_use]
pub fn divide(spans: &[Span], load: &KeyLoad, takers: &[Recipient]) -> Vec<(Span, MachineName)> {
    let room: Vec<f64> = takers.iter().map(|t| (1.0 - t.busy).max(0.05)).collect();
    let mut room_left: f64 = room.iter().sum();
    let mut rest: Vec<Span> = spans.to_vec();
    let mut shares = Vec::new();
    for (taker, own) in takers.iter().zip(&room) {
        let total: f64 = rest.iter().map(|s| load.of(*s)).sum();
        let last = room_left <= own + 1e-9;
        let (mine, others) = if last {
            (std::mem::take(&mut rest), Vec::new())
        } else {
            load.split(&rest, total * own / room_left)
        };
        shares.extend(mine.into_iter().map(|s| (s, taker.machine.clone())));
        rest = others;
        room_left -= own;
    }
    shares
}

/// Least difference between a machine's busy share and the mean at which keys move.
const MIN_EXCESS: f64 = 0.15;
/// Part of the mean by which a machine must exceed it before keys move.
const RELATIVE_EXCESS: f64 = 0.3;
/// Busy share below which a machine keeps its keys: each move costs callers more than the load.
const MIN_BUSY: f64 = 0.5;
/// Least busy share that is worth moving to one machine.
const MIN_GIVEN: f64 = 0.04;

/// The machines that should take keys from one that is `busy`, and the part of its load for each.
///
/// Every machine is brought to the mean at once, so that keys move once rather than step by step.
#[must_use]
pub fn relief(busy: f64, others: &[Recipient]) -> Vec<(MachineName, f64)> {
    let total: f64 = busy + others.iter().map(|t| t.busy).sum::<f64>();
    let mean = total / (others.len() as f64 + 1.0);
    let excess = busy - mean;
    if busy < MIN_BUSY || excess < MIN_EXCESS.max(RELATIVE_EXCESS * mean) {
        return Vec::new();
    }
    let room = |t: &Recipient| (mean - t.busy).max(0.0);
    let all_room: f64 = others.iter().map(room).sum();
    others
        .iter()
        .map(|t| (t, excess * room(t) / all_room))
        .filter(|(_, given)| *given >= MIN_GIVEN)
        .map(|(t, given)| (t.machine.clone(), given / busy))
        .collect()
}
