//! A process tells its peers of the store's era.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use node::frame::{self, Features, Frame, NodeStatus};
use node::node::Node;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use world::name::MachineName;

use crate::common::offline_node;
use crate::era;
use crate::small_store::until;

/// The process on another machine, at its end of the connection.
struct Peer {
    stream: TcpStream,
    received: BytesMut,
}

impl Peer {
    /// Accepts the connection of a process and sends the `Hello`.
    async fn connect(node: &Rc<Node>, features: Features) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let machine = MachineName::new("other");
        node.add_peer(&machine, address);
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut peer = Self {
            stream,
            received: BytesMut::new(),
        };
        let status = NodeStatus {
            machine: machine.clone(),
            address,
            features,
            ..offline_node().status()
        };
        peer.send(&Frame::Hello(Box::new(status))).await;
        let is_connected = || node.peer(&machine).is_some_and(|p| p.is_connected());
        until("the connection", is_connected).await;
        peer
    }

    async fn send(&mut self, sent: &Frame) {
        let bytes = frame::encode(sent).expect("a short frame");
        let written = self.stream.write_all(&bytes).await;
        written.expect("an open connection");
    }

    async fn receive(&mut self) -> Frame {
        loop {
            if let Some(frame) = frame::decode(&mut self.received).expect("well-formed") {
                return frame;
            }
            let length = self.stream.read_buf(&mut self.received).await;
            assert!(length.expect("an open connection") > 0, "the end");
        }
    }

    /// Returns the eras of which it is told before the response to a ping.
    async fn eras(&mut self) -> Vec<u32> {
        self.send(&Frame::Ping { probe: 3 }).await;
        let mut eras = Vec::new();
        loop {
            match self.receive().await {
                Frame::StoreEra(era) => eras.push(era.number()),
                Frame::Pong { probe: 3 } => return eras,
                _ => {}
            }
        }
    }
}

// Guards against a process that waits in a watch of the earlier era for up to 25 s, while others know
// of the later one.
#[rstest]
#[case::this_version(Features::SUPPORTED, &[2], &[3])]
#[case::earlier_version(Features::default(), &[], &[])]
#[tokio::test]
async fn peers_are_told_of_an_era_when_they_connect_and_when_it_begins(
    #[case] features: Features,
    #[case] connected: &[u32],
    #[case] begun: &[u32],
) {
    let test = async {
        let node = offline_node();
        node.on_store_era(era(2));
        let mut peer = Peer::connect(&node, features).await;
        assert_eq!(peer.eras().await, connected);
        node.on_store_era(era(3));
        node.on_store_era(era(3));
        assert_eq!(peer.eras().await, begun);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_store_without_eras_takes_no_frames() {
    let test = async {
        let node = offline_node();
        let mut peer = Peer::connect(&node, Features::SUPPORTED).await;
        assert!(peer.eras().await.is_empty());
    };
    LocalSet::new().run_until(test).await;
}
