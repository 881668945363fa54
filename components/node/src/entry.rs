//! Serves the HTTP connections of callers on this machine.
//!
//! Pipelined requests run concurrently; their responses are sent in the order of the requests.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use catalog::Limits;
use futures::StreamExt;
use futures::stream::FuturesOrdered;
use http1::error::ParseError;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};
use platform::message;
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use world::instant::BootInstant;

use crate::config_check::REFRESH_TIMEOUT;
use crate::denial::{self, Denial};
use crate::low_discrepancy::LowDiscrepancySequence;
use crate::node::Node;
use crate::open_request::OpenRequest;
use crate::{accept, dispatch};

/// Maximum number of in-flight requests per connection.
const MAX_PIPELINED: usize = 32;
/// Timeout for writing a response to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a connection for timeouts or, while nothing is read, its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Accepts connections of callers for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let samples = Rc::new(LowDiscrepancySequence::default());
    accept::run(listener, "callers", |stream| {
        let connection = Connection::new(Rc::clone(&node), Rc::clone(&samples), stream);
        tokio::task::spawn_local(connection.run());
    })
    .await;
}

struct Connection {
    node: Rc<Node>,
    samples: Rc<LowDiscrepancySequence>,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buf: BytesMut,
    reader: RequestReader,
    last_activity: BootInstant,
    /// The requests whose responses have not been written, in their order.
    open: VecDeque<OpenRequest>,
    /// The request of which a part has arrived, so that a process that stops waits for the rest.
    receiving: Option<OpenRequest>,
    /// Version of the configuration whose limits bound the request that is being received.
    limits_version: u64,
    /// Error that ends the connection once the requests before it are answered.
    parse_error: Option<ParseError>,
    /// Whether no further request is read.
    stop_reading: bool,
}

impl Connection {
    fn new(node: Rc<Node>, samples: Rc<LowDiscrepancySequence>, stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "socket-option-failed", error:% = error; "");
        }
        let (read, write) = stream.into_split();
        Self {
            node,
            samples,
            read,
            write,
            buf: BytesMut::new(),
            reader: RequestReader::default(),
            last_activity: BootClock.now(),
            open: VecDeque::new(),
            receiving: None,
            limits_version: 0,
            parse_error: None,
            stop_reading: false,
        }
    }

    fn limits(&self) -> Limits {
        self.node
            .active_config()
            .map_or_else(Limits::default, |c| c.catalog.limits)
    }

    async fn run(mut self) {
        let mut responses = FuturesOrdered::new();
        let mut check_timer = tokio::time::interval(CHECK_INTERVAL);
        check_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            while self.open.len() < MAX_PIPELINED && !self.stop_reading {
                let Some(request) = self.next_request() else {
                    break;
                };
                self.open
                    .push_back(OpenRequest::new(&self.node, request.close));
                self.stop_reading |= request.close;
                let samples = Rc::clone(&self.samples);
                let node = Rc::clone(&self.node);
                responses.push_back(dispatch::handle(node, samples, request, self.last_activity));
            }
            if let Some(error) = self.parse_error
                && responses.is_empty()
            {
                self.send_parse_error(error).await;
                return;
            }
            self.count_partial_request();
            let reading = !self.stop_reading && self.open.len() < MAX_PIPELINED;
            self.buf.reserve(if reading { 1024 } else { 0 });
            tokio::select! {
                Some(response) = responses.next(), if !responses.is_empty() => {
                    if !self.respond(&response).await {
                        return;
                    }
                }
                count = receive(&mut self.read, &mut self.buf, reading) => {
                    // The caller has disconnected: dropping the futures cancels its requests.
                    match count {
                        Ok(0) | Err(_) => return,
                        Ok(_) => self.last_activity = BootClock.now(),
                    }
                }
                _ = check_timer.tick() => {
                    if responses.is_empty() && self.is_timed_out() {
                        return;
                    }
                }
            }
        }
    }

    fn next_request(&mut self) -> Option<Request> {
        if self.buf.is_empty() {
            return None;
        }
        if self.reader.incomplete().is_none() {
            self.limits_version = self.node.configuration_version();
        }
        let limits = self.limits();
        let bounds = Bounds {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
        };
        match self.reader.next(&mut self.buf, bounds) {
            Ok(request) => request,
            Err(error) => {
                self.parse_error = Some(error);
                self.stop_reading = true;
                None
            }
        }
    }

    /// Counts a request of which a part has arrived as open.
    fn count_partial_request(&mut self) {
        let is_partial = !self.stop_reading && self.reader.has_partial_request(&self.buf);
        if is_partial != self.receiving.is_some() {
            self.receiving = is_partial.then(|| OpenRequest::new(&self.node, false));
        }
    }

    /// Returns whether the connection has been idle, or its partial request incomplete, for too
    /// long.
    fn is_timed_out(&mut self) -> bool {
        let limits = self.limits();
        let timeout = if self.reader.has_partial_request(&self.buf) {
            limits.head_timeout.max(limits.idle_timeout)
        } else {
            limits.idle_timeout
        };
        BootClock.now().since(self.last_activity) > timeout
    }

    /// Writes a response; returns false if the connection ends with it.
    async fn respond(&mut self, response: &Response) -> bool {
        let Some(request) = self.open.pop_front() else {
            return false;
        };
        let stopping = self.node.is_stopping();
        let close = request.close || (stopping && self.open.is_empty());
        let written = self.write_response(response, close).await;
        self.last_activity = BootClock.now();
        written && !close
    }

    async fn write_response(&mut self, response: &Response, close: bool) -> bool {
        let mut out = BytesMut::new();
        encode(&mut out, response, close);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.write.write_all(&out)).await;
        matches!(written, Ok(Ok(())))
    }

    async fn send_parse_error(&mut self, error: ParseError) {
        let open = OpenRequest::new(&self.node, true);
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
        let denied = denial::respond(&self.node, &id, denial, self.limits_version);
        let written = self.write_response(&denied.response, true).await;
        drop(open);
        if written {
            drain(&mut self.read).await;
        }
    }
}

/// Receives bytes into `buf`; without `reading` it returns only once the caller has disconnected.
async fn receive(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    reading: bool,
) -> std::io::Result<usize> {
    if reading {
        return read.read_buf(buf).await;
    }
    let mut probe = [0; 1];
    loop {
        let mut peeked = ReadBuf::new(&mut probe);
        if poll_fn(|cx| read.poll_peek(cx, &mut peeked)).await? == 0 {
            return Ok(0);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Longest time for which the rest of a malformed request is read, so that closing the connection
/// does not discard the response before the caller has read it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

async fn drain(read: &mut OwnedReadHalf) {
    let reading = async {
        let mut sink = [0; 4096];
        while matches!(read.read(&mut sink).await, Ok(n) if n > 0) {}
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
}
