//! Accepts TCP connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Backoff after a connection could not be accepted.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Passes each accepted connection to `handle`, for as long as the process runs; `name` identifies
/// the listener in logs.
pub async fn run(listener: TcpListener, name: &str, mut handle: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(error) => {
                log::warn!(event = "accept-failed", listener = name, error:% = error; "");
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}
