//! A process on another machine, as the process under test sees it.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use node::frame::{self, Features, Frame, NodeStatus};
use node::node::Node;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use world::name::MachineName;

use crate::common::offline_node;
use crate::small_store::{TIMEOUT, until};

/// The process on another machine, at its end of the connection.
pub(crate) struct FakePeer {
    stream: TcpStream,
    received: BytesMut,
    /// What it has announced last.
    status: NodeStatus,
}

impl FakePeer {
    /// Accepts the connection of a process and sends a `Hello` with the version of its
    /// configuration.
    pub(crate) async fn connect(node: &Rc<Node>, features: Features, catalog_version: u64) -> Self {
        Self::connect_as("other", node, features, catalog_version).await
    }

    /// The same as the process on this machine, in the availability zone of the process.
    pub(crate) async fn connect_as(
        machine: &str,
        node: &Rc<Node>,
        features: Features,
        catalog_version: u64,
    ) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let machine = MachineName::new(machine);
        node.add_peer(&machine, address);
        let (stream, _) = listener.accept().await.expect("a connection");
        let status = NodeStatus {
            machine: machine.clone(),
            address,
            features,
            ..offline_node().status()
        };
        let mut peer = Self {
            stream,
            received: BytesMut::new(),
            status,
        };
        peer.announce(catalog_version).await;
        let is_connected = || node.peer(&machine).is_some_and(|p| p.is_connected());
        until("the connection", is_connected).await;
        peer
    }

    /// Sends a `Hello` with a changed version of its configuration.
    pub(crate) async fn announce(&mut self, catalog_version: u64) {
        self.status.version += 1;
        self.status.catalog_version = catalog_version;
        let hello = Frame::Hello(Box::new(self.status.clone()));
        self.send(&hello).await;
    }

    /// Sends a frame.
    pub(crate) async fn send(&mut self, sent: &Frame) {
        let bytes = frame::encode(sent).expect("a short frame");
        let written = self.stream.write_all(&bytes).await;
        written.expect("an open connection");
    }

    /// Returns the next frame from the process.
    pub(crate) async fn receive(&mut self) -> Frame {
        loop {
            if let Some(frame) = frame::decode(&mut self.received).expect("well-formed") {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.received);
            let read = tokio::time::timeout(TIMEOUT, read).await;
            let length = read.expect("a frame").expect("an open connection");
            assert!(length > 0, "the end of the connection");
        }
    }

    /// Returns the next frame that has arrived, `None` if there is none.
    pub(crate) fn receive_queued(&mut self) -> Option<Frame> {
        while self
            .stream
            .try_read_buf(&mut self.received)
            .is_ok_and(|n| n > 0)
        {}
        frame::decode(&mut self.received).expect("well-formed")
    }
}
