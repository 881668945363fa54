//! Forwards TCP connections until it falls silent, as a link does that loses every packet.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::http::Acceptor;

/// Bytes that are copied at once.
const BLOCK_BYTES: usize = 16_384;

/// A listener whose connections are forwarded to another address.
pub struct Forwarder {
    address: SocketAddr,
    silent: Arc<AtomicBool>,
    _acceptor: Acceptor,
}

impl Forwarder {
    /// Forwards connections to `listen` to `target`.
    ///
    /// # Panics
    /// Panics if `listen` cannot be bound.
    #[must_use]
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let silent = Arc::new(AtomicBool::new(false));
        let is_silent = Arc::clone(&silent);
        let acceptor = Acceptor::start(listen, move |stream| forward(stream, target, &is_silent));
        Self {
            address: listen,
            silent,
            _acceptor: acceptor,
        }
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets no more bytes pass, without closing any connection.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }
}

fn forward(near: TcpStream, target: SocketAddr, silent: &Arc<AtomicBool>) {
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let is_silent = Arc::clone(silent);
    let back = std::thread::spawn(move || copy(far_copy, near_copy, &is_silent));
    copy(near, far, silent);
    let _ = back.join();
}

/// Copies bytes to the end of `from`; drops them while the forwarder is silent.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut block = [0; BLOCK_BYTES];
    while let Ok(count) = from.read(&mut block) {
        let is_silent = silent.load(Ordering::SeqCst);
        if count == 0 {
            if !is_silent {
                let _ = to.shutdown(std::net::Shutdown::Write);
            }
            return;
        }
        if !is_silent && to.write_all(&block[..count]).is_err() {
            return;
        }
    }
}
