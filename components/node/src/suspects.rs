//! Requests that have run when back ends exited, as this process knows them.
//!
//! The process beside the back end that exits reports it to all peers at once, as it does when a
//! back end completes a suspect. A request that is blocked is also written to the store, for
//! processes that start later or are cut off from their peers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use http1::request::split_target;
use platform::message;
use quarantine::crash_count::CrashCount;
use quarantine::exits::BackEndHash;
use quarantine::fingerprint::{self, Fingerprint, RequestIdentity};
use quarantine::interrupted::{InterruptedRequest, KnownCrashes};
use quarantine::quarantine::{MAX_CRASHES, Quarantine, Record};
use serde::{Deserialize, Serialize};
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::sync::Notify;
use world::instant::BootInstant;

use crate::frame::{Features, ForwardedRequest, Frame, RejectReason};
use crate::node::Node;

/// What a process knows about a request, as peers receive it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes attributed to it.
    pub count: CrashCount,
    /// Time since the last change of the count in milliseconds.
    pub age_ms: u64,
}

impl CrashReport {
    fn new(fingerprint: Fingerprint, record: &Record, now: BootInstant) -> Self {
        let age_ms = now.since(record.changed_at).as_millis();
        Self {
            fingerprint,
            count: record.count,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        }
    }

    /// Returns whether a process that knew of this would have forgotten it by now.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        let now = BootClock.now();
        let changed_at = now - Duration::from_millis(self.age_ms);
        let count = self.count;
        Record { count, changed_at }.is_expired(now)
    }
}

/// Returns the frame with reports for a process with these features, `None` if there is nothing to
/// send or it decodes none.
#[must_use]
pub fn report_frame(reports: &[CrashReport], features: Features) -> Option<Frame> {
    if reports.is_empty() || !features.crash_reports {
        return None;
    }
    if !features.crash_exits {
        return Some(Frame::CrashReports(reports.to_vec()));
    }
    let with_exits = reports.iter().map(|r| (*r, r.count.exits));
    Some(Frame::CrashReportsWithExits(with_exits.collect()))
}

/// Where a process learns of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The back end on this machine.
    BackEnd,
    /// A peer.
    Peer,
    /// The store.
    Store,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Self::BackEnd => "back-end",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Suspects known to the process.
#[derive(Default)]
pub struct Suspects {
    quarantine: RefCell<Quarantine>,
    /// Requests whose record in the store is to be updated.
    unsaved: RefCell<BTreeSet<Fingerprint>>,
    /// Requests whose record this process has ever asked to be updated, as long as it knows of them.
    saved: RefCell<BTreeSet<Fingerprint>>,
    /// Notified when [`Self::take_unsaved`] may return something.
    pub save_needed: Notify,
}

/// Returns the fingerprint of a request.
#[must_use]
pub fn fingerprint(request: &ForwardedRequest) -> Fingerprint {
    Fingerprint::new(&RequestIdentity {
        method: &request.method,
        host: message::host(&request.target, &request.headers).as_bytes(),
        target: split_target(&request.target).1,
        caller: request.caller.as_str().as_bytes(),
        body: &request.body,
    })
}

impl Suspects {
    /// Returns the fingerprint of a request that may be a suspect; computes none for others.
    fn find(&self, request: &ForwardedRequest) -> Option<Fingerprint> {
        let target = fingerprint::target_hash(split_target(&request.target).1);
        let may_be_suspect = self.quarantine.borrow().may_contain(target);
        may_be_suspect.then(|| fingerprint(request))
    }

    /// Returns the number of requests that are blocked now.
    #[must_use]
    pub fn blocked_count(&self) -> usize {
        self.quarantine.borrow().blocked_count(BootClock.now())
    }

    /// Returns the crashes attributed to a request, empty if it is no suspect.
    #[must_use]
    pub fn reports_on(&self, request: &ForwardedRequest) -> Vec<CrashReport> {
        let Some(fingerprint) = self.find(request) else {
            return Vec::new();
        };
        let now = BootClock.now();
        let quarantine = self.quarantine.borrow();
        let report = |fingerprint: Fingerprint| {
            let record = quarantine.record(&fingerprint)?;
            let is_suspect = record.count.unresolved() > 0;
            is_suspect.then(|| CrashReport::new(fingerprint, &record, now))
        };
        let scopes = [fingerprint, fingerprint.any_caller()];
        scopes.into_iter().filter_map(report).collect()
    }

