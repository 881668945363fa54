//! HTTP server and client over blocking sockets, built on the `http1` codec.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{self, Response};

/// Size limits of requests that the server reads.
const REQUEST_BOUNDS: Bounds = Bounds {
    head_bytes: 65_536,
    body_bytes: 1 << 26,
};
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 24;
/// Bytes of an endless response that are written at once, about.
const ENDLESS_BLOCK_BYTES: usize = 16_384;
/// Timeout of the connection that wakes the accepting thread, and of the end of that thread.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a request.
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// What a handler sends.
pub enum Reply {
    /// A response.
    Response(Box<Response>),
    /// Nothing; the connection is closed.
    Close,
    /// A response over a link that other responses share.
    Paced(Box<Response>, Arc<SharedLink>),
    /// Bytes that go on until the caller closes: the first ones, and those that repeat.
    Endless(&'static [u8], &'static [u8]),
}

/// A link of limited rate that several connections share.
pub struct SharedLink {
    /// Bytes per second.
    rate: f64,
    /// When it has sent what was written to it.
    free_at: Mutex<Instant>,
}

impl SharedLink {
    /// Creates a link that sends `rate` bytes per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        let free_at = Mutex::new(Instant::now());
        Self { rate, free_at }
    }

    /// Waits until the link has sent this many bytes after all that were written before.
    fn send(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().expect("no panic under the lock");
        let sending = Duration::from_secs_f64(bytes as f64 / self.rate);
        let until = (*free_at).max(Instant::now()) + sending;
        *free_at = until;
        drop(free_at);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Bytes that are written at once to a shared link.
const PACED_BLOCK_BYTES: usize = 4_096;

impl From<Option<Response>> for Reply {
    fn from(response: Option<Response>) -> Self {
        response.map_or(Self::Close, |r| Self::Response(Box::new(r)))
    }
}

/// A listener that accepts connections until it is closed.
pub struct Acceptor {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Disconnected once the accepting thread has released the address.
    released: Mutex<mpsc::Receiver<()>>,
}

impl Acceptor {
    /// Listens on `address` and passes each connection to `handler` on its own thread.
    ///
    /// # Panics
    /// Panics if the address cannot be bound.
    #[must_use]
    pub fn start(address: SocketAddr, handler: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        let (releasing, released) = mpsc::channel();
        let acceptor = Self {
            address,
            closed: Arc::default(),
            streams: Arc::default(),
            released: Mutex::new(released),
        };
        let closed = Arc::clone(&acceptor.closed);
        let streams = Arc::clone(&acceptor.streams);
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&streams).push(copy);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || {
                    handler(stream);
                });
            }
            drop(listener);
            drop(releasing);
        });
        acceptor
    }

    /// Closes the listener, so that its address is free, and shuts down all its connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        let released = self.released.lock().expect("no panic under the lock");
        let _ = released.recv_timeout(WAKE_TIMEOUT);
        for stream in std::mem::take(&mut *lock(&self.streams)) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn lock(streams: &Mutex<Vec<TcpStream>>) -> MutexGuard<'_, Vec<TcpStream>> {
    streams.lock().expect("no panic under the lock")
}

/// Serves HTTP with one thread per connection until the returned acceptor is closed.
///
/// # Panics
/// Panics if the address cannot be bound.
#[must_use]
pub fn serve(address: SocketAddr, handler: Handler) -> Acceptor {
    Acceptor::start(address, move |stream| serve_connection(stream, &handler))
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut chunk = [0; 4_096];
    loop {
        match reader.next(&mut buf, REQUEST_BOUNDS) {
            Ok(Some(request)) => {
                let (response, link) = match handler(&request) {
                    Reply::Response(response) => (response, None),
                    Reply::Paced(response, link) => (response, Some(link)),
                    Reply::Close => {
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                    Reply::Endless(start, part) => return send_endlessly(&stream, start, part),
                };
                let mut out = BytesMut::new();
                response::encode(&mut out, &response, false);
                if write(&mut stream, &out, link.as_deref()).is_err() {
                    return;
                }
            }
            Ok(None) => match stream.read(&mut chunk) {
                Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

fn write(stream: &mut TcpStream, bytes: &[u8], link: Option<&SharedLink>) -> std::io::Result<()> {
    let Some(link) = link else {
        return stream.write_all(bytes);
    };
    for block in bytes.chunks(PACED_BLOCK_BYTES) {
        link.send(block.len());
        stream.write_all(block)?;
    }
    Ok(())
}

/// Sends bytes until the caller closes the connection.
fn send_endlessly(mut stream: &TcpStream, start: &[u8], part: &[u8]) {
    let block = part.repeat(ENDLESS_BLOCK_BYTES / part.len().max(1));
    let mut sent = stream.write_all(start);
    while sent.is_ok() {
        sent = stream.write_all(&block);
    }
}

/// A client connection that carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if the connection is not established within `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let buf = BytesMut::new();
        Ok(Self { stream, buf })
    }

    /// Sends an encoded request and reads its response.
    ///
    /// # Errors
    /// Fails if the response is malformed, incomplete or not read within `timeout`.
    pub fn call(
        &mut self,
        request: impl AsRef<[u8]>,
        timeout: Duration,
    ) -> std::io::Result<Response> {
        let deadline = Instant::now() + timeout;
        self.stream.write_all(request.as_ref())?;
        let mut reader = response::ResponseReader::new(MAX_RESPONSE_BYTES);
        let mut chunk = [0; 4_096];
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(remaining.max(Duration::from_millis(1))))?;
            let count = self.stream.read(&mut chunk)?;
            self.buf.extend_from_slice(&chunk[..count]);
            match reader.next(&mut self.buf, count == 0) {
                Ok(Some(response)) => return Ok(response),
                Ok(None) if remaining.is_zero() => return Err(std::io::ErrorKind::TimedOut.into()),
                Ok(None) => {}
                Err(error) => return Err(std::io::Error::other(error.to_string())),
            }
        }
    }
}

/// Sends one request on a new connection and reads its response.
///
/// # Errors
/// Fails as [`Connection::open`] and [`Connection::call`] do; `timeout` applies to each.
pub fn call(
    address: SocketAddr,
    request: impl AsRef<[u8]>,
    timeout: Duration,
) -> std::io::Result<Response> {
    Connection::open(address, timeout)?.call(request, timeout)
}
