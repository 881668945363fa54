//! Connections that others open to this process.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection to `take`, for as long as the process runs; `name` says in logs whose
/// connections they are.
pub async fn each(listener: TcpListener, name: &str, mut take: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                log::warn!(event = "accept-failed", listener = name, error:% = error; "");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
