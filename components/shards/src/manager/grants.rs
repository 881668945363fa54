//! Grants to the back end beside this machine.

use std::time::Duration;

use world::instant::BootInstant;

use super::ShardManager;
use super::types::{less_drift, with_drift};
use crate::incarnation::BackEndIncarnation;
use crate::key_report::{Grant, GrantReply, HeldKeys, KeyReport};
use crate::span::subtract;

/// Grants shorter than this are not worth sending.
const MIN_HOLD: Duration = Duration::from_millis(100);
/// Reports after the supposed end of a back end that show that it lives.
const REPORTS_OF_LIFE: u32 = 3;

impl ShardManager {
    /// Answers a report of the back end; nothing if nothing may be granted or renewed.
    pub fn on_check_in(&mut self, now: BootInstant, report: &KeyReport) -> Option<GrantReply> {
        if !self.accept_incarnation(now, &report.incarnation) || report.sequence <= self.sequence {
            return None;
        }
        self.sequence = report.sequence;
        self.silent = false;
        self.leaving |= report.draining;
        self.met.get_or_insert(now);
        for (release, _) in &mut self.releases {
            release.on_report(&report.held, &report.freed);
        }
        self.start_leaving(now);
        self.reply(now, now, &report.held)
    }

    /// Answers a report that was received at `received` and could not be granted anything then.
    pub fn on_late_answer(
        &mut self,
        received: BootInstant,
        now: BootInstant,
        report: &KeyReport,
    ) -> Option<GrantReply> {
        let latest = self.incarnation.as_ref() == Some(&report.incarnation)
            && self.sequence == report.sequence;
        let reply = latest.then(|| self.reply(received, now, &report.held))?;
        reply.filter(|r| !r.grants.is_empty())
    }

    /// Takes the boot as the present one; false if it is an earlier one.
    fn accept_incarnation(&mut self, now: BootInstant, incarnation: &BackEndIncarnation) -> bool {
        match &self.incarnation {
            Some(known) if known == incarnation => {
                self.doubt_death(now);
                return !self.dead;
            }
            Some(known) if incarnation.born <= known.born => return false,
            Some(_) => {
                self.granted_until = now;
                self.held_until = now;
                self.releases.clear();
            }
            None => self.adopt_first_incarnation(now, incarnation),
        }
        self.incarnation = Some(incarnation.clone());
        self.sequence = 0;
        self.leaving = false;
        self.dead = false;
        true
    }

    /// Reports that go on after the supposed end of a back end show that it lives.
    fn doubt_death(&mut self, now: BootInstant) {
        if !self.dead {
            return;
        }
        self.reports_since_death += 1;
        if self.reports_since_death >= REPORTS_OF_LIFE {
            self.dead = false;
            self.granted_until = now + with_drift(self.timing.hold_max);
        }
    }

    /// A boot other than the stored one proves that the stored one has ended.
    fn adopt_first_incarnation(&mut self, now: BootInstant, incarnation: &BackEndIncarnation) {
        let stored = self
            .view
            .as_ref()
            .and_then(|v| v.value.holders.get(&self.machine));
        if stored.is_some_and(|h| h.incarnation.born < incarnation.born) {
            self.granted_until = now;
        }
    }

    /// Whether the machine may grant keys now.
    #[must_use]
    pub fn may_grant(&self, now: BootInstant) -> bool {
        let Some(lease) = &self.lease else {
            return false;
        };
        let enrolled = self
            .view
            .as_ref()
            .and_then(|v| v.value.holders.get(&self.machine))
            .is_some_and(|h| {
                h.epoch == lease.value.epoch && Some(&h.incarnation) == self.incarnation.as_ref()
            });
        enrolled && !self.dead && !lease.value.fenced && now < self.valid_until
    }

    /// The back end counts a grant from when it sent its report, which was before `received`.
    fn reply(
        &mut self,
        received: BootInstant,
        now: BootInstant,
        held: &[HeldKeys],
    ) -> Option<GrantReply> {
        if !self.may_grant(now) {
            return None;
        }
        let left = less_drift(self.valid_until.since(now));
        let usual = if self.stopping {
            self.timing.hold_max
        } else {
            self.timing.hold
        };
        let hold = usual.min(self.timing.hold_max).min(left);
        if hold < MIN_HOLD {
            return None;
        }
        let grants = self.grants(held);
        let until = now + with_drift(hold);
        self.granted_until = self.granted_until.max(until);
        self.granted = grants.iter().map(|g| g.span).collect();
        for (release, _) in &mut self.releases {
            release.tell();
        }
        self.held_until = received + hold;
        Some(GrantReply { grants, hold })
    }

    /// What the back end is to hold; a record is left out once it holds the keys.
    fn grants(&self, held: &[HeldKeys]) -> Vec<Grant> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut grants = Vec::new();
        for r in view.value.owned(&self.machine) {
            let mut spans = vec![r.span];
            for (release, _) in &self.releases {
                spans = subtract(&spans, release.span());
            }
            let is_held = |span| {
                held.iter()
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

    /// Whether the back end beside this machine holds the key and is to keep it.
    #[must_use]
    pub fn serves(&self, now: BootInstant, key: u16) -> bool {
        let held = now < self.held_until && self.granted.iter().any(|s| s.contains(key));
        held && !self.dead && self.owns(key)
    }

    /// Whether the key belongs to this machine and its back end has not been told to release it.
    #[must_use]
    pub fn owns(&self, key: u16) -> bool {
        let owned = self
            .view
            .as_ref()
            .and_then(|v| v.value.range(key))
            .is_some_and(|r| r.machine == self.machine);
        let mut told = self.releases.iter().filter(|(r, _)| r.is_told());
        owned && !told.any(|(r, _)| r.span().contains(key))
    }
}
