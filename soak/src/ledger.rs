//! What callers and back ends saw, and which promises that breaks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use stand_ins::back_end::{Grant, Observer};

/// Number of keys.
const KEYS: usize = 65_536;

/// What an answer says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The back end with this name has run it.
    Ran(String),
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

type Boot = (String, u64);

struct Holding {
    grants: Vec<Grant>,
    until: Instant,
}

struct State {
    broken: Vec<String>,
    /// Back ends that ran each request.
    runs: HashMap<String, Vec<String>>,
    /// Requests that must run once at most.
    orders: HashSet<String>,
    refused: HashSet<String>,
    holdings: BTreeMap<Boot, Holding>,
    /// Highest fence of each key, and who had it.
    fences: Vec<(u64, u32)>,
    boots: Vec<Boot>,
    claims: Counts,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Run and answered.
    pub ran: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Left in doubt, or not answered.
    pub unknown: u64,
}

/// Collects what is seen; breaches are noted when they are.
pub struct Ledger(Mutex<State>);

impl Default for Ledger {
    fn default() -> Self {
        Self(Mutex::new(State {
            broken: Vec::new(),
            runs: HashMap::new(),
            orders: HashSet::new(),
            refused: HashSet::new(),
            holdings: BTreeMap::new(),
            fences: vec![(0, u32::MAX); KEYS],
            boots: Vec::new(),
            claims: Counts::default(),
        }))
    }
}

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under the lock")
    }

    /// Notes a breach.
    pub fn note(&self, breach: String) {
        self.state().broken.push(breach);
    }

    /// Notes that a request must run once at most.
    pub fn on_order(&self, request: &str) {
        self.state().orders.insert(request.to_owned());
    }

    /// Takes in how a request ended for its caller.
    pub fn on_claim(&self, request: &str, claim: &Claim) {
        let mut state = self.state();
        match claim {
            Claim::Ran(back_end) => {
                state.claims.ran += 1;
                let ran = state.runs.get(request);
                if !ran.is_some_and(|r| r.contains(back_end)) {
                    let breach =
                        format!("{request} was answered by {back_end}, which never ran it");
                    state.broken.push(breach);
                }
            }
            Claim::NotRun => {
                state.claims.refused += 1;
                state.refused.insert(request.to_owned());
            }
            Claim::Unknown => state.claims.unknown += 1,
        }
    }

    /// Breaches seen up to now, and how requests ended.
    pub fn finish(&self) -> (Vec<String>, Counts) {
        let state = self.state();
        let mut broken = state.broken.clone();
        for request in &state.refused {
            if let Some(ran) = state.runs.get(request) {
                broken.push(format!(
                    "{request} was refused as not run, and ran at {ran:?}"
                ));
            }
        }
        (broken, state.claims)
    }
}

impl State {
    fn boot_index(&mut self, boot: &Boot) -> u32 {
        let known = self.boots.iter().position(|b| b == boot);
        let index = known.unwrap_or_else(|| {
            self.boots.push(boot.clone());
            self.boots.len() - 1
        });
        u32::try_from(index).expect("few boots")
    }

    fn check_fence(&mut self, boot: &Boot, grant: &Grant) {
        let index = self.boot_index(boot);
        let keys = usize::from(grant.from)..=usize::from(grant.to);
        let fallen = self.fences[keys.clone()].iter().find(|(fence, holder)| {
            *fence > grant.fence || (*fence == grant.fence && *holder != index)
        });
        if let Some((fence, _)) = fallen.copied() {
            let breach = format!("{boot:?} got {grant:?} after a holder with fence {fence}");
            self.broken.push(breach);
        }
        self.fences[keys].fill((grant.fence, index));
    }

    fn check_overlap(&mut self, boot: &Boot, grants: &[Grant], now: Instant) {
        let others = self
            .holdings
            .iter()
            .filter(|(b, h)| *b != boot && h.until > now);
        let shared = others
            .flat_map(|(b, h)| h.grants.iter().map(move |g| (b, g)))
            .find(|(_, g)| grants.iter().any(|own| own.overlaps(g)));
        if let Some((other, grant)) = shared {
            let breach = format!("{boot:?} and {other:?} hold keys of {grant:?} at one instant");
            self.broken.push(breach);
        }
    }
}

impl Observer for Ledger {
    fn on_run(&self, back_end: &str, request: &str) {
        let mut state = self.state();
        let runs = state.runs.entry(request.to_owned()).or_default();
        runs.push(back_end.to_owned());
        let runs = runs.clone();
        if runs.len() > 1 && state.orders.contains(request) {
            state
                .broken
                .push(format!("order {request} ran at {runs:?}"));
        }
    }

    fn on_grants(&self, back_end: &str, born: u64, grants: &[Grant], until: Instant) {
        let now = Instant::now();
        if until <= now {
            return;
        }
        let boot = (back_end.to_owned(), born);
        let mut state = self.state();
        state.check_overlap(&boot, grants, now);
        let known = state.holdings.get(&boot).map(|h| h.grants.clone());
        for grant in grants {
            if !known.as_ref().is_some_and(|k| k.contains(grant)) {
                state.check_fence(&boot, grant);
            }
        }
        let grants = grants.to_vec();
        state.holdings.insert(boot, Holding { grants, until });
    }

    fn on_end(&self, back_end: &str, born: u64) {
        self.state().holdings.remove(&(back_end.to_owned(), born));
    }
}
