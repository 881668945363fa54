//! Pauses that differ a little, so that processes that started together do not act together.

use std::time::Duration;

use rand::Rng;

/// Waits for about the given time.
pub async fn about(pause: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(pause.mul_f64(jitter)).await;
}
