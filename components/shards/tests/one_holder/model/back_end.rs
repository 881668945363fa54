//! A back end that obeys grants: it holds keys no longer than granted and releases withdrawn ones.

use rand::Rng;
use rand::rngs::StdRng;
use shards::incarnation::BackEndIncarnation;
use shards::key_report::{GrantReply, HeldKeys, KeyReport, ReleasedKeys};
use shards::span::Span;

/// Milliseconds between two heartbeats.
pub(crate) const HEARTBEAT_MS: f64 = 870.0;
/// Milliseconds between heartbeats while keys are being released.
const RELEASING_HEARTBEAT_MS: f64 = 100.0;
/// Milliseconds after which a reply to a heartbeat is ignored.
const REPLY_TIMEOUT_MS: f64 = 1_000.0;

/// Keys that are held until `expires_at` and, while they are being released, no longer than until
/// `released_at`.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    /// The keys.
    pub(crate) span: Span,
    /// Fence of the grant.
    pub(crate) fence: u64,
    /// End of the grant in true milliseconds.
    expires_at: f64,
    /// When the last request on them ends, if they are being released.
    released_at: Option<f64>,
}

/// A simulated back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEnd {
    /// Its incarnation.
    pub(crate) incarnation: BackEndIncarnation,
    /// Whether it is draining.
    pub(crate) draining: bool,
    /// Keys held or being released.
    pub(crate) holdings: Vec<Holding>,
    released_keys: Vec<ReleasedKeys>,
    sequence: u64,
    last_applied: u64,
    /// Time of the next heartbeat in true milliseconds.
    pub(crate) next_heartbeat: f64,
    /// True time per unit of time on its clock, at least 1.
    clock_slowdown: f64,
}

impl BackEnd {
    /// Starts a back end at `now`.
    pub(crate) fn new(id: &str, born: u64, now: f64, rng: &mut StdRng) -> Self {
        Self {
            incarnation: BackEndIncarnation {
                id: id.to_owned(),
                born,
            },
            draining: false,
            holdings: Vec::new(),
            released_keys: Vec::new(),
            sequence: 0,
            last_applied: 0,
            next_heartbeat: now + rng.random_range(0.0..HEARTBEAT_MS),
            clock_slowdown: rng.random_range(1.0..1.015),
        }
    }

    /// Drops expired grants, also of keys that are being released, and completes due releases.
    pub(crate) fn advance(&mut self, now: f64) {
        let mut released = Vec::new();
        self.holdings.retain(|r| {
            if now >= r.expires_at {
                return false;
            }
            let done = r.released_at.is_some_and(|end| now >= end);
            if done {
                released.push(ReleasedKeys {
                    span: r.span,
                    handover: format!("h{}", r.fence),
                });
            }
            !done
        });
        self.released_keys.extend(released);
    }

    /// Returns the next heartbeat.
    pub(crate) fn heartbeat(&mut self, now: f64) -> KeyReport {
        self.sequence += 1;
        let releasing =
            self.holdings.iter().any(|r| r.released_at.is_some()) || !self.released_keys.is_empty();
        self.next_heartbeat = now
            + if releasing {
                RELEASING_HEARTBEAT_MS
            } else {
                HEARTBEAT_MS
            };
        KeyReport {
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            draining: self.draining,
            held_keys: self
                .holdings
                .iter()
                .map(|r| HeldKeys {
                    span: r.span,
                    fence: r.fence,
                })
                .collect(),
            released_keys: self.released_keys.clone(),
        }
    }

    /// Applies the reply to a heartbeat sent at `sent`; returns the granted spans with their
    /// tokens.
    pub(crate) fn on_reply(
        &mut self,
        now: f64,
        sent: f64,
        sequence: u64,
        reply: Option<&GrantReply>,
        rng: &mut StdRng,
    ) -> Vec<(Span, u64)> {
        if sequence <= self.last_applied || now - sent > REPLY_TIMEOUT_MS {
            return Vec::new();
        }
        self.last_applied = sequence;
        self.released_keys.clear();
        let Some(reply) = reply else {
            return Vec::new();
        };
        let expires_at = sent + reply.duration.as_secs_f64() * 1e3 * self.clock_slowdown;
        let mut granted = Vec::new();
        let mut holdings = Vec::new();
        for old in std::mem::take(&mut self.holdings) {
            let mut withdrawn = vec![old.span];
            for grant in &reply.grants {
                withdrawn = shards::span::subtract(&withdrawn, grant.span);
            }
            holdings.extend(withdrawn.into_iter().map(|span| Holding {
                span,
                released_at: old.released_at.or(Some(now + rng.random_range(0.0..400.0))),
                ..old.clone()
            }));
            // Spans that stay granted are added below with their new grant.
            for grant in &reply.grants {
                if old.span.overlap(grant.span).is_some() && old.released_at.is_some() {
                    holdings.extend(old.span.overlap(grant.span).map(|span| Holding {
                        span,
                        ..old.clone()
                    }));
                }
            }
        }
        for grant in &reply.grants {
            granted.push((grant.span, grant.fence));
            holdings.push(Holding {
                span: grant.span,
                fence: grant.fence,
                expires_at,
                released_at: None,
            });
        }
        self.holdings = holdings;
        granted
    }
}
