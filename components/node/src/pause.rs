//! Pauses with jitter, so that processes that started together do not act at the same time.

use std::time::Duration;

use rand::Rng;

/// Sleeps for a random part of `pause`.
pub async fn random_part(pause: Duration) {
    let part = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(pause.mul_f64(part)).await;
}

/// Sleeps for `pause` with a jitter of up to 20 %.
pub async fn jittered(pause: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(pause.mul_f64(jitter)).await;
}
