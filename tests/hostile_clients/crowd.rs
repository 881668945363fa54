//! Clients that act at the same time, and the bytes that they send.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time for which a client waits to connect or to send a part.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `act` for each of `count` clients at the same time; returns their connections, still open.
pub(crate) fn run(
    count: usize,
    address: SocketAddr,
    act: impl Fn(&mut TcpStream) + Sync,
) -> Vec<TcpStream> {
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..count)
            .map(|_| {
                scope.spawn(|| {
                    let mut stream = open(address)?;
                    act(&mut stream);
                    Some(stream)
                })
            })
            .collect();
        let streams = clients.into_iter().filter_map(|c| c.join().ok().flatten());
        streams.collect()
    })
}

/// Opens a connection; `None` if the process does not accept it.
pub(crate) fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, SEND_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(SEND_TIMEOUT)).ok()?;
    Some(stream)
}

/// Sends `bytes` in pieces of `piece` bytes; returns whether all were sent.
pub(crate) fn send(stream: &mut TcpStream, bytes: &[u8], piece: usize) -> bool {
    bytes
        .chunks(piece)
        .all(|part| stream.write_all(part).is_ok())
}

/// Reads what arrives within the time that a client waits, at most `count` bytes.
pub(crate) fn read(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut part = [0; 65_536];
    while bytes.len() < count {
        let most = part.len().min(count - bytes.len());
        match stream.read(&mut part[..most]) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&part[..n]),
            _ => break,
        }
    }
    bytes
}

/// Returns the head of a request for `path` with the header fields `fields`, each with a line break.
pub(crate) fn head(path: &str, fields: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\n{fields}\r\n").into()
}
