//! Chooses keys to move to other machines, on drain, failure or load, and starts their release.

use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use crate::placement::{Recipient, distribute, rebalance_shares, retain_warm};
use crate::release::Release;
use crate::span::{Span, subtract};

/// Least time between two moves caused by load.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2_500);

impl ShardManager {
    pub(super) fn owned_spans(&self) -> Vec<Span> {
        let assignment = self.assignment.as_ref();
        assignment
            .map(|a| a.value.owned(&self.machine).map(|r| r.span).collect())
            .unwrap_or_default()
    }

    /// Returns the connected machines whose stored holder entry matches their running back end, without
    /// those of evacuated zones.
    pub(super) fn recipients(&self) -> Vec<Recipient> {
        let Some(assignment) = &self.assignment else {
            return Vec::new();
        };
        self.peers
            .iter()
            .filter(|(_, p)| p.connected && p.incarnation.is_some())
            .filter(|(m, _)| !self.evacuated.contains(*m))
            .filter(|(m, p)| {
                let holder = assignment.value.holders.get(*m);
                holder.is_some_and(|h| Some(&h.incarnation) == p.incarnation.as_ref())
            })
            .map(|(m, p)| Recipient {
                machine: m.clone(),
                utilization: p.utilization,
                cold: p.cold,
            })
            .collect()
    }

    /// Returns the recipients that may be assigned keys that this machine owns: those with a cold back end
    /// only if no machine, this one included, has a warm one.
    pub(super) fn warm_recipients(&self) -> Vec<Recipient> {
        let mut recipients = self.recipients();
        let is_warm = self.available_incarnation().is_some() && !self.cold && !self.is_evacuated();
        retain_warm(&mut recipients, is_warm);
        recipients
    }

    /// Returns this machine and the other recipients as those that may be assigned keys of others, by the
    /// same rule.
    pub(super) fn warm_recipients_and_self(&self) -> Vec<Recipient> {
        let mut recipients = self.recipients();
        // Keys are better held in an evacuated zone than by nobody.
        if recipients.is_empty() || !self.is_evacuated() {
            recipients.push(Recipient {
                machine: self.machine.clone(),
                utilization: 0.0,
                cold: self.cold,
            });
        }
        retain_warm(&mut recipients, false);
        recipients
    }

    /// Starts the release of every key if the back end is leaving or gone, or its zone evacuated, and
    /// others can receive them.
    pub(super) fn release_if_leaving(&mut self, now: BootInstant) {
        // A back end that never reported holds nothing once every earlier grant has expired.
        let missing = self.incarnation.is_none() && now >= self.grants_expired_at;
        let must_release = self.leaving || self.exited || self.unresponsive || missing;
        let must_release = must_release || self.is_evacuated();
        let recipients = self.warm_recipients();
        if !must_release || recipients.is_empty() {
            return;
        }
        let mut spans = self.owned_spans();
        for (release, _) in &self.releases {
            spans = spans
                .iter()
                .flat_map(|s| s.without(release.span()))
                .collect();
        }
        for (span, recipient) in distribute(&spans, &self.load, &recipients) {
            self.release(span, recipient);
        }
    }

    /// Starts the release of keys that a recipient is to get.
    fn release(&mut self, span: Span, recipient: MachineName) {
        let fence = self.assignment.as_ref().map_or(0, |a| a.value.fence);
        let release = Release::new(span, fence, self.grants_expired_at);
        self.releases.push((release, Some(recipient)));
    }

    /// Starts to move keys to less loaded machines if `utilization`, that of this one, is
    /// well above the mean, or to a machine without keys.
    ///
    /// Returns the number of recipients.
    pub fn rebalance(&mut self, now: BootInstant, utilization: f64) -> usize {
        let is_due =
            self.releases.is_empty() && now.since(self.last_rebalance) >= REBALANCE_INTERVAL;
        if !is_due || !self.may_grant(now) {
            return 0;
        }
        let recipients = self.warm_recipients();
        let shares = match self.empty_recipient(utilization, &recipients) {
            Some(share) => vec![share],
            None => rebalance_shares(utilization, &recipients),
        };
        let mut spans = self.owned_spans();
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        for (recipient, fraction) in &shares {
            for span in self.select_keys(&spans, total * fraction) {
                spans = subtract(&spans, span);
                self.release(span, recipient.clone());
            }
        }
        if !self.releases.is_empty() {
            self.last_rebalance = now;
        }
        shares.len()
    }

    /// Selects as few keys as possible from `spans` that carry about `load`.
    fn select_keys(&self, spans: &[Span], load: f64) -> Vec<Span> {
        if let Some(window) = self.load.smallest_window(spans, load) {
            return vec![window];
        }
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        self.load.split(spans, (total - load).max(0.0)).1
    }

    /// Returns a machine without keys and the fraction of load for it, if this machine is the
    /// busiest.
    fn empty_recipient(
        &self,
        utilization: f64,
        recipients: &[Recipient],
    ) -> Option<(MachineName, f64)> {
        let assignment = self.assignment.as_ref()?;
        let is_busiest = recipients
            .iter()
            .all(|r| (r.utilization, &r.machine) < (utilization, &self.machine));
        let empty = recipients
            .iter()
            .find(|r| !assignment.value.owns(&r.machine))?;
        let owners = self
            .recipients()
            .iter()
            .filter(|r| assignment.value.owns(&r.machine))
            .count()
            + 1;
        is_busiest.then(|| (empty.machine.clone(), 1.0 / (owners as f64 + 1.0)))
    }
}