    /// Returns what is known about all suspects.
    #[must_use]
    pub fn reports(&self) -> Vec<CrashReport> {
        let now = BootClock.now();
        let quarantine = self.quarantine.borrow();
        let suspects = quarantine.suspects();
        suspects
            .map(|(fingerprint, record)| CrashReport::new(fingerprint, &record, now))
            .collect()
    }

    /// Returns the time until the reports of the last crash under an isolated request have arrived
    /// everywhere; `None` if it need not wait for them.
    #[must_use]
    pub fn reports_due_in(&self, request: &ForwardedRequest) -> Option<Duration> {
        let fingerprint = self.find(request)?;
        let quarantine = self.quarantine.borrow();
        quarantine.reports_due_in(&fingerprint, BootClock.now())
    }

    /// Returns the fingerprint of a request whose copies must run one at a time, `None` for others.
    #[must_use]
    pub fn on_trial(&self, request: &ForwardedRequest) -> Option<Fingerprint> {
        let fingerprint = self.find(request)?;
        let needs_trial = self.quarantine.borrow().needs_trial(&fingerprint);
        needs_trial.then_some(fingerprint)
    }

    /// Returns what is known about a request for its record in the store.
    #[must_use]
    pub fn report_of(&self, fingerprint: &Fingerprint) -> Option<CrashReport> {
        let record = self.quarantine.borrow().record(fingerprint)?;
        Some(CrashReport::new(*fingerprint, &record, BootClock.now()))
    }

    /// Removes and returns the requests whose record in the store is to be updated.
    #[must_use]
    pub fn take_unsaved(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.unsaved.borrow_mut())
    }

    /// Drops what has been remembered for long enough.
    pub fn evict_expired(&self, now: BootInstant) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.evict_expired(now);
        let is_known = |f: &Fingerprint| quarantine.record(f).is_some();
        self.saved.borrow_mut().retain(is_known);
    }

    fn save(&self, fingerprint: Fingerprint) {
        self.saved.borrow_mut().insert(fingerprint);
        self.unsaved.borrow_mut().insert(fingerprint);
        self.save_needed.notify_one();
    }

    /// Asks for all records that this process has saved to be updated again, for a store that may
    /// have lost them.
    pub fn save_again(&self) {
        let saved = self.saved.borrow();
        if !saved.is_empty() {
            self.unsaved.borrow_mut().extend(saved.iter());
            self.save_needed.notify_one();
        }
    }
}

/// Checks whether a request may be sent to a back end of its service.
///
/// # Errors
/// Returns for how long it is blocked.
pub fn check(node: &Node, request: &ForwardedRequest) -> Result<(), Duration> {
    let Some(fingerprint) = node.suspects.find(request) else {
        return Ok(());
    };
    let quarantine = node.suspects.quarantine.borrow();
    match quarantine.blocked_for(&fingerprint, BootClock.now()) {
        Some(remaining) => {
            log_refusal(node, request, fingerprint, &quarantine, "blocked");
            Err(remaining)
        }
        None => Ok(()),
    }
}

/// Checks whether the local back end may run a request now, beside those that it runs already;
/// returns the crashes attributed to it.
///
/// # Errors
/// Returns why it may not, and the time until it may if that is known.
pub fn admit(
    node: &Node,
    request: &ForwardedRequest,
) -> Result<KnownCrashes, (RejectReason, Option<Duration>)> {
    check(node, request).map_err(|remaining| (RejectReason::Blocked, Some(remaining)))?;
    let Some(fingerprint) = node.suspects.find(request) else {
        return Ok(KnownCrashes::default());
    };
    let running = node.proxy.running();
    let quarantine = node.suspects.quarantine.borrow();
    let others = running
        .iter()
        .filter(|r| r.request_id != request.request_id);
    let mut suspects = others.filter_map(|r| node.suspects.find(r));
    let reports_due = quarantine.reports_due_in(&fingerprint, BootClock.now());
    let is_apart = suspects.all(|other| quarantine.may_run_beside(&fingerprint, &other));
    if is_apart && reports_due.is_none() {
        return Ok(quarantine.known_crashes(&fingerprint));
    }
    log_refusal(node, request, fingerprint, &quarantine, "isolated");
    Err((RejectReason::Isolated, reports_due))
}

