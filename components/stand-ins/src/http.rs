//! A small server and client over blocking sockets, with the product's own codec.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{self, Response};

const BOUNDS: Bounds = Bounds {
    head_bytes: 65_536,
    body_bytes: 1 << 24,
};
/// Longest body of an answer in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 24;
/// Time in which a server that ends notices it.
const WAKE_TIME: Duration = Duration::from_secs(1);

/// What a server does with a request; nothing means that the connection is cut.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Accepts connections until it is closed.
pub struct Acceptor {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Acceptor {
    /// Listens and hands each connection to `work` on a thread of its own.
    ///
    /// # Panics
    /// Panics if the address is taken.
    #[must_use]
    pub fn start(address: SocketAddr, work: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        let acceptor = Self {
            address,
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let closed = Arc::clone(&acceptor.closed);
        let streams = Arc::clone(&acceptor.streams);
        let work = Arc::new(work);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    lock(&streams).push(copy);
                }
                let work = Arc::clone(&work);
                std::thread::spawn(move || {
                    work(stream);
                });
            }
        });
        acceptor
    }

    /// Ends it: nobody listens any more, and all connections are cut.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that the address becomes free.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIME);
        for stream in std::mem::take(&mut *lock(&self.streams)) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn lock(streams: &Mutex<Vec<TcpStream>>) -> MutexGuard<'_, Vec<TcpStream>> {
    streams.lock().expect("no panic under the lock")
}

/// Serves HTTP until it is closed, a thread a connection.
///
/// # Panics
/// Panics if the address is taken.
#[must_use]
pub fn serve(address: SocketAddr, handler: Handler) -> Acceptor {
    Acceptor::start(address, move |stream| serve_connection(stream, &handler))
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut chunk = [0; 4_096];
    loop {
        match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => {
                let Some(response) = handler(&request) else {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                };
                let mut out = BytesMut::new();
                response::encode(&mut out, &response, false);
                if stream.write_all(&out).is_err() {
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

/// A connection of a caller that is used for one request after the other.
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if nobody listens in time.
    pub fn open(address: SocketAddr, wait: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_nodelay(true)?;
        let buf = BytesMut::new();
        Ok(Self { stream, buf })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// Fails if the answer does not come whole or in time.
    pub fn call(&mut self, text: &str, wait: Duration) -> std::io::Result<Response> {
        let end = Instant::now() + wait;
        self.stream.write_all(text.as_bytes())?;
        let mut reader = response::ResponseReader::new(MAX_ANSWER_BYTES);
        let mut chunk = [0; 4_096];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let count = self.stream.read(&mut chunk)?;
            self.buf.extend_from_slice(&chunk[..count]);
            match reader.next(&mut self.buf, count == 0) {
                Ok(Some(response)) => return Ok(response),
                Ok(None) if left.is_zero() => return Err(std::io::ErrorKind::TimedOut.into()),
                Ok(None) => {}
                Err(fault) => return Err(std::io::Error::other(fault.to_string())),
            }
        }
    }
}

/// Sends one request on a new connection.
///
/// # Errors
/// Fails if nobody listens or the answer does not come whole and in time.
pub fn call(address: SocketAddr, text: &str, wait: Duration) -> std::io::Result<Response> {
    Connection::open(address, wait)?.call(text, wait)
}
