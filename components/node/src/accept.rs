//! Accepts TCP connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::connection_limit::{Admission, ConnectionLimit, OpenConnection};
use crate::refusals::{Bound, Refusals};

/// Backoff after a connection could not be accepted.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Passes each accepted connection to `handle`, for as long as the process runs; `name` identifies
/// the listener in logs. At most `limit` connections are open at once.
pub async fn run(
    listener: TcpListener,
    name: &str,
    refusals: &Refusals,
    limit: impl Fn() -> usize,
    mut handle: impl FnMut(TcpStream, OpenConnection),
) {
    let connections = Rc::new(ConnectionLimit::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept-failed", listener = name, error:% = error; "");
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
        };
        let most = limit();
        match connections.admit(most) {
            Admission::Free(open) => handle(stream, open),
            Admission::InPlaceOfAnother(open) => {
                handle(stream, open);
                refusals.record(Bound::Connections, name, most as u64);
                // Lets the other connection close its descriptor.
                tokio::task::yield_now().await;
            }
            Admission::Refused => {
                drop(stream);
                refusals.record(Bound::Connections, name, most as u64);
                tokio::task::yield_now().await;
            }
        }
    }
}
