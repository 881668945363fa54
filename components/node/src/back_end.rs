//! Connections to the back end on this machine.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use http1::response::{Response, ResponseReader};
use platform::message::{self, ResponseCheck};
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use world::instant::BootInstant;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without traffic after which a connection is probed.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time for which an idle connection is kept if the back end states none.
const USUAL_IDLE: Duration = Duration::from_secs(5);
/// Part of the stated idle time after which a connection is not used any more.
const IDLE_SAFETY: f64 = 0.8;
/// Longest idle time after which a connection still carries a request that must not run twice.
const FRESH_IDLE: Duration = Duration::from_millis(1_000);
/// Longest answer of a back end.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Answers to other requests that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: usize = 4;

/// Why an exchange with the back end has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No process listens at the address; nothing was sent.
    NobodyListens,
    /// The connection could not be opened; nothing was sent.
    Unreachable,
    /// The connection ended before the answer.
    Cut,
    /// The answer is not what the back end should send.
    Spoilt,
}

struct Idle {
    stream: TcpStream,
    since: BootInstant,
    until: BootInstant,
}

/// The connections.
pub struct Connections {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
    opened: Cell<u64>,
}

/// Counts one connection as open while it lives.
struct OpenGuard<'a>(&'a Cell<usize>);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Connections {
    /// Makes connections to `address` as they are needed.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            open: Cell::new(0),
            opened: Cell::new(0),
        }
    }

    /// Connections that carry a request now.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.open.get()
    }

    /// Connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Drops idle connections whose time is over or that the back end has closed.
    ///
    /// Returns how many remain.
    pub fn sweep(&self, now: BootInstant) -> usize {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| now < i.until && is_silent(&i.stream));
        idle.len()
    }

    fn take_idle(&self, now: BootInstant, once: bool) -> Option<TcpStream> {
        while let Some(idle) = self.idle.borrow_mut().pop() {
            let fresh = !once || now.since(idle.since) <= FRESH_IDLE;
            if fresh && now < idle.until && is_silent(&idle.stream) {
                return Some(idle.stream);
            }
        }
        None
    }

    async fn dial(&self) -> Result<TcpStream, ExchangeError> {
        self.opened.set(self.opened.get() + 1);
        net::connect(self.address, CONNECT_TIMEOUT, QUIET_TIME)
            .await
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ExchangeError::NobodyListens,
                _ => ExchangeError::Unreachable,
            })
    }

    /// Opens and closes a connection to see whether the back end listens.
    ///
    /// # Errors
    /// Says why it could not be opened.
    pub async fn probe(&self) -> Result<(), ExchangeError> {
        self.dial().await.map(drop)
    }

    /// Sends a request and returns the back end's answer to it.
    ///
    /// With `once` the request must not reach the back end twice.
    ///
    /// # Errors
    /// Says what went wrong, and whether anything was sent.
    pub async fn exchange(
        &self,
        head: &[u8],
        body: &[u8],
        id: &[u8],
        once: bool,
    ) -> Result<(Response, ResponseCheck), ExchangeError> {
        let mut stream = match self.take_idle(BootClock.now(), once) {
            Some(stream) => stream,
            None => self.dial().await?,
        };
        self.open.set(self.open.get() + 1);
        let _guard = OpenGuard(&self.open);
        let (read, mut write) = stream.split();
        let mut receiver = Receiver::new(read, id);
        let send = async {
            write.write_all(head).await?;
            write.write_all(body).await
        };
        tokio::pin!(send);
        let mut sent = false;
        let (response, verdict) = loop {
            tokio::select! {
                biased;
                result = &mut send, if !sent => {
                    // A back end may answer before it has read everything.
                    sent = true;
                    if result.is_err() {
                        break receiver.receive().await?;
                    }
                }
                received = receiver.receive() => break received?,
            }
        };
        let reusable = sent && receiver.is_clean();
        if reusable && verdict != ResponseCheck::Corrupt {
            self.keep(stream, &response);
        }
        Ok((response, verdict))
    }

    fn keep(&self, stream: TcpStream, response: &Response) {
        let Some(idle) = message::idle_timeout(response, USUAL_IDLE) else {
            return;
        };
        let now = BootClock.now();
        self.idle.borrow_mut().push(Idle {
            stream,
            since: now,
            until: now + idle.mul_f64(IDLE_SAFETY),
        });
    }
}

/// Whether nothing has arrived on an idle connection, not even its end.
fn is_silent(stream: &TcpStream) -> bool {
    let probe = stream.try_read(&mut [0; 1]);
    matches!(probe, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Receives the answer to one request.
struct Receiver<'a> {
    read: tokio::net::tcp::ReadHalf<'a>,
    id: &'a [u8],
    reader: ResponseReader,
    buf: BytesMut,
    foreign: usize,
    closed: bool,
}

impl<'a> Receiver<'a> {
    fn new(read: tokio::net::tcp::ReadHalf<'a>, id: &'a [u8]) -> Self {
        Self {
            read,
            id,
            reader: ResponseReader::new(MAX_ANSWER_BYTES),
            buf: BytesMut::new(),
            foreign: 0,
            closed: false,
        }
    }

    /// Whether nothing but the answer has arrived.
    fn is_clean(&self) -> bool {
        self.buf.is_empty() && self.foreign == 0 && !self.closed
    }

    async fn receive(&mut self) -> Result<(Response, ResponseCheck), ExchangeError> {
        loop {
            if let Some(response) = self.next_answer()? {
                match message::check_response(&response, self.id) {
                    ResponseCheck::OtherRequest if self.foreign < MAX_FOREIGN_ANSWERS => {
                        self.foreign += 1
                    }
                    ResponseCheck::OtherRequest => return Err(ExchangeError::Spoilt),
                    verdict => return Ok((response, verdict)),
                }
                continue;
            }
            if self.closed {
                return Err(ExchangeError::Cut);
            }
            self.fill().await?;
        }
    }

    fn next_answer(&mut self) -> Result<Option<Response>, ExchangeError> {
        if self.closed && self.buf.is_empty() && !self.reader.is_head_received() {
            return Err(ExchangeError::Cut);
        }
        self.reader
            .next(&mut self.buf, self.closed)
            .map_err(|_| match self.closed {
                true => ExchangeError::Cut,
                false => ExchangeError::Spoilt,
            })
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        self.buf.reserve(2048);
        let count = self.read.read_buf(&mut self.buf).await;
        self.closed = count.map_err(|_| ExchangeError::Cut)? == 0;
        Ok(())
    }
}
