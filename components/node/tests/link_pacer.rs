//! The pace of bodies on the machine's own link, which the links to all peers share.

use std::pin::pin;

use futures::poll;
use node::link_pacer::LinkPacer;

/// Rate of the link in bytes per second, so low that what a test writes stays queued.
const RATE: f64 = 1_000.0;
/// Bytes for which the link needs far longer than the test takes.
const BODY_BYTES: usize = 60_000;

// Guards against bodies that fill the link's queue, so that small frames of other links wait behind them.
#[tokio::test]
async fn a_body_waits_while_bytes_queue_on_the_link() {
    let pacer = LinkPacer::new(Some(RATE));
    drop(pacer.turn().await);
    pacer.on_write(BODY_BYTES);
    let turn = pin!(pacer.turn());
    assert!(poll!(turn).is_pending());
}

// Guards against a link whose rate is not known and that carries nothing.
#[tokio::test]
async fn without_a_stated_rate_nothing_waits() {
    let pacer = LinkPacer::new(None);
    pacer.on_write(BODY_BYTES);
    let first = pacer.turn().await;
    let second = pacer.turn().await;
    drop((first, second));
}

// Guards against a connection that keeps the others from sending their bodies.
#[tokio::test]
async fn bodies_of_connections_take_turns_in_the_order_in_which_they_ask() {
    let pacer = LinkPacer::new(Some(RATE));
    let first = pacer.turn().await;
    let mut second = pin!(pacer.turn());
    let mut third = pin!(pacer.turn());
    assert!(poll!(&mut second).is_pending());
    assert!(poll!(&mut third).is_pending());
    drop(first);
    assert!(poll!(&mut third).is_pending());
    let second = second.await;
    assert!(poll!(&mut third).is_pending());
    drop(second);
    drop(third.await);
}