fn log_refusal(
    node: &Node,
    request: &ForwardedRequest,
    fingerprint: Fingerprint,
    quarantine: &Quarantine,
    cause: &'static str,
) {
    node.metrics.on_quarantine(cause);
    let own = quarantine.record(&fingerprint);
    let record = own.or_else(|| quarantine.record(&fingerprint.any_caller()));
    let age = record.map(|r| BootClock.now().since(r.changed_at));
    log::warn!(
        event = "quarantine-refuse",
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        digest:% = fingerprint,
        cause,
        crashes = quarantine.unresolved(&fingerprint),
        age_ms = age.unwrap_or_default().as_millis() as u64;
        ""
    );
}

/// Attributes the exit of a back end to the requests that it interrupted, and reports it.
pub fn on_exit(node: &Node, incarnation: &BackEndIncarnation, interrupted: &[InterruptedRequest]) {
    let now = BootClock.now();
    let mut quarantine = node.suspects.quarantine.borrow_mut();
    let back_end = BackEndHash::new(incarnation.id.as_str(), incarnation.born);
    let changed = quarantine.on_exit(back_end, interrupted, now);
    drop(quarantine);
    for (fingerprint, record) in &changed {
        if !fingerprint.is_any_caller() {
            log_suspect(node, *fingerprint, record, incarnation);
        }
        if record.count.unresolved() >= MAX_CRASHES {
            log_block(node, *fingerprint, record, Source::BackEnd);
            node.suspects.save(*fingerprint);
        }
    }
    node.broadcast_crashes(&to_reports(&changed, now));
}

fn log_suspect(
    node: &Node,
    fingerprint: Fingerprint,
    record: &Record,
    incarnation: &BackEndIncarnation,
) {
    node.metrics.on_quarantine("suspected");
    log::warn!(
        event = "crash-suspect",
        digest:% = fingerprint,
        crashes = record.count.unresolved(),
        exits = record.count.exits.count(),
        back_end = incarnation.id.as_str(),
        born = incarnation.born;
        ""
    );
}

fn to_reports(records: &[(Fingerprint, Record)], now: BootInstant) -> Vec<CrashReport> {
    let reports = records
        .iter()
        .map(|(fingerprint, record)| CrashReport::new(*fingerprint, record, now));
    reports.collect()
}

/// Clears a request that the local back end has completed, if it is a suspect, and reports it.
pub fn on_completion(node: &Node, request: &ForwardedRequest) {
    let Some(fingerprint) = node.suspects.find(request) else {
        return;
    };
    let now = BootClock.now();
    let mut quarantine = node.suspects.quarantine.borrow_mut();
    let crashes = quarantine.unresolved(&fingerprint);
    let changed = quarantine.on_completion(fingerprint, now);
    drop(quarantine);
    if changed.is_empty() {
        return;
    }
    node.metrics.on_quarantine("cleared");
    log::info!(
        event = "crash-suspect-cleared",
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        digest:% = fingerprint,
        crashes;
        ""
    );
    if crashes >= MAX_CRASHES {
        changed.iter().for_each(|(f, _)| node.suspects.save(*f));
    }
    node.broadcast_crashes(&to_reports(&changed, now));
}

/// Adds what a peer or the store knows about a request.
pub fn on_report(node: &Node, report: &CrashReport, source: Source) {
    let now = BootClock.now();
    let fingerprint = report.fingerprint;
    let age = Duration::from_millis(report.age_ms);
    let mut quarantine = node.suspects.quarantine.borrow_mut();
    let was_blocked = quarantine.blocked_for(&fingerprint, now).is_some();
    let record = quarantine.merge(fingerprint, report.count, age, now);
    drop(quarantine);
    if let Some(record) = record
        && !was_blocked
        && record.blocked_for(now).is_some()
    {
        log_block(node, fingerprint, &record, source);
    }
}

fn log_block(node: &Node, fingerprint: Fingerprint, record: &Record, source: Source) {
    node.metrics.on_quarantine("quarantined");
    log::warn!(
        event = "quarantined",
        digest:% = fingerprint,
        crashes = record.count.unresolved(),
        source = source.label(),
        block_ms = record.block_time().as_millis() as u64;
        ""
    );
}
