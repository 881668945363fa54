//! A small HTTP server for back ends: one thread a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};

const BOUNDS: Bounds = Bounds {
    head_bytes: 65_536,
    body_bytes: 100_000_000,
};

/// What a server sends.
pub struct Reply {
    pub response: Response,
    /// Whether the answer is sent a second time, late: where the next answer on the channel is due.
    pub again: bool,
}

/// Answers a request.
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// A server that runs until it is closed or the process ends.
pub struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_closed, opened) = (Arc::clone(&closed), Arc::clone(&streams));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    opened.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve_connection(stream, &handler));
            }
        });
        Self {
            address,
            closed,
            streams,
        }
    }

    /// Closes the listener and all channels, as the end of a process does.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut chunk = vec![0; 262_144];
    let mut late = BytesMut::new();
    loop {
        match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => {
                if stream.write_all(&std::mem::take(&mut late)).is_err() {
                    return;
                }
                let reply = handler(&request);
                let mut out = BytesMut::new();
                encode(&mut out, &reply.response, false);
                if stream.write_all(&out).is_err() {
                    return;
                }
                if reply.again {
                    late = out;
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
