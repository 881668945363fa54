//! Grants of keys to the local back end.

use std::time::Duration;

use world::instant::BootInstant;

use super::ShardManager;
use super::types::{minus_drift, with_drift};
use crate::incarnation::BackEndIncarnation;
use crate::key_report::{Grant, GrantReply, HeldKeys, KeyReport};
use crate::span::subtract;

/// Grants shorter than this are not worth sending.
const MIN_GRANT: Duration = Duration::from_millis(100);
/// Reports after a presumed exit that prove the back end to be running.
const REPORTS_TO_CLEAR_EXIT: u32 = 3;

impl ShardManager {
    /// Handles a report of the local back end.
    ///
    /// Returns `None` if the report is outdated or no keys may be granted or renewed now.
    pub fn on_report(&mut self, now: BootInstant, report: &KeyReport) -> Option<GrantReply> {
        if !self.accept_incarnation(now, &report.incarnation) || report.sequence <= self.sequence {
            return None;
        }
        self.sequence = report.sequence;
        self.unresponsive = false;
        self.leaving |= report.draining;
        self.first_report_at.get_or_insert(now);
        for (release, _) in &mut self.releases {
            release.on_report(&report.held_keys, &report.released_keys);
        }
        self.release_if_leaving(now);
        self.reply(now, now, &report.held_keys)
    }

    /// Tries again to grant keys in reply to a report received at `received`.
    ///
    /// Returns `None` if there is still nothing to grant or a later report has arrived.
    pub fn retry_report(
        &mut self,
        received: BootInstant,
        now: BootInstant,
        report: &KeyReport,
    ) -> Option<GrantReply> {
        let is_latest = self.incarnation.as_ref() == Some(&report.incarnation)
            && self.sequence == report.sequence;
        let reply = is_latest.then(|| self.reply(received, now, &report.held_keys))?;
        reply.filter(|r| !r.grants.is_empty())
    }

    /// Makes the incarnation the current one; returns false if it is outdated or presumed exited.
    fn accept_incarnation(&mut self, now: BootInstant, incarnation: &BackEndIncarnation) -> bool {
        match &self.incarnation {
            Some(known) if known == incarnation => {
                self.clear_presumed_exit(now);
                return !self.exited;
            }
            Some(known) if incarnation.born <= known.born => return false,
            Some(_) => {
                self.grants_expired_at = now;
                self.last_grant_end = now;
                self.releases.clear();
            }
            None => self.adopt_first_incarnation(now, incarnation),
        }
        self.incarnation = Some(incarnation.clone());
        self.sequence = 0;
        self.leaving = false;
        self.exited = false;
        true
    }

    /// Counts the back end as running again after [`REPORTS_TO_CLEAR_EXIT`] reports since its
    /// presumed exit.
    ///
    /// Grants made before may then still be valid, for at most the longest grant.
    fn clear_presumed_exit(&mut self, now: BootInstant) {
        if !self.exited {
            return;
        }
        self.reports_since_exit += 1;
        if self.reports_since_exit >= REPORTS_TO_CLEAR_EXIT {
            self.exited = false;
            self.grants_expired_at = now + with_drift(self.timing.max_grant);
        }
    }

    /// A later incarnation proves that the stored one has exited, so its grants no longer count.
    fn adopt_first_incarnation(&mut self, now: BootInstant, incarnation: &BackEndIncarnation) {
        let stored = self
            .assignment
            .as_ref()
            .and_then(|a| a.value.holders.get(&self.machine));
        if stored.is_some_and(|h| h.incarnation.born < incarnation.born) {
            self.grants_expired_at = now;
        }
    }

    /// Whether the machine may grant keys: its lease is valid, the stored holder entry matches it and
    /// the back end, and no key that the back end still holds is left out.
    #[must_use]
    pub fn may_grant(&self, now: BootInstant) -> bool {
        let Some(lease) = &self.lease else {
            return false;
        };
        let registered = self
            .assignment
            .as_ref()
            .and_then(|a| a.value.holders.get(&self.machine))
            .is_some_and(|h| {
                h.epoch == lease.value.epoch && Some(&h.incarnation) == self.incarnation.as_ref()
            });
        registered
            && !self.exited
            && !lease.value.fenced
            && now < self.valid_until
            && !self.has_unclaimed_keys()
    }

    /// Grants the keys of this machine; `None` if it may not grant or for less than [`MIN_GRANT`].
    ///
    /// The back end counts a grant from when it sent its report, which was before `received`.
    fn reply(
        &mut self,
        received: BootInstant,
        now: BootInstant,
        held_keys: &[HeldKeys],
    ) -> Option<GrantReply> {
        if !self.may_grant(now) {
            return None;
        }
        let lease_left = minus_drift(self.valid_until.since(now));
        let target = if self.stopping {
            self.timing.max_grant
        } else {
            self.timing.grant
        };
        let duration = target.min(self.timing.max_grant).min(lease_left);
        if duration < MIN_GRANT {
            return None;
        }
        let grants = self.grants(held_keys);
        let until = now + with_drift(duration);
        self.grants_expired_at = self.grants_expired_at.max(until);
        self.granted = grants.iter().map(|g| g.span).collect();
        for (release, _) in &mut self.releases {
            release.mark_sent();
        }
        self.last_grant_end = received + duration;
        Some(GrantReply { grants, duration })
    }

    /// Returns the grants of all owned keys that are not being released; handover records are
    /// omitted for keys that the back end already holds.
    fn grants(&self, held_keys: &[HeldKeys]) -> Vec<Grant> {
        let Some(assignment) = &self.assignment else {
            return Vec::new();
        };
        let mut grants = Vec::new();
        for r in assignment.value.owned(&self.machine) {
            let mut spans = vec![r.span];
            for (release, _) in &self.releases {
                spans = subtract(&spans, release.span());
            }
            let is_held = |span| {
                held_keys
                    .iter()
                    .any(|h| h.fence == r.fence && h.span.covers(span))
            };
            grants.extend(spans.into_iter().map(|span| Grant {
                span,
                fence: r.fence,
                handover: match is_held(span) {
                    true => String::new(),
                    false => r.handover.clone(),
                },
            }));
        }
        grants
    }

    /// Whether every grant to the local back end has expired on its clock, however slow.
    #[must_use]
    pub fn have_grants_expired(&self, now: BootInstant) -> bool {
        now >= self.grants_expired_at
    }

    /// Whether the local back end holds the key and is not being made to release it.
    #[must_use]
    pub fn serves(&self, now: BootInstant, key: u16) -> bool {
        let granted = now < self.last_grant_end && self.granted.iter().any(|s| s.contains(key));
        granted && !self.exited && self.owns(key)
    }

    /// Whether this machine owns the key and has not sent its back end a reply that omits it.
    #[must_use]
    pub fn owns(&self, key: u16) -> bool {
        let assigned = self.assignment.as_ref().and_then(|a| {
            let range = a.value.range(key);
            range.filter(|r| a.value.is_confirmed(r))
        });
        let owned = match assigned {
            Some(range) => range.machine == self.machine,
            None => self.carries(key),
        };
        let mut withdrawn = self.releases.iter().filter(|(r, _)| r.is_sent());
        owned && !withdrawn.any(|(r, _)| r.span().contains(key))
    }
}
