//! Keys that this machine gives away.

use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use crate::placement::{Recipient, divide, relief};
use crate::release::Release;
use crate::span::{Span, subtract};

/// Time between two moves for the sake of load.
const RELIEF_INTERVAL: Duration = Duration::from_millis(2_500);

impl ShardManager {
    fn owned_spans(&self) -> Vec<Span> {
        let view = self.view.as_ref();
        view.map(|v| v.value.owned(&self.machine).map(|r| r.span).collect())
            .unwrap_or_default()
    }

    /// Machines that could take keys now.
    pub(super) fn takers(&self) -> Vec<Recipient> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        self.peers
            .iter()
            .filter(|(_, p)| p.connected && p.incarnation.is_some())
            .filter(|(m, p)| {
                let holder = view.value.holders.get(*m);
                holder.is_some_and(|h| Some(&h.incarnation) == p.incarnation.as_ref())
            })
            .map(|(m, p)| Recipient {
                machine: m.clone(),
                busy: p.busy,
            })
            .collect()
    }

    /// Takes back every key if the back end is leaving or gone and others can take them.
    pub(super) fn start_leaving(&mut self, now: BootInstant) {
        // A back end that has not shown up holds nothing once every earlier grant has run out.
        let missing = self.incarnation.is_none() && now >= self.granted_until;
        let going = self.leaving || self.dead || self.silent || missing;
        if !going || self.takers().is_empty() {
            return;
        }
        let mut open = self.owned_spans();
        for (release, _) in &self.releases {
            open = open
                .iter()
                .flat_map(|s| s.without(release.span()))
                .collect();
        }
        for (span, taker) in divide(&open, &self.load, &self.takers()) {
            let release = Release::new(span, self.granted_until);
            self.releases.push((release, Some(taker)));
        }
    }

    /// Starts to give keys to machines with more room, if this one is busy beyond the mean.
    ///
    /// Returns how many machines are to take keys.
    pub fn relieve(&mut self, now: BootInstant, busy: f64) -> usize {
        let quiet = self.releases.is_empty() && now.since(self.relieved) >= RELIEF_INTERVAL;
        if !quiet || !self.may_grant(now) {
            return 0;
        }
        let takers = self.takers();
        let shares = match self.newcomer(busy, &takers) {
            Some(share) => vec![share],
            None => relief(busy, &takers),
        };
        let mut spans = self.owned_spans();
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        for (taker, part) in &shares {
            for span in self.part_of(&spans, total * part) {
                spans = subtract(&spans, span);
                let release = Release::new(span, self.granted_until);
                self.releases.push((release, Some(taker.clone())));
            }
        }
        if !self.releases.is_empty() {
            self.relieved = now;
        }
        shares.len()
    }

    /// Keys out of `spans` that carry about `load`, as few as possible.
    fn part_of(&self, spans: &[Span], load: f64) -> Vec<Span> {
        if let Some(window) = self.load.densest(spans, load) {
            return vec![window];
        }
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        self.load.split(spans, (total - load).max(0.0)).1
    }

    /// A machine without keys, if this one is the busiest and so has to give it some.
    fn newcomer(&self, busy: f64, takers: &[Recipient]) -> Option<(MachineName, f64)> {
        let view = self.view.as_ref()?;
        let busiest = takers
            .iter()
            .all(|t| (t.busy, &t.machine) < (busy, &self.machine));
        let empty = takers.iter().find(|t| !view.value.owns(&t.machine))?;
        let holders = takers
            .iter()
            .filter(|t| view.value.owns(&t.machine))
            .count()
            + 1;
        busiest.then(|| (empty.machine.clone(), 1.0 / (holders as f64 + 1.0)))
    }
}
