//! Guarantees each priority a part of its share of a back end, so that none starves.

use std::cmp::Ordering;

/// Part of its share of the arrivals that each priority gets of the starts. More than the quarter that
/// each is to get, as some of its requests start too late.
const GUARANTEED_RATIO: f64 = 0.3;
/// Arrivals, or starts, over which the shares are averaged.
const AVERAGED_REQUESTS: f64 = 64.0;
/// Largest number of starts that a priority may be owed, so that it gets no burst after a pause.
const MAX_OWED: f64 = 2.0;
/// Share of the arrivals below which a priority is forgotten.
const MIN_SHARE: f64 = 0.001;

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Group {
    priority: u8,
    /// Moving average of its share of the arrivals.
    share: f64,
    /// Moving average of its share of the starts.
    started: f64,
    /// Starts that it is owed.
    owed: f64,
}

impl Group {
    /// Starts that it is owed for each start of any request.
    fn guaranteed(&self) -> f64 {
        GUARANTEED_RATIO * self.share
    }
}

/// The priorities of recent requests, and how many starts each is owed.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    groups: Vec<Group>,
}

impl FairShare {
    /// Counts a request that arrives, whether it is admitted or not.
    pub fn on_arrival(&mut self, priority: u8) {
        let weight = if self.groups.is_empty() {
            1.0
        } else {
            AVERAGED_REQUESTS.recip()
        };
        if self.group(priority).is_none() {
            self.groups.push(Group {
                priority,
                share: 0.0,
                started: 0.0,
                owed: 0.0,
            });
        }
        for group in &mut self.groups {
            let sample = f64::from(u8::from(group.priority == priority));
            group.share += weight * (sample - group.share);
        }
        self.groups.retain(|g| g.share >= MIN_SHARE);
    }

    /// Counts a request that starts.
    pub fn on_start(&mut self, priority: u8) {
        for group in &mut self.groups {
            let taken = f64::from(u8::from(group.priority == priority));
            group.started += (taken - group.started) / AVERAGED_REQUESTS;
            group.owed = (group.owed + group.guaranteed() - taken).clamp(0.0, MAX_OWED);
        }
    }

    /// Returns whether a priority is owed a start, so that it goes before all others.
    #[must_use]
    pub fn is_due(&self, priority: u8) -> bool {
        self.group(priority).is_some_and(|g| g.owed >= 1.0)
    }

    /// Returns how many starts go before that of a request behind `ahead` others, of which
    /// `ahead_in_priority` have its priority.
    #[must_use]
    pub fn starts_before(&self, priority: u8, ahead: usize, ahead_in_priority: usize) -> usize {
        let Some(group) = self.group(priority) else {
            return ahead;
        };
        let missing = (ahead_in_priority as f64 + 1.0 - group.owed).max(0.0);
        let by_guarantee = missing / group.guaranteed();
        // Requests that arrive later and go before it take the rest.
        let in_order = ahead as f64 / (1.0 - self.taken_by_others(priority)).max(MIN_SHARE);
        in_order.min(by_guarantee).ceil() as usize
    }

    /// Returns the part of the starts that more important requests have taken and less important
    /// ones are owed.
    fn taken_by_others(&self, priority: u8) -> f64 {
        let taken = self.groups.iter().map(|g| match g.priority.cmp(&priority) {
            Ordering::Less => g.started,
            Ordering::Equal => 0.0,
            Ordering::Greater => g.guaranteed(),
        });
        taken.sum()
    }

    fn group(&self, priority: u8) -> Option<&Group> {
        self.groups.iter().find(|g| g.priority == priority)
    }
}
