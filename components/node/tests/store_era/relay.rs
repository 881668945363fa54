//! Store requests that are sent through a peer.

use std::net::SocketAddr;
use std::time::Duration;

use http1::response::{Response, encode};
use node::{peer_server, relay};
use platform::store::LEASES;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use world::name::MachineName;

use crate::common::node;
use crate::small_store::TIMEOUT;

async fn listen() -> (TcpListener, SocketAddr) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    (listener, address)
}

/// Starts a store that takes requests and responds with `status`, or not at all.
async fn start_store(status: Option<u16>) -> SocketAddr {
    let (listener, address) = listen().await;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_store(stream, status));
        }
    });
    address
}

async fn serve_store(mut stream: TcpStream, status: Option<u16>) {
    let mut request = [0; 4_096];
    while let Ok(length) = stream.read(&mut request).await
        && length > 0
    {
        let Some(status) = status else { continue };
        let mut out = bytes::BytesMut::new();
        encode(&mut out, &Response::new(status), false);
        if stream.write_all(&out).await.is_err() {
            return;
        }
    }
}

/// Guards against a write that counts as never executed although a peer has sent it to the store: a
/// machine would claim keys in a new era that this write has handed over.
#[tokio::test]
async fn the_outcome_of_a_relayed_request_without_a_response_is_unknown() {
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        let refusing = start_store(Some(503)).await;
        let silent = start_store(None).await;
        let (listener, address) = listen().await;
        let peer = node("other", silent);
        spawn_local(peer_server::serve(peer, listener));
        let node = node("own", refusing);
        let other = MachineName::new("other");
        node.add_peer(&other, address);
        while !node.peer(&other).is_some_and(|p| p.is_connected()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let client = relay::client(&node);
        let op = StoreOp::Create(Lease::default());
        let outcome = client.execute(LEASES, "own", &op).await;
        assert_eq!(outcome, StoreOutcome::Unknown);
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}
