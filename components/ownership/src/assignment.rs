//! Plans which machine owns which shard, by the load of the shards.

/// Weight of a shard without traffic, in requests per second, so that idle shards are spread too.
pub const IDLE_SHARD_WEIGHT: f64 = 1.0;

/// Fraction by which a machine's load may differ from the mean before shards are moved.
const LOAD_TOLERANCE: f64 = 0.08;

/// Multiple of the mean shard weight above which a shard is placed individually.
const HEAVY_SHARD_FACTOR: f64 = 2.0;

/// Input of a plan: one shard with its owner and weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedShard {
    /// Index of the shard in its service.
    pub shard: usize,
    /// True when the shard has no owner.
    pub unowned: bool,
    /// Index of the owner among the candidates; `None` for an owner that is not one of them.
    pub owner: Option<usize>,
    /// Index of the candidate that owned it last.
    pub previous: Option<usize>,
    /// Load in requests per second, at least [`IDLE_SHARD_WEIGHT`].
    pub weight: f64,
}

/// Assignment of one shard to one candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the shard in its service.
    pub shard: usize,
    /// Index of the candidate.
    pub candidate: usize,
}

/// Returns the load of each candidate, in requests per second.
#[must_use]
pub fn loads(shards: &[WeightedShard], candidates: usize) -> Vec<f64> {
    let mut loads = vec![0.0; candidates];
    for shard in shards {
        if let Some(load) = shard.owner.and_then(|o| loads.get_mut(o)) {
            *load += shard.weight;
        }
    }
    loads
}

/// Assigns every shard without an owner. A shard returns to its previous owner unless that would
/// exceed its even share of the load. Of the rest the heavy ones go to the least loaded candidates,
/// heaviest first, and the others in runs of adjacent shards, which keep the route table short.
#[must_use]
pub fn assign_unowned(shards: &[WeightedShard], candidates: usize) -> Vec<Placement> {
    if candidates == 0 {
        return Vec::new();
    }
    let mut loads = loads(shards, candidates);
    let total: f64 = shards.iter().map(|s| s.weight).sum();
    let share = total / candidates as f64 * (1.0 + LOAD_TOLERANCE);
    let mut placements = Vec::new();
    let mut unplaced: Vec<&WeightedShard> = Vec::new();
    for shard in shards.iter().filter(|s| s.unowned) {
        match shard.previous {
            Some(previous) if loads[previous] + shard.weight <= share => {
                loads[previous] += shard.weight;
                placements.push(Placement {
                    shard: shard.shard,
                    candidate: previous,
                });
            }
            _ => unplaced.push(shard),
        }
    }
    let mean = total / shards.len().max(1) as f64;
    let (mut heavy, light): (Vec<&WeightedShard>, Vec<&WeightedShard>) = unplaced
        .into_iter()
        .partition(|s| s.weight > mean * HEAVY_SHARD_FACTOR);
    heavy.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.shard.cmp(&b.shard)));
    for shard in heavy {
        let candidate = least_loaded(&loads);
        loads[candidate] += shard.weight;
        placements.push(Placement {
            shard: shard.shard,
            candidate,
        });
    }
    let even_load = total / candidates as f64;
    let mut candidate = least_loaded(&loads);
    for shard in light {
        if loads[candidate] + shard.weight > even_load {
            candidate = least_loaded(&loads);
        }
        loads[candidate] += shard.weight;
        placements.push(Placement {
            shard: shard.shard,
            candidate,
        });
    }
    placements
}

/// Chooses at most `limit` shards to move from overloaded candidates to underloaded ones.
#[must_use]
pub fn rebalance(shards: &[WeightedShard], candidates: usize, limit: usize) -> Vec<Placement> {
    if candidates < 2 {
        return Vec::new();
    }
    let mut loads = loads(shards, candidates);
    let mut owned: Vec<Vec<&WeightedShard>> = vec![Vec::new(); candidates];
    for shard in shards {
        if let Some(list) = shard.owner.and_then(|o| owned.get_mut(o)) {
            list.push(shard);
        }
    }
    let mean = loads.iter().sum::<f64>() / candidates as f64;
    let mut moves = Vec::new();
    while moves.len() < limit {
        let high = most_loaded(&loads);
        let low = least_loaded(&loads);
        let uneven = loads[high] > mean * (1.0 + LOAD_TOLERANCE)
            || loads[low] < mean * (1.0 - LOAD_TOLERANCE);
        if !uneven {
            break;
        }
        let gap = loads[high] - loads[low];
        let Some(position) = best_fit(&owned[high], gap / 2.0) else {
            break;
        };
        let shard = owned[high].swap_remove(position);
        loads[high] -= shard.weight;
        loads[low] += shard.weight;
        moves.push(Placement {
            shard: shard.shard,
            candidate: low,
        });
    }
    moves
}

