//! A back end that follows the rules of grants.

use rand::Rng;
use rand::rngs::StdRng;
use shards::incarnation::BackEndIncarnation;
use shards::key_report::{GrantReply, HeldKeys, KeyReport, ReleasedKeys};
use shards::span::Span;

/// Milliseconds between two heartbeats.
pub(crate) const HEARTBEAT_MS: f64 = 870.0;
/// Milliseconds between heartbeats while keys are being released.
const RELEASING_MS: f64 = 100.0;
/// Milliseconds after which a missing answer no longer counts.
const ANSWER_MS: f64 = 1_000.0;

/// Keys that are held until `expires`, or worked on until `busy_until` after their release.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// The keys.
    pub(crate) span: Span,
    /// Fence of the grant.
    pub(crate) fence: u64,
    /// End of the grant in true milliseconds.
    expires: f64,
    /// End of the work on them, if they are being released.
    releasing: Option<f64>,
}

/// A back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEnd {
    /// Its boot.
    pub(crate) incarnation: BackEndIncarnation,
    /// Whether it is about to leave.
    pub(crate) draining: bool,
    /// Rows held or worked on.
    pub(crate) rows: Vec<Row>,
    freed: Vec<ReleasedKeys>,
    sequence: u64,
    applied: u64,
    /// Next heartbeat in true milliseconds.
    pub(crate) next_beat: f64,
    /// How much slower than true time its clock runs, at least 1.
    slowness: f64,
}

impl BackEnd {
    /// Starts a back end.
    pub(crate) fn new(id: &str, born: u64, now: f64, rng: &mut StdRng) -> Self {
        Self {
            incarnation: BackEndIncarnation {
                id: id.to_owned(),
                born,
            },
            draining: false,
            rows: Vec::new(),
            freed: Vec::new(),
            sequence: 0,
            applied: 0,
            next_beat: now + rng.random_range(0.0..HEARTBEAT_MS),
            slowness: rng.random_range(1.0..1.015),
        }
    }

    /// Lets time pass: grants run out, released keys become free.
    pub(crate) fn advance(&mut self, now: f64) {
        let mut freed = Vec::new();
        self.rows.retain(|r| {
            let done = r.releasing.is_some_and(|end| now >= end);
            if done {
                freed.push(ReleasedKeys {
                    span: r.span,
                    handover: format!("h{}", r.fence),
                });
            }
            !done && (r.releasing.is_some() || now < r.expires)
        });
        self.freed.extend(freed);
    }

    /// Makes the next heartbeat.
    pub(crate) fn beat(&mut self, now: f64) -> KeyReport {
        self.sequence += 1;
        let releasing = self.rows.iter().any(|r| r.releasing.is_some()) || !self.freed.is_empty();
        self.next_beat = now
            + if releasing {
                RELEASING_MS
            } else {
                HEARTBEAT_MS
            };
        KeyReport {
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            draining: self.draining,
            held: self
                .rows
                .iter()
                .map(|r| HeldKeys {
                    span: r.span,
                    fence: r.fence,
                })
                .collect(),
            freed: self.freed.clone(),
        }
    }

    /// Takes the answer to a heartbeat; returns the rows that are new.
    pub(crate) fn on_reply(
        &mut self,
        now: f64,
        sent: f64,
        sequence: u64,
        reply: Option<&GrantReply>,
        rng: &mut StdRng,
    ) -> Vec<(Span, u64)> {
        if sequence <= self.applied || now - sent > ANSWER_MS {
            return Vec::new();
        }
        self.applied = sequence;
        self.freed.clear();
        let Some(reply) = reply else {
            return Vec::new();
        };
        let expires = sent + reply.hold.as_secs_f64() * 1e3 * self.slowness;
        let mut taken = Vec::new();
        let mut rows = Vec::new();
        for old in std::mem::take(&mut self.rows) {
            let mut left = vec![old.span];
            for grant in &reply.grants {
                left = shards::span::subtract(&left, grant.span);
            }
            rows.extend(left.into_iter().map(|span| Row {
                span,
                releasing: old.releasing.or(Some(now + rng.random_range(0.0..400.0))),
                ..old.clone()
            }));
            // What goes on is entered below under its grant.
            for grant in &reply.grants {
                if old.span.overlap(grant.span).is_some() && old.releasing.is_some() {
                    rows.extend(old.span.overlap(grant.span).map(|span| Row {
                        span,
                        ..old.clone()
                    }));
                }
            }
        }
        for grant in &reply.grants {
            taken.push((grant.span, grant.fence));
            rows.push(Row {
                span: grant.span,
                fence: grant.fence,
                expires,
                releasing: None,
            });
        }
        self.rows = rows;
        taken
    }
}
