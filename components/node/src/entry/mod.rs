//! Serves the HTTP connections of callers on this machine.
//!
//! Pipelined requests run concurrently; their responses are sent in the order of the requests.

mod refusal;
mod timeouts;

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catalog::Limits;
use futures::StreamExt;
use futures::stream::FuturesOrdered;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::Response;
use platform::message;
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use world::instant::BootInstant;

use self::refusal::Refusal;
use crate::config_check::REFRESH_TIMEOUT;
use crate::connection_limit::OpenConnection;
use crate::denial;
use crate::low_discrepancy::LowDiscrepancySequence;
use crate::memory::{Holding, Share};
use crate::node::Node;
use crate::open_request::OpenRequest;
use crate::refusals::Bound;
use crate::response_writer::{ResponseWriter, Written};
use crate::{accept, client_limits, dispatch};

/// Maximum number of in-flight requests per connection.
const MAX_PIPELINED: usize = 32;
/// Timeout for writing a response to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a connection for timeouts or, while nothing is read, its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes of unread responses from which no further request of a connection is read.
const MAX_UNREAD_BYTES: usize = 262_144;
/// Bytes of a body that are kept although no route may match.
const KEPT_WITHOUT_ROUTE: u64 = 65_536;
/// Name of the listener in logs.
const LISTENER: &str = "callers";

/// Accepts connections of callers for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let samples = Rc::new(LowDiscrepancySequence::default());
    let limit = || client_limits::callers(&node);
    accept::run(listener, LISTENER, &node.refusals, limit, |stream, open| {
        let connection = Connection::new(Rc::clone(&node), Rc::clone(&samples), stream, open);
        tokio::task::spawn_local(connection.run());
    })
    .await;
}

struct Connection {
    node: Rc<Node>,
    samples: Rc<LowDiscrepancySequence>,
    read: OwnedReadHalf,
    writer: ResponseWriter,
    slot: OpenConnection,
    buf: BytesMut,
    reader: RequestReader,
    last_activity: BootInstant,
    /// The requests that are being handled, in their order.
    open: VecDeque<OpenRequest>,
    /// The request of which a part has arrived, so that a process that stops waits for the rest.
    receiving: Option<OpenRequest>,
    /// Version of the configuration whose limits bound the request that is being received.
    limits_version: u64,
    /// Ends the connection once the requests before it are answered.
    refusal: Option<Refusal>,
    /// Id of the request that was refused for lack of memory.
    refused_id: Bytes,
    /// Whether no further request is read.
    stop_reading: bool,
    /// Memory of the request that is being received.
    incoming: Share,
    /// Memory of the responses that have not been written.
    unread: Rc<Share>,
    /// When the first byte of the request that is being received arrived; reading has not been paused
    /// since.
    partial_since: Option<BootInstant>,
    /// The same of its body.
    body_since: Option<BootInstant>,
    /// Whether it has been checked that a route matches the request that is being received.
    route_checked: bool,
    /// Whether a request has been received.
    has_served: bool,
}

