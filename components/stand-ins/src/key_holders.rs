//! Checks the grants of all back ends of a service: no two incarnations hold a key at once, and the
//! fencing token of a key rises with each change of holder.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::back_end::Grant;

/// Number of keys.
const KEYS: usize = 65_536;

/// Id of a back end and its `born`.
type Incarnation = (String, u64);

struct HeldGrants {
    grants: Vec<Grant>,
    expires_at: Instant,
}

/// Holders of keys so far, and the violations that they show.
pub struct KeyHolders {
    held: BTreeMap<Incarnation, HeldGrants>,
    /// Latest fencing token of each key and the index of its holder in `incarnations`.
    fences: Vec<(u64, u32)>,
    incarnations: Vec<Incarnation>,
    violations: Vec<String>,
}

impl Default for KeyHolders {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            fences: vec![(0, u32::MAX); KEYS],
            incarnations: Vec::new(),
            violations: Vec::new(),
        }
    }
}

impl KeyHolders {
    /// Records that an incarnation holds exactly these grants until `expires_at`.
    pub fn on_grants(&mut self, back_end: &str, born: u64, grants: &[Grant], expires_at: Instant) {
        let now = Instant::now();
        if expires_at <= now {
            return;
        }
        let incarnation = (back_end.to_owned(), born);
        self.check_overlap(&incarnation, grants, now);
        let previous = self.held.get(&incarnation).map(|h| h.grants.clone());
        for grant in grants {
            if !previous.as_ref().is_some_and(|p| p.contains(grant)) {
                self.check_fence(&incarnation, grant);
            }
        }
        let grants = grants.to_vec();
        self.held
            .insert(incarnation, HeldGrants { grants, expires_at });
    }

    /// Records that an incarnation has ended and holds no keys.
    pub fn on_exit(&mut self, back_end: &str, born: u64) {
        self.held.remove(&(back_end.to_owned(), born));
    }

    /// Returns the violations so far.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    fn incarnation_index(&mut self, incarnation: &Incarnation) -> u32 {
        let previous = self.incarnations.iter().position(|i| i == incarnation);
        let index = previous.unwrap_or_else(|| {
            self.incarnations.push(incarnation.clone());
            self.incarnations.len() - 1
        });
        u32::try_from(index).expect("fewer incarnations than u32::MAX")
    }

    fn check_fence(&mut self, incarnation: &Incarnation, grant: &Grant) {
        let index = self.incarnation_index(incarnation);
        let keys = usize::from(grant.from)..=usize::from(grant.to);
        let conflict = self.fences[keys.clone()].iter().find(|(fence, holder)| {
            *fence > grant.fence || (*fence == grant.fence && *holder != index)
        });
        if let Some((fence, _)) = conflict.copied() {
            let violation = format!(
                "{incarnation:?} was granted {grant:?} after another grant with fence {fence}"
            );
            self.violations.push(violation);
        }
        self.fences[keys].fill((grant.fence, index));
    }

    fn check_overlap(&mut self, incarnation: &Incarnation, grants: &[Grant], now: Instant) {
        let others = self
            .held
            .iter()
            .filter(|(i, h)| *i != incarnation && h.expires_at > now);
        let conflict = others
            .flat_map(|(i, h)| h.grants.iter().map(move |g| (i, g)))
            .find(|(_, g)| grants.iter().any(|own| own.overlaps(g)));
        if let Some((other, grant)) = conflict {
            let violation = format!("{incarnation:?} and {other:?} both hold keys of {grant:?}");
            self.violations.push(violation);
        }
    }
}