/// Returns the position of the heaviest shard that weighs at most `limit`.
fn best_fit(shards: &[&WeightedShard], limit: f64) -> Option<usize> {
    shards
        .iter()
        .enumerate()
        .filter(|(_, s)| s.weight <= limit)
        .max_by(|(_, a), (_, b)| a.weight.total_cmp(&b.weight))
        .map(|(position, _)| position)
}

fn least_loaded(loads: &[f64]) -> usize {
    let mut best = 0;
    for (index, load) in loads.iter().enumerate() {
        if *load < loads[best] {
            best = index;
        }
    }
    best
}

fn most_loaded(loads: &[f64]) -> usize {
    let mut best = 0;
    for (index, load) in loads.iter().enumerate() {
        if *load > loads[best] {
            best = index;
        }
    }
    best
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn shard(shard: usize, owner: Option<usize>, weight: f64) -> WeightedShard {
        WeightedShard {
            shard,
            unowned: owner.is_none(),
            owner,
            previous: None,
            weight,
        }
    }

    #[test]
    fn assigns_unowned_shards_evenly() {
        let shards: Vec<_> = (0..100).map(|i| shard(i, None, 1.0)).collect();
        let placed = assign_unowned(&shards, 4);
        for candidate in 0..4 {
            let count = placed.iter().filter(|p| p.candidate == candidate).count();
            assert_eq!(count, 25);
        }
    }

    #[test]
    fn assigns_adjacent_shards_together() {
        let shards: Vec<_> = (0..1024).map(|i| shard(i, None, 1.0)).collect();
        let placed = assign_unowned(&shards, 4);
        let changes = placed
            .windows(2)
            .filter(|w| w[0].candidate != w[1].candidate)
            .count();
        assert_eq!(changes, 3);
    }

    #[test]
    fn returns_shards_to_their_previous_owner() {
        let mut shards: Vec<_> = (0..100).map(|i| shard(i, None, 1.0)).collect();
        for shard in &mut shards {
            shard.previous = Some(shard.shard % 4);
        }
        for placement in assign_unowned(&shards, 4) {
            assert_eq!(placement.candidate, placement.shard % 4);
        }
    }

    #[test]
    fn moves_no_more_than_needed_for_a_new_machine() {
        let shards: Vec<_> = (0..120).map(|i| shard(i, Some(i % 3), 1.0)).collect();
        let moves = rebalance(&shards, 4, 1000);
        assert!(
            moves.len() <= 30,
            "{} moves, 30 are needed at the most",
            moves.len()
        );
        assert!(moves.iter().all(|m| m.candidate == 3));
    }

    #[test]
    fn does_not_assign_shards_of_an_owner_that_is_no_candidate() {
        let mut held = shard(0, None, 1.0);
        held.unowned = false;
        assert_eq!(assign_unowned(&[held], 2), Vec::new());
    }

    proptest! {
        #[test]
        fn rebalancing_never_raises_the_highest_load(
            weights in proptest::collection::vec(1.0f64..50.0, 1..200),
            candidates in 2usize..8,
        ) {
            let shards: Vec<_> =
                weights.iter().enumerate().map(|(i, w)| shard(i, Some(i % candidates), *w)).collect();
            let before = loads(&shards, candidates);
            let mut after = shards.clone();
            for movement in rebalance(&shards, candidates, 1000) {
                after[movement.shard].owner = Some(movement.candidate);
            }
            let after = loads(&after, candidates);
            let high = |l: &[f64]| l.iter().copied().fold(0.0, f64::max);
            prop_assert!(high(&after) <= high(&before) + 1e-9);
        }
    }
}
