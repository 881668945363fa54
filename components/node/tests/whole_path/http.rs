//! A small server and client over blocking sockets, with the product's own codec.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http1::answer::{self, Answer};
use http1::request::{Bounds, Reader, Request};

const BOUNDS: Bounds = Bounds {
    head_bytes: 65_536,
    body_bytes: 1 << 24,
};

/// What a server does with a request; nothing means that the connection is cut.
pub(crate) type Handler = Arc<dyn Fn(&Request) -> Option<Answer> + Send + Sync>;

/// Serves until the process ends, a thread a connection.
pub(crate) fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut reader = Reader::default();
    let mut buf = BytesMut::new();
    let mut chunk = [0; 4_096];
    loop {
        match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => {
                let Some(answer) = handler(&request) else {
                    return;
                };
                let mut out = BytesMut::new();
                answer::encode(&mut out, &answer, false);
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

/// Sends one request on a new connection.
pub(crate) fn call(address: SocketAddr, text: &str, wait: Duration) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = answer::Reader::new(1 << 24);
    let mut buf = BytesMut::new();
    let mut chunk = [0; 4_096];
    loop {
        let count = stream.read(&mut chunk)?;
        buf.extend_from_slice(&chunk[..count]);
        match reader.next(&mut buf, count == 0) {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {}
            Err(fault) => return Err(std::io::Error::other(fault.to_string())),
        }
    }
}
