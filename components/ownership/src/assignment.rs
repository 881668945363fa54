//! Which shard should go to which machine.

/// Weight of a shard without traffic, in requests per second, so that idle shards spread too.
pub const IDLE_SHARD_WEIGHT: f64 = 1.0;

/// Share above the mean load that a machine may carry before shards are moved away from it.
const TOLERATED_EXCESS: f64 = 0.08;

/// Weight, in means, above which a shard is placed for itself.
const HEAVY_SHARD: f64 = 2.0;

/// A shard's place in a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighted {
    /// Index of the shard in its service.
    pub shard: usize,
    /// True when nobody owns the shard.
    pub free: bool,
    /// Index of the owning machine among the candidates; none for an owner that is no candidate.
    pub owner: Option<usize>,
    /// Index of the candidate that held it last.
    pub previous: Option<usize>,
    /// Load in requests per second, at least [`IDLE_SHARD_WEIGHT`].
    pub weight: f64,
}

/// One shard given to one candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the shard in its service.
    pub shard: usize,
    /// Index of the candidate.
    pub candidate: usize,
}

/// Loads of the candidates under the current owners.
#[must_use]
pub fn loads(shards: &[Weighted], candidates: usize) -> Vec<f64> {
    let mut loads = vec![0.0; candidates];
    for shard in shards {
        if let Some(load) = shard.owner.and_then(|o| loads.get_mut(o)) {
            *load += shard.weight;
        }
    }
    loads
}

/// Places every shard without an owner. A shard returns to its previous owner unless that one
/// would exceed its even share. Of the rest the heavy ones go to the least loaded candidates,
/// heaviest first, and the others in runs of neighbours, which keep the route table short.
#[must_use]
pub fn place_free(shards: &[Weighted], candidates: usize) -> Vec<Placement> {
    if candidates == 0 {
        return Vec::new();
    }
    let mut loads = loads(shards, candidates);
    let total: f64 = shards.iter().map(|s| s.weight).sum();
    let share = total / candidates as f64 * (1.0 + TOLERATED_EXCESS);
    let mut placements = Vec::new();
    let mut homeless: Vec<&Weighted> = Vec::new();
    for shard in shards.iter().filter(|s| s.free) {
        match shard.previous {
            Some(previous) if loads[previous] + shard.weight <= share => {
                loads[previous] += shard.weight;
                placements.push(Placement {
                    shard: shard.shard,
                    candidate: previous,
                });
            }
            _ => homeless.push(shard),
        }
    }
    let mean = total / shards.len().max(1) as f64;
    let (mut heavy, light): (Vec<&Weighted>, Vec<&Weighted>) = homeless
        .into_iter()
        .partition(|s| s.weight > mean * HEAVY_SHARD);
    heavy.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.shard.cmp(&b.shard)));
    for shard in heavy {
        let candidate = least(&loads);
        loads[candidate] += shard.weight;
        placements.push(Placement {
            shard: shard.shard,
            candidate,
        });
    }
    let even = total / candidates as f64;
    let mut candidate = least(&loads);
    for shard in light {
        if loads[candidate] + shard.weight > even {
            candidate = least(&loads);
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
pub fn rebalance(shards: &[Weighted], candidates: usize, limit: usize) -> Vec<Placement> {
    if candidates < 2 {
        return Vec::new();
    }
    let mut loads = loads(shards, candidates);
    let mut owned: Vec<Vec<&Weighted>> = vec![Vec::new(); candidates];
    for shard in shards {
        if let Some(list) = shard.owner.and_then(|o| owned.get_mut(o)) {
            list.push(shard);
        }
    }
    let mean = loads.iter().sum::<f64>() / candidates as f64;
    let mut moves = Vec::new();
    while moves.len() < limit {
        let high = most(&loads);
        let low = least(&loads);
        let uneven = loads[high] > mean * (1.0 + TOLERATED_EXCESS)
            || loads[low] < mean * (1.0 - TOLERATED_EXCESS);
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

/// Position of the heaviest shard that weighs at most `limit`.
fn best_fit(shards: &[&Weighted], limit: f64) -> Option<usize> {
    shards
        .iter()
        .enumerate()
        .filter(|(_, s)| s.weight <= limit)
        .max_by(|(_, a), (_, b)| a.weight.total_cmp(&b.weight))
        .map(|(position, _)| position)
}

fn least(loads: &[f64]) -> usize {
    let mut best = 0;
    for (index, load) in loads.iter().enumerate() {
        if *load < loads[best] {
            best = index;
        }
    }
    best
}

fn most(loads: &[f64]) -> usize {
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

    fn shard(shard: usize, owner: Option<usize>, weight: f64) -> Weighted {
        Weighted {
            shard,
            free: owner.is_none(),
            owner,
            previous: None,
            weight,
        }
    }

    #[test]
    fn places_free_shards_evenly() {
        let shards: Vec<_> = (0..100).map(|i| shard(i, None, 1.0)).collect();
        let placed = place_free(&shards, 4);
        for candidate in 0..4 {
            let count = placed.iter().filter(|p| p.candidate == candidate).count();
            assert_eq!(count, 25);
        }
    }

    #[test]
    fn places_neighbours_together() {
        let shards: Vec<_> = (0..1024).map(|i| shard(i, None, 1.0)).collect();
        let placed = place_free(&shards, 4);
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
        for placement in place_free(&shards, 4) {
            assert_eq!(placement.candidate, placement.shard % 4);
        }
    }

    #[test]
    fn moves_no_more_than_needed_for_a_newcomer() {
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
    fn leaves_shards_of_an_absent_owner_alone() {
        let mut held = shard(0, None, 1.0);
        held.free = false;
        assert_eq!(place_free(&[held], 2), Vec::new());
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
