//! TCP proxy that injects faults: delays, stalls in one or both directions, and resets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use stand_ins::http::Acceptor;

/// Time between two checks of the current fault.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Bytes are held back in both directions until the fault is over.
    Stall,
    /// Bytes towards the target are held back, and so are new connections.
    StallInbound,
    /// Bytes from the target are held back.
    StallOutbound,
    /// Each chunk is passed on after this delay.
    Delay(Duration),
    /// Open connections and new ones are reset.
    Reset,
    /// A connection is reset when the first bytes come back from the target.
    LoseResponses,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// Towards the target.
    Inbound,
    /// Back from the target.
    Outbound,
}

impl LinkFault {
    fn stalls(self, direction: Direction) -> bool {
        match self {
            LinkFault::Stall => true,
            LinkFault::StallInbound => direction == Direction::Inbound,
            LinkFault::StallOutbound => direction == Direction::Outbound,
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset | LinkFault::LoseResponses => {
                false
            }
        }
    }
}

/// A proxy in front of one target address.
pub struct Proxy {
    fault: Arc<Mutex<LinkFault>>,
    acceptor: Acceptor,
}

impl Proxy {
    /// Starts a proxy that listens on `address` and connects to `target`.
    #[must_use]
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let fault: Arc<Mutex<LinkFault>> = Arc::default();
        let shared = Arc::clone(&fault);
        let acceptor = Acceptor::start(address, move |stream| forward(stream, target, &shared));
        Self { fault, acceptor }
    }

    /// Returns the current fault.
    #[must_use]
    pub fn fault(&self) -> LinkFault {
        current(&self.fault)
    }

    /// Replaces the fault, for open connections as well.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().expect("no panic under the lock") = fault;
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.acceptor.close();
    }
}

fn current(fault: &Mutex<LinkFault>) -> LinkFault {
    *fault.lock().expect("no panic under the lock")
}

fn forward(client: TcpStream, target: SocketAddr, fault: &Arc<Mutex<LinkFault>>) {
    while current(fault).stalls(Direction::Inbound) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let Ok(upstream) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        reset(&client);
        return;
    };
    let (Ok(client_writer), Ok(upstream_reader)) = (client.try_clone(), upstream.try_clone())
    else {
        return;
    };
    let outbound_fault = Arc::clone(fault);
    let outbound = std::thread::spawn(move || {
        copy(
            upstream_reader,
            client_writer,
            Direction::Outbound,
            &outbound_fault,
        )
    });
    copy(client, upstream, Direction::Inbound, fault);
    let _ = outbound.join();
}

/// Copies bytes in one direction until either side closes or the connection is reset.
fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, fault: &Mutex<LinkFault>) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16_384];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => 0,
            Err(_) => break,
        };
        while current(fault).stalls(direction) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let has_response = direction == Direction::Outbound && count > 0;
        match current(fault) {
            LinkFault::LoseResponses if !has_response => {}
            LinkFault::Reset | LinkFault::LoseResponses => {
                reset(&from);
                reset(&to);
                return;
            }
            LinkFault::Delay(delay) if count > 0 => std::thread::sleep(delay),
            _ => {}
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