impl Connection {
    fn new(
        node: Rc<Node>,
        samples: Rc<LowDiscrepancySequence>,
        stream: TcpStream,
        slot: OpenConnection,
    ) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "socket-option-failed", error:% = error; "");
        }
        let (read, write) = stream.into_split();
        let unread = node.memory.share();
        unread.hold(Holding::Unread);
        Self {
            incoming: node.memory.share(),
            unread: Rc::new(unread),
            node,
            samples,
            read,
            writer: ResponseWriter::new(write),
            slot,
            buf: BytesMut::new(),
            reader: RequestReader::default(),
            last_activity: BootClock.now(),
            open: VecDeque::new(),
            receiving: None,
            limits_version: 0,
            refusal: None,
            refused_id: Bytes::new(),
            stop_reading: false,
            partial_since: None,
            body_since: None,
            route_checked: false,
            has_served: false,
        }
    }

    fn limits(&self) -> Limits {
        self.node
            .active_config()
            .map_or_else(Limits::default, |c| c.catalog.limits)
    }

    /// Returns whether further requests are read.
    fn is_reading(&self) -> bool {
        let pipelined = self.open.len() + self.writer.len();
        !self.stop_reading && pipelined < MAX_PIPELINED && self.unread.bytes() < MAX_UNREAD_BYTES
    }

    async fn run(mut self) {
        let mut responses = FuturesOrdered::new();
        let mut check_timer = tokio::time::interval(CHECK_INTERVAL);
        check_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let unread = Rc::clone(&self.unread);
        loop {
            while self.is_reading() {
                let Some(request) = self.next_request() else {
                    break;
                };
                responses.push_back(self.begin(request));
            }
            if self.is_route_unchecked() {
                self.check_route().await;
            }
            let node = &self.node;
            let is_last = self.open.is_empty() && self.writer.len() == 1;
            let stopping = node.is_stopping() && is_last;
            self.writer.begin(|request| request.close || stopping);
            if let Some(refusal) = self.refusal
                && responses.is_empty()
                && self.writer.is_idle()
            {
                self.refuse(refusal).await;
                return;
            }
            self.count_partial_request();
            let reading = self.is_reading();
            self.observe_progress(reading);
            self.slot.set_phase(self.phase());
            self.buf.reserve(if reading { 1024 } else { 0 });
            tokio::select! {
                Some(response) = responses.next(), if !responses.is_empty() => {
                    let Some(request) = self.open.pop_front() else {
                        return;
                    };
                    self.writer.push(response, request);
                }
                written = self.writer.write(), if !self.writer.is_idle() => {
                    if !self.on_written(written) {
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
                () = self.incoming.evicted(), if self.refusal.is_none() => self.on_evicted(),
                () = unread.evicted() => {
                    self.record(Bound::Memory, self.node.memory.limit() as u64);
                    return;
                }
                () = self.slot.closed() => return,
                _ = check_timer.tick() => {
                    let idle = responses.is_empty() && self.writer.is_idle();
                    if (idle && self.is_timed_out()) || self.is_write_timed_out() {
                        return;
                    }
                }
            }
        }
    }

    /// Begins to handle a request.
    fn begin(&mut self, request: Request) -> impl Future<Output = Response> + use<> {
        self.has_served = true;
        self.open
            .push_back(OpenRequest::new(&self.node, request.close));
        self.stop_reading |= request.close;
        let accepted = std::mem::replace(&mut self.incoming, self.node.memory.share());
        let unread = Rc::clone(&self.unread);
        let samples = Rc::clone(&self.samples);
        let handling =
            dispatch::handle(Rc::clone(&self.node), samples, request, self.last_activity);
        async move {
            let response = handling.await;
            drop(accepted);
            // An eviction ends the connection elsewhere.
            let _ = unread.resize(unread.bytes() + response.body.len());
            response
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
            Ok(Some(request)) => {
                self.on_complete(&request);
                Some(request)
            }
            Ok(None) => {
                // A buffer that grew by doubling has left about as much to the allocator.
                let buffered = 2 * self.buf.capacity().max(self.buf.len());
                if !self.incoming.resize(buffered + self.reader.held_bytes()) {
                    self.on_evicted();
                }
                None
            }
            Err(error) => {
                self.refusal = Some(Refusal::Parse(error));
                self.stop_reading = true;
                self.buf = BytesMut::new();
                let _ = self.incoming.resize(self.reader.held_bytes());
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

    fn on_complete(&mut self, request: &Request) {
        self.partial_since = None;
        self.body_since = None;
        self.route_checked = false;
        self.incoming.hold(Holding::Accepted);
        let head = request.target.len() + request.headers.memory();
        // An accepted request is not evicted.
        let _ = self.incoming.resize(head + request.body.len());
        if self.buf.is_empty() {
            // The request shares the buffer's memory, which would stay in use after it.
            self.buf = BytesMut::new();
        }
    }

    /// Drops the request that is being received, to answer it with 503.
    fn on_evicted(&mut self) {
        self.record(Bound::Memory, self.node.memory.limit() as u64);
        let request = self.reader.incomplete();
        self.refused_id = request
            .map(|r| message::decode_metadata(r).id)
            .unwrap_or_default();
        self.reader = RequestReader::default();
        self.buf = BytesMut::new();
        self.refusal = Some(Refusal::Memory);
        self.stop_reading = true;
    }

    fn record(&self, bound: Bound, limit: u64) {
        self.node.refusals.record(bound, LISTENER, limit);
    }

    /// Returns whether the request that is being received has a body so long that its route is needed.
    fn is_route_unchecked(&self) -> bool {
        let received = self.reader.body_received().unwrap_or_default();
        !self.route_checked && received > KEPT_WITHOUT_ROUTE
    }

    /// Discards the body of the request that is being received if no route matches.
    async fn check_route(&mut self) {
        self.route_checked = true;
        let Some(request) = self.reader.incomplete() else {
            return;
        };
        let host = message::decode_metadata(request).host;
        let found = denial::find_route(&self.node, &host, request.path(), REFRESH_TIMEOUT).await;
        if let Some((_, None)) = found {
            self.reader.discard_body();
            let _ = self.incoming.resize(self.reader.held_bytes());
        }
    }

    /// Handles progress of a response; returns false if the connection ends.
    fn on_written(&mut self, written: std::io::Result<Option<Written>>) -> bool {
        let Ok(written) = written else { return false };
        let Some(written) = written else { return true };
        let left = self.unread.bytes().saturating_sub(written.length);
        // An eviction ends the connection elsewhere.
        let _ = self.unread.resize(left);
        self.last_activity = BootClock.now();
        !written.close
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
