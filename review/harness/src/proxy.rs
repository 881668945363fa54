//! A proxy whose open channels can be made silent for good, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A proxy in front of one address.
pub struct Proxy {
    /// Number of times that the open channels were made silent.
    silenced: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("a free address");
        let silenced = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&silenced);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let opened = shared.load(Ordering::SeqCst);
                let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else {
                    continue;
                };
                let gate = Gate {
                    silenced: Arc::clone(&shared),
                    opened,
                };
                let back = gate.clone();
                std::thread::spawn(move || copy(client, server, &gate));
                std::thread::spawn(move || copy(s, c, &back));
            }
        });
        Self { silenced }
    }

    /// Makes all open channels silent: nothing passes on them any more, in either direction.
    pub fn silence_open(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }
}

#[derive(Clone)]
struct Gate {
    silenced: Arc<AtomicU64>,
    opened: u64,
}

impl Gate {
    fn is_silent(&self) -> bool {
        self.silenced.load(Ordering::SeqCst) != self.opened
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, gate: &Gate) {
    let mut chunk = [0; 16_384];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        if gate.is_silent() {
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
