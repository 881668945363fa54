//! Retry budgets, and the settings that may change while the process runs.

use balance::retry_budget::{RetryBudget, RetryLimit};
use platform::bounds::Bounds;
use platform::settings::Settings;
use world::name::ServiceName;

use super::Node;
use crate::cold_limit;

impl Node {
    /// Calls `work` with the retry budget of a service.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.retry_limit(), self.started));
        work(budget)
    }

    /// Returns the bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Puts changed settings in force, as far as they may change while the process runs: the bounds
    /// and the service of the back end.
    pub fn on_settings(&self, settings: &Settings) {
        let bounds = settings.bounds;
        self.bounds.set(bounds);
        *self.configured_service.borrow_mut() = settings.service.clone();
        self.shard_manager
            .borrow_mut()
            .set_max_grant(bounds.hold_max);
        self.update_budgets();
        cold_limit::apply(self);
    }

    /// Records that all member records have been listed, which makes the number of machines known.
    pub fn on_members_listed(&self) {
        self.members_listed.set(true);
        self.update_budgets();
    }

    /// Divides the limits anew, after a change of the bounds or the number of machines.
    pub(super) fn update_budgets(&self) {
        let limit = self.retry_limit();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_limit(limit);
        }
    }

    fn retry_limit(&self) -> RetryLimit {
        let bounds = self.bounds.get();
        let total = RetryLimit {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        };
        let machines = self.peers.borrow().len() + 1;
        total.per_machine(self.members_listed.get().then_some(machines))
    }
}
