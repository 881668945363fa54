//! Load balancing: picks a machine for a request without a key.

use smallvec::SmallVec;
use world::machine::Link;

/// Number of candidates that are stored inline, without an allocation.
const INLINE_CANDIDATES: usize = 16;

/// Reciprocal of the largest share of candidates that may be left out as ejected.
const MAX_EJECTED_DIVISOR: usize = 2;

/// A machine that could serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Index of the machine in the route table.
    pub machine: usize,
    /// Network distance to it.
    pub link: Link,
    /// Requests that its back end can run at the same time.
    pub slots: u32,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Smoothed latency in microseconds; 0 when unknown.
    pub latency_us: u32,
    /// True while the machine is ejected after repeated failures.
    pub ejected: bool,
}

/// Candidates for one request.
pub type Candidates = SmallVec<[Candidate; INLINE_CANDIDATES]>;

impl Candidate {
    fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Expected wait in arbitrary units: occupancy multiplied by latency.
    fn cost(&self) -> u64 {
        let occupancy = u64::from(self.in_flight + 1) * 1024 / u64::from(self.slots.max(1));
        occupancy * u64::from(self.latency_us.max(1))
    }
}

/// Picks the cheaper of two random candidates among those with the nearest link that have a free
/// slot. Machines in `tried`, which this request was already sent to, are used again only when
/// there is no other. Returns `None` only without candidates.
#[must_use]
pub fn pick(candidates: &Candidates, tried: &[usize], random: u64) -> Option<usize> {
    let untried = without(candidates, |c| tried.contains(&c.machine));
    let untried = if untried.is_empty() {
        candidates.clone()
    } else {
        untried
    };
    let healthy = without_ejected(&untried);
    let nearest = nearest_with_room(&healthy);
    two_choices(&nearest, random)
}

fn without(candidates: &Candidates, excluded: impl Fn(&Candidate) -> bool) -> Candidates {
    candidates
        .iter()
        .filter(|c| !excluded(c))
        .copied()
        .collect()
}

/// Leaves out ejected candidates, unless more than half are ejected: so many failures at once point
/// to a cause outside the machines, and the load must not fall on the few that are left.
fn without_ejected(candidates: &Candidates) -> Candidates {
    let healthy = without(candidates, |c| c.ejected);
    if healthy.len() * MAX_EJECTED_DIVISOR < candidates.len() {
        return candidates.clone();
    }
    healthy
}

fn nearest_with_room(candidates: &Candidates) -> Candidates {
    for link in [Link::Zone, Link::Region, Link::Distant] {
        let group = without(candidates, |c| c.link != link || !c.has_room());
        if !group.is_empty() {
            return group;
        }
    }
    let nearest = candidates.iter().map(|c| c.link).min();
    without(candidates, |c| Some(c.link) != nearest)
}

fn two_choices(candidates: &Candidates, random: u64) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let count = candidates.len();
    let first = (random & 0xffff_ffff) as usize % count;
    let second = (random >> 32) as usize % count;
    let (first, second) = (&candidates[first], &candidates[second]);
    let best = if first.cost() <= second.cost() {
        first
    } else {
        second
    };
    Some(best.machine)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn candidate(machine: usize, link: Link, in_flight: u32) -> Candidate {
        Candidate {
            machine,
            link,
            slots: 4,
            in_flight,
            latency_us: 1000,
            ejected: false,
        }
    }

    #[test]
    fn prefers_its_own_zone_while_it_has_room() {
        let near = candidate(0, Link::Zone, 3);
        let far = candidate(1, Link::Distant, 0);
        assert_eq!(pick(&Candidates::from_slice(&[near, far]), &[], 7), Some(0));
        let full = candidate(0, Link::Zone, 4);
        assert_eq!(pick(&Candidates::from_slice(&[full, far]), &[], 7), Some(1));
    }

    #[test]
    fn avoids_machines_that_were_tried() {
        let first = candidate(0, Link::Zone, 0);
        let second = candidate(1, Link::Region, 0);
        assert_eq!(
            pick(&Candidates::from_slice(&[first, second]), &[0], 7),
            Some(1)
        );
        assert_eq!(pick(&Candidates::from_slice(&[first]), &[0], 7), Some(0));
    }

    #[test]
    fn ignores_ejection_when_most_machines_are_ejected() {
        let mut candidates: Candidates = (0..4).map(|i| candidate(i, Link::Zone, 0)).collect();
        for candidate in candidates.iter_mut().skip(1) {
            candidate.ejected = true;
        }
        let picked: Vec<_> = (0..64u64)
            .filter_map(|r| pick(&candidates, &[], r * 0x1_0001_2345))
            .collect();
        assert!(picked.iter().any(|p| *p != 0));
    }

    proptest! {
        #[test]
        fn always_picks_a_candidate_when_there_is_one(
            loads in proptest::collection::vec((0u32..9, any::<bool>(), 0..3), 1..20),
            random: u64,
        ) {
            let links = [Link::Zone, Link::Region, Link::Distant];
            let candidates: Candidates = loads
                .iter()
                .enumerate()
                .map(|(machine, (in_flight, ejected, link))| Candidate {
                    ejected: *ejected,
                    ..candidate(machine, links[*link as usize], *in_flight)
                })
                .collect();
            prop_assert!(pick(&candidates, &[], random).is_some());
        }
    }
}
