//! A small HTTP server for back ends: one thread a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};

const BOUNDS: Bounds = Bounds {
    head_bytes: 65_536,
    body_bytes: 67_108_864,
};

/// Answers a request.
pub type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// Serves requests on `address` until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) {
    let listener = TcpListener::bind(address).expect("a free address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut chunk = vec![0; 262_144];
    loop {
        match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => {
                let mut out = BytesMut::new();
                encode(&mut out, &handler(&request), false);
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
