//! Assignments of keys to machines.

use std::collections::BTreeSet;
use std::rc::Rc;

use shards::assignment::{Assignment, Change};
use shards::manager::Versioned;
use shards::revision::Revision;
use world::name::ServiceName;

use super::Node;
use crate::frame::Frame;

impl Node {
    /// Returns the newest known assignment of a service's keys.
    #[must_use]
    pub fn assignment(&self, service: &ServiceName) -> Option<Rc<Versioned<Assignment>>> {
        self.assignments.borrow().get(service).cloned()
    }

    /// Returns the revision of the newest known assignment of a service's keys.
    fn assignment_revision(&self, service: &ServiceName) -> Revision {
        let assignments = self.assignments.borrow();
        let known = assignments.get(service);
        known.map_or(Revision::NONE, |a| a.revision)
    }

    /// Applies a change to the assignment at its base revision, then the pending changes that
    /// follow; a change whose base revision has not arrived is kept until it does.
    pub(super) fn on_assignment_change(
        &self,
        service: &ServiceName,
        base: Revision,
        revision: Revision,
        change: Change,
    ) {
        let current = self.assignment_revision(service);
        if current >= revision {
            return;
        }
        self.pending_changes
            .borrow_mut()
            .insert(service, base, revision, change);
        while let Some(stored) = self.assignment(service) {
            let next = self
                .pending_changes
                .borrow_mut()
                .take(service, stored.revision);
            let Some((revision, change)) = next else {
                return;
            };
            let value = stored.value.with_change(&change);
            if !self.on_assignment(service, Versioned { revision, value }) {
                return;
            }
        }
    }

    /// Returns the services whose assignment a peer has at a later revision, and the services
    /// divided by key whose assignment is not known.
    #[must_use]
    pub fn assignments_to_fetch(&self) -> BTreeSet<ServiceName> {
        let pending = self.pending_changes.borrow();
        let behind = pending
            .latest()
            .filter(|(s, revision)| self.assignment_revision(s) < *revision);
        let mut outdated: BTreeSet<ServiceName> = behind.map(|(s, _)| s.clone()).collect();
        if let Some(active_config) = self.active_config() {
            let unknown = active_config
                .catalog
                .keyed_services()
                .filter(|s| self.assignment_revision(s) == Revision::NONE);
            outdated.extend(unknown.cloned());
        }
        outdated
    }

    /// Stores an assignment if it is valid and newer than the known one; returns whether it did.
    pub fn on_assignment(&self, service: &ServiceName, stored: Versioned<Assignment>) -> bool {
        if !stored.value.is_valid() {
            log::error!(event = "assignment-refused", service = service.as_str(), revision:% = stored.revision; "");
            return false;
        }
        if let Some(known) = self.assignment(service)
            && known.revision >= stored.revision
        {
            if known.value != stored.value {
                log::info!(event = "assignment-outdated", service = service.as_str(), revision:% = stored.revision, known:% = known.revision; "");
            }
            return false;
        }
        log::info!(event = "assignment", service = service.as_str(), revision:% = stored.revision, ranges = stored.value.ranges.len(), keys = key_counts(&stored.value).as_str(); "");
        if *service == self.service() {
            self.shard_manager
                .borrow_mut()
                .on_assignment(stored.clone());
            self.keys_changed.notify_one();
        }
        self.assignments
            .borrow_mut()
            .insert(service.clone(), Rc::new(stored));
        true
    }

    /// Broadcasts the current assignment of a service after a write of this process: as a change
    /// from `before`, or whole if that is `None`.
    pub fn publish_change(&self, service: &ServiceName, before: Option<&Versioned<Assignment>>) {
        let Some(stored) = self.assignment(service) else {
            return;
        };
        let frame = match before {
            Some(old) => Frame::AssignmentChange {
                service: service.clone(),
                base: old.revision,
                revision: stored.revision,
                change: Box::new(old.value.diff(&stored.value)),
            },
            None => assignment_frame(service, &stored),
        };
        self.broadcast(&frame);
    }

    /// Returns a frame that asks a peer for assignments newer than those known here.
    #[must_use]
    pub fn assignment_request(&self) -> Frame {
        let assignments = self.assignments.borrow();
        let known = assignments.iter().map(|(s, a)| (s.clone(), a.revision));
        Frame::AssignmentsRequest {
            known: known.collect(),
        }
    }

    /// Returns an empty change that tells a peer which revision of its service's assignment this
    /// process has, so that a peer with an older one fetches it; `None` if it has none.
    #[must_use]
    pub fn assignment_announcement(&self) -> Option<Frame> {
        let service = self.service();
        let stored = self.assignment(&service)?;
        Some(Frame::AssignmentChange {
            service,
            base: stored.revision,
            revision: stored.revision,
            change: Box::new(stored.value.diff(&stored.value)),
        })
    }
}

pub(super) fn assignment_frame(service: &ServiceName, stored: &Versioned<Assignment>) -> Frame {
    Frame::Assignment {
        service: service.clone(),
        revision: stored.revision,
        assignment: Box::new(stored.value.clone()),
    }
}

/// Formats the number of keys of each machine for the log.
fn key_counts(assignment: &Assignment) -> String {
    let counts: Vec<String> = assignment
        .holders
        .keys()
        .map(|m| format!("{m}:{}", assignment.key_count(m)))
        .collect();
    counts.join(",")
}
