//! The response to a request that cannot be read, after which its connection ends.

use std::time::Duration;

use bytes::BytesMut;
use http1::error::ParseError;
use http1::request::RequestReader;
use http1::response::Response;
use platform::message;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

use super::{Connection, WRITE_TIMEOUT};
use crate::config_check::REFRESH_TIMEOUT;
use crate::denial::{self, Denial};
use crate::open_request::OpenRequest;

/// `Retry-After` of requests that are refused for lack of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Longest time for which the rest of a malformed request is read, so that closing the connection
/// does not discard the response before the caller has read it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no further request of a connection is served.
#[derive(Clone, Copy, Debug)]
pub(super) enum Refusal {
    /// The request is malformed or exceeds a limit of the configuration.
    Parse(ParseError),
    /// The request that is being received takes too much memory.
    Memory,
}

impl Connection {
    pub(super) async fn refuse(&mut self, refusal: Refusal) {
        let open = OpenRequest::new(&self.node, true);
        let response = match refusal {
            Refusal::Parse(error) => self.deny(error).await,
            Refusal::Memory => {
                message::error_response(503, &self.refused_id, Some(MEMORY_RETRY_AFTER))
            }
        };
        // The message is not needed any more while the rest of it is read.
        self.reader = RequestReader::default();
        self.buf = BytesMut::new();
        let _ = self.incoming.resize(0);
        self.writer.push(response, open);
        self.writer.begin(|_| true);
        let writing = async {
            while !self.writer.is_idle() {
                self.writer.write().await?;
            }
            Ok::<(), std::io::Error>(())
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
        if matches!(written, Ok(Ok(()))) {
            tokio::select! {
                () = drain(&mut self.read) => {}
                () = self.slot.closed() => {}
            }
        }
    }

    async fn deny(&mut self, error: ParseError) -> Response {
        let request = self.reader.incomplete();
        let id = request.map(|r| message::decode_metadata(r).id);
        let id = id.unwrap_or_default();
        let limits = self.limits();
        log::info!(
            event = "request-refused",
            id = std::str::from_utf8(&id).unwrap_or("?"),
            fault:% = error,
            max_head_bytes = limits.head_bytes,
            max_body_bytes = limits.body_bytes;
            ""
        );
        let denial = Denial::from(error);
        if denial.rests_on_configuration() {
            denial::refresh_if_stale(&self.node, REFRESH_TIMEOUT).await;
        }
        denial::respond(&self.node, &id, denial, self.limits_version).response
    }
}

async fn drain(read: &mut OwnedReadHalf) {
    let reading = async {
        let mut sink = [0; 4096];
        while matches!(read.read(&mut sink).await, Ok(n) if n > 0) {}
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
}
