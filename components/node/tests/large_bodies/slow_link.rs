//! A link over a slow proxy, on which a large response is under way.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use node::frame::{self, Features, Frame, NodeStatus, RequestOutcome};
use node::link_queue::WRITE_BYTES;
use node::peer::Peer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::LocalSet;
use world::name::MachineName;

use crate::ends::{Ends, TIMEOUT, listen, pattern, request, until};

/// Length of the large response in bytes.
const LARGE: usize = 540_000;
/// Bytes that the proxy passes on at once, and the pause after them: 2 MB/s.
const CHUNK: usize = 4 << 10;
const PAUSE: Duration = Duration::from_millis(2);
/// Size of the proxy's receive buffer.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// Bytes of a response that may be on their way between the far end's queue and the receiver: the
/// buffers of the kernel and what is being written. The kernel doubles the sizes that are set.
const IN_TRANSIT: usize = (128 << 10) + 2 * RECEIVE_BUFFER as usize + WRITE_BYTES;

/// Starts a proxy to `target` that passes on responses slowly; returns its address.
async fn slow_proxy(target: SocketAddr) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::task::spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let socket = TcpSocket::new_v4().expect("a socket");
            let set = socket.set_recv_buffer_size(RECEIVE_BUFFER);
            set.expect("a supported option");
            let far = socket.connect(target).await.expect("an open port");
            let (mut from_near, mut to_near) = near.into_split();
            let (mut from_far, mut to_far) = far.into_split();
            tokio::task::spawn_local(async move {
                let _ = tokio::io::copy(&mut from_near, &mut to_far).await;
            });
            tokio::task::spawn_local(async move {
                let mut chunk = vec![0; CHUNK];
                while let Ok(n @ 1..) = from_far.read(&mut chunk).await {
                    if to_near.write_all(&chunk[..n]).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
    });
    address
}

/// A peer of which the test sees each frame.
struct Connection {
    stream: TcpStream,
    received: BytesMut,
}

impl Connection {
    async fn open(ends: &Ends, address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("an open port");
        let mut connection = Self {
            stream,
            received: BytesMut::new(),
        };
        let status = NodeStatus {
            features: Features::SUPPORTED,
            ..ends.near.status()
        };
        connection.send(&Frame::Hello(Box::new(status))).await;
        let hello = connection.next().await;
        assert!(matches!(hello, Frame::Hello(_)), "{hello:?}");
        connection
    }

    async fn send(&mut self, frame: &Frame) {
        let bytes = frame::encode(frame).expect("a short frame");
        self.stream.write_all(&bytes).await.expect("an open link");
    }

    /// Sends a request for a response of `length` bytes and returns its id.
    async fn ask(&mut self, peer: &Peer, length: usize) -> u64 {
        let request = request(peer, length, Bytes::new());
        let id = request.id;
        self.send(&Frame::Request(Box::new(request))).await;
        id
    }

    async fn next(&mut self) -> Frame {
        loop {
            if let Some(frame) = frame::decode(&mut self.received).expect("well-formed") {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.received);
            let read = tokio::time::timeout(TIMEOUT, read).await;
            assert!(matches!(read, Ok(Ok(1..))), "{read:?}");
        }
    }

    /// Skips frames up to the first part of a body.
    async fn first_part(&mut self) -> Bytes {
        loop {
            if let Frame::BodyPart { bytes, .. } = self.next().await {
                return bytes;
            }
        }
    }
}

// Guards against calls and pings that arrive only after the large response that is under way.
#[tokio::test]
async fn a_call_and_a_ping_overtake_a_large_response() {
    let test = async {
        let ends = Ends::start().await;
        let ids = Peer::new(MachineName::new("far"), ends.far_address);
        let mut link = Connection::open(&ends, slow_proxy(ends.far_address).await).await;
        let large = link.ask(&ids, LARGE).await;
        let mut body = link.first_part().await.to_vec();
        let call = link.ask(&ids, 10).await;
        link.send(&Frame::Ping { probe: 77 }).await;
        let (mut is_call_answered, mut is_ping_answered) = (false, false);
        while body.len() < LARGE {
            assert!(ends.far.queued_bytes.get() <= LARGE + CHUNK);
            match link.next().await {
                Frame::BodyPart { id, bytes } => {
                    assert_eq!(id, large);
                    body.extend_from_slice(&bytes);
                }
                Frame::Response { id, outcome, .. } => {
                    assert!(matches!(outcome, RequestOutcome::Response(_)));
                    assert_eq!(id, call);
                    is_call_answered = true;
                }
                Frame::Pong { probe } => is_ping_answered = probe == 77,
                other => panic!("{other:?}"),
            }
        }
        assert!(is_call_answered, "the call");
        assert!(is_ping_answered, "the ping");
        assert!(body == pattern(LARGE), "the large response");
        assert_eq!(ends.far.queued_bytes.get(), 0);
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a link that goes on to carry a response for which nobody waits.
#[tokio::test]
async fn little_of_a_response_follows_its_cancellation() {
    let test = async {
        let ends = Ends::start().await;
        let ids = Peer::new(MachineName::new("far"), ends.far_address);
        let mut link = Connection::open(&ends, slow_proxy(ends.far_address).await).await;
        let large = link.ask(&ids, LARGE).await;
        link.first_part().await;
        link.send(&Frame::Cancel { id: large }).await;
        until("nothing is queued", || ends.far.queued_bytes.get() == 0).await;
        let mut received_after = 0;
        loop {
            match link.next().await {
                Frame::BodyPart { bytes, .. } if bytes.is_empty() => break,
                Frame::BodyPart { bytes, .. } => received_after += bytes.len(),
                other => panic!("{other:?}"),
            }
        }
        assert!(received_after <= IN_TRANSIT, "{received_after}");
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a link that is closed as silent while one frame takes long to arrive.
#[tokio::test]
async fn a_link_that_is_busy_is_not_closed() {
    let test = async {
        let ends = Ends::start().await;
        let address = slow_proxy(ends.far_address).await;
        let peer = ends.connect(address).await;
        let connected_at = peer.link_changed_at();
        let responses = [3 * LARGE, LARGE, LARGE].map(|length| {
            let peer = Rc::clone(&peer);
            async move { crate::response_body(&peer, request(&peer, length, Bytes::new())).await }
        });
        let [first, second, third] = responses;
        let bodies = tokio::join!(first, second, third);
        assert!(bodies.0 == pattern(3 * LARGE));
        assert!(bodies.1 == pattern(LARGE) && bodies.2 == pattern(LARGE));
        assert_eq!(peer.link_changed_at(), connected_at);
    };
    LocalSet::new().run_until(test).await;
}
