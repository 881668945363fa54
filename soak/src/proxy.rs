//! A proxy on loopback whose connections can be delayed, silenced one way or both, and reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use stand_ins::http::Acceptor;

/// Time between two looks at what is to be done.
const LOOK: Duration = Duration::from_millis(10);
/// Time to open a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How connections misbehave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// They do not.
    #[default]
    None,
    /// Nothing passes; it does once the fault is over.
    Silent,
    /// Nothing passes towards the target.
    SilentIn,
    /// Nothing passes back from the target.
    SilentOut,
    /// All arrives late.
    Delay(Duration),
    /// All are reset at once, and so are new ones.
    Reset,
    /// Each is reset as soon as something comes back from the target.
    LoseAnswers,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    In,
    Out,
}

impl Cut {
    fn holds_back(self, way: Way) -> bool {
        match self {
            Cut::Silent => true,
            Cut::SilentIn => way == Way::In,
            Cut::SilentOut => way == Way::Out,
            Cut::None | Cut::Delay(_) | Cut::Reset | Cut::LoseAnswers => false,
        }
    }
}

/// A proxy in front of one address.
pub struct Proxy {
    cut: Arc<Mutex<Cut>>,
    acceptor: Acceptor,
}

impl Proxy {
    /// Starts a proxy at `address` in front of `target`.
    #[must_use]
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let cut: Arc<Mutex<Cut>> = Arc::default();
        let shared = Arc::clone(&cut);
        let acceptor = Acceptor::start(address, move |stream| carry(stream, target, &shared));
        Self { cut, acceptor }
    }

    /// Changes how connections misbehave.
    pub fn set_cut(&self, cut: Cut) {
        *self.cut.lock().expect("no panic under the lock") = cut;
    }

    /// Ends the proxy.
    pub fn close(&self) {
        self.acceptor.close();
    }
}

fn now(cut: &Mutex<Cut>) -> Cut {
    *cut.lock().expect("no panic under the lock")
}

fn carry(near: TcpStream, target: SocketAddr, cut: &Arc<Mutex<Cut>>) {
    while now(cut).holds_back(Way::In) {
        std::thread::sleep(LOOK);
    }
    let Ok(far) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        reset(&near);
        return;
    };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let back = Arc::clone(cut);
    let returning = std::thread::spawn(move || pump(far_copy, near_copy, Way::Out, &back));
    pump(near, far, Way::In, cut);
    let _ = returning.join();
}

/// Copies one way until either end closes or the connection is reset.
fn pump(mut from: TcpStream, mut to: TcpStream, way: Way, cut: &Mutex<Cut>) {
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16_384];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => 0,
            Err(_) => break,
        };
        while now(cut).holds_back(way) {
            std::thread::sleep(LOOK);
        }
        let answered = way == Way::Out && count > 0;
        match now(cut) {
            Cut::LoseAnswers if !answered => {}
            Cut::Reset | Cut::LoseAnswers => {
                reset(&from);
                reset(&to);
                return;
            }
            Cut::Delay(delay) if count > 0 => std::thread::sleep(delay),
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
