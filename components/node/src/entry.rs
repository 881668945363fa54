//! Connections of the callers on this machine.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
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

use crate::draws::EvenDraws;
use crate::node::Node;
use crate::{accept, dispatch};

/// Most requests of one connection that are handled at once.
const MAX_PIPELINED: usize = 32;
/// Longest time for a caller to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at connections that wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Accepts callers.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let draws = Rc::new(EvenDraws::default());
    accept::each(listener, "callers", |stream| {
        let connection = Connection::new(Rc::clone(&node), Rc::clone(&draws), stream);
        tokio::task::spawn_local(connection.run());
    })
    .await;
}

struct Connection {
    node: Rc<Node>,
    draws: Rc<EvenDraws>,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buf: BytesMut,
    reader: RequestReader,
    active: BootInstant,
    /// Ids and wishes of the requests that are not answered, in their order.
    waiting: VecDeque<bool>,
    /// A fault that ends the connection after the requests before it.
    fault: Option<ParseError>,
    /// No request is read any more.
    last: bool,
}

impl Connection {
    fn new(node: Rc<Node>, draws: Rc<EvenDraws>, stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "socket-option-failed", error:% = error; "");
        }
        let (read, write) = stream.into_split();
        Self {
            node,
            draws,
            read,
            write,
            buf: BytesMut::new(),
            reader: RequestReader::default(),
            active: BootClock.now(),
            waiting: VecDeque::new(),
            fault: None,
            last: false,
        }
    }

    fn limits(&self) -> Limits {
        self.node
            .active_config()
            .map_or_else(Limits::default, |c| c.catalog.limits)
    }

    async fn run(mut self) {
        let mut responses = FuturesOrdered::new();
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            while self.waiting.len() < MAX_PIPELINED && !self.last {
                let Some(request) = self.next_request() else {
                    break;
                };
                self.waiting.push_back(request.close);
                self.last |= request.close;
                let draws = Rc::clone(&self.draws);
                let node = Rc::clone(&self.node);
                responses.push_back(dispatch::handle(node, draws, request, self.active));
            }
            if self.fault.is_some() && responses.is_empty() {
                self.refuse().await;
                return;
            }
            let reading = !self.last && self.waiting.len() < MAX_PIPELINED;
            self.buf.reserve(if reading { 1024 } else { 0 });
            tokio::select! {
                Some(response) = responses.next(), if !responses.is_empty() => {
                    if !self.respond(&response).await {
                        return;
                    }
                }
                count = receive(&mut self.read, &mut self.buf, reading) => {
                    // The caller has left: dropping the answers withdraws its requests.
                    match count {
                        Ok(0) | Err(_) => return,
                        Ok(_) => self.active = BootClock.now(),
                    }
                }
                _ = check.tick() => {
                    if responses.is_empty() && self.is_overdue() {
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
        let limits = self.limits();
        let bounds = Bounds {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
        };
        match self.reader.next(&mut self.buf, bounds) {
            Ok(request) => request,
            Err(fault) => {
                log::info!(event = "request-refused", fault:% = fault; "");
                self.fault = Some(fault);
                self.last = true;
                None
            }
        }
    }

    /// Whether an idle connection or a request that does not arrive has used up its time.
    fn is_overdue(&mut self) -> bool {
        let limits = self.limits();
        let limit = if self.reader.has_partial_request(&self.buf) {
            limits.head_timeout.max(limits.idle_timeout)
        } else {
            limits.idle_timeout
        };
        BootClock.now().since(self.active) > limit
    }

    /// Writes an answer; false if the connection ends with it.
    async fn respond(&mut self, response: &Response) -> bool {
        let wished = self.waiting.pop_front().unwrap_or(true);
        let stopping = self.node.is_stopping();
        let close = wished || (stopping && self.waiting.is_empty());
        let written = self.write_answer(response, close).await;
        self.active = BootClock.now();
        written && !close
    }

    async fn write_answer(&mut self, response: &Response, close: bool) -> bool {
        let mut out = BytesMut::new();
        encode(&mut out, response, close);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.write.write_all(&out)).await;
        matches!(written, Ok(Ok(())))
    }

    async fn refuse(&mut self) {
        let status = match self.fault {
            Some(ParseError::HeadTooLong) => 431,
            Some(ParseError::BodyTooLong) => 413,
            _ => 400,
        };
        let response = message::error_response(status, &Bytes::new(), None);
        if self.write_answer(&response, true).await {
            drain(&mut self.read).await;
        }
    }
}

/// Receives bytes, or without `wanted` only notices that the caller has left.
async fn receive(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    wanted: bool,
) -> std::io::Result<usize> {
    if wanted {
        return read.read_buf(buf).await;
    }
    let mut probe = [0; 1];
    loop {
        let mut seen = ReadBuf::new(&mut probe);
        if poll_fn(|cx| read.poll_peek(cx, &mut seen)).await? == 0 {
            return Ok(0);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Longest time for which the rest of a refused request is read, so that its sender sees the answer.
const DRAIN_TIME: Duration = Duration::from_secs(2);

async fn drain(read: &mut OwnedReadHalf) {
    let reading = async {
        let mut sink = [0; 4096];
        while matches!(read.read(&mut sink).await, Ok(n) if n > 0) {}
    };
    let _ = tokio::time::timeout(DRAIN_TIME, reading).await;
}
