//! The clock that leases are measured with, and a service of periodic ticks.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use world::instant::BootInstant;

/// Source of the current instant.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current instant.
    fn now(&self) -> BootInstant;
}

/// The operating system's monotonic clock that also advances while the machine is suspended
/// (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> BootInstant {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        BootInstant::from_nanos(secs * 1_000_000_000 + nanos)
    }
}

/// One tick of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Instant at which the tick was produced.
    pub instant: BootInstant,
}

/// Receiver of a subscription's ticks; dropping it ends the subscription.
pub type Ticks = mpsc::Receiver<Tick>;

/// Produces ticks for its subscribers on the Tokio runtime of the caller.
#[derive(Clone, Debug)]
pub struct TimerService<C> {
    clock: C,
}

impl<C: Clock> TimerService<C> {
    /// Makes a service that takes the instants of its ticks from `clock`.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self { clock }
    }

    /// Returns the service's clock.
    #[must_use]
    pub fn clock(&self) -> &C {
        &self.clock
    }

    /// Subscribes to a tick at once and then every `period`.
    ///
    /// A tick is dropped while the subscriber has not received the previous one, so a slow
    /// subscriber never receives several at once. Must be called within a Tokio runtime.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        let clock = self.clock.clone();
        spawn_ticker(clock, period, sender);
        receiver
    }
}

fn spawn_ticker<C: Clock>(
    clock: C,
    period: Duration,
    sender: mpsc::Sender<Tick>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let tick = Tick {
                instant: clock.now(),
            };
            match sender.try_send(tick) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn boot_clock_is_monotonic() {
        let first = BootClock.now();
        let second = BootClock.now();
        assert!(second >= first);
    }

    #[tokio::test]
    async fn a_subscriber_gets_ticks() {
        let service = TimerService::new(BootClock);
        let mut ticks = service.subscribe(Duration::from_millis(1));
        let first = ticks.recv().await.expect("first tick");
        let second = ticks.recv().await.expect("second tick");
        assert!(second.instant >= first.instant);
    }
}
