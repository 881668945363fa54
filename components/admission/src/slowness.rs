//! How many times slower than usual a back end says that its machine is.

use std::time::Duration;

use world::instant::BootInstant;

/// Time for which a report counts.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// The last report on the speed of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    factor: f64,
    until: BootInstant,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            until: BootInstant::default(),
        }
    }
}

impl Slowness {
    /// Records a report that the machine is `factor` times slower than usual.
    pub fn on_report(&mut self, factor: f64, now: BootInstant) {
        *self = Self {
            factor,
            until: now + REPORT_LIFETIME,
        };
    }

    /// Returns how many times slower than usual the machine is; 1 without a recent report.
    #[must_use]
    pub fn factor(self, now: BootInstant) -> f64 {
        if now < self.until { self.factor } else { 1.0 }
    }
}
