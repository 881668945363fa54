//! Large bodies between the two ends of a link.

mod ends;
mod slow_link;

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use node::back_end_proxy::submission;
use node::frame::{
    self, ForwardedRequest, ForwardedResponse, Frame, LoadReport, LossCause, MAX_FRAME_BYTES,
    RejectReason, RequestOutcome,
};
use node::outgoing::Outgoing;
use rstest::rstest;
use tokio::task::LocalSet;

use ends::{Ends, pattern, request, response_body, until};

// Guards against bodies that lose bytes or their order between the parts.
#[rstest]
#[tokio::test]
async fn bodies_of_any_size_arrive_whole(
    #[values(1, 16 << 10, (16 << 10) + 1, 540_000)] length: usize,
) {
    LocalSet::new()
        .run_until(async {
            let ends = Ends::start().await;
            let peer = ends.connect(ends.far_address).await;
            let response = response_body(&peer, request(&peer, length, Bytes::new())).await;
            assert!(response == pattern(length), "the response");
            let echo = response_body(&peer, request(&peer, 0, pattern(length))).await;
            assert!(echo == pattern(length), "the request");
            until("nothing is queued", || ends.near.queued_bytes.get() == 0).await;
        })
        .await;
}

// Guards against a process that hangs: a request that no frame can hold was sent again at once and
// for ever.
#[tokio::test]
async fn a_request_that_no_frame_can_hold_is_not_run() {
    LocalSet::new()
        .run_until(async {
            let ends = Ends::start().await;
            let peer = ends.connect(ends.far_address).await;
            let body = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
            let outcome = peer.request(request(&peer, 1, body)).await;
            let RequestOutcome::NotRun { reason, .. } = outcome else {
                panic!("{outcome:?}");
            };
            assert_eq!(reason, RejectReason::Unreachable);
            assert!(peer.is_connected());
            assert_eq!(peer.in_flight(), 0);
        })
        .await;
}

// Guards against a request that stays in flight for ever, with its caller, as no frame can hold its
// outcome.
#[rstest]
fn a_response_that_no_frame_can_hold_is_lost(#[values(false, true)] streams: bool) {
    let response = ForwardedResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![0; MAX_FRAME_BYTES + 1].into(),
    };
    let outcome = RequestOutcome::Response(Box::new(response));
    let load = LoadReport {
        running: 1,
        waiting: 0,
        slots: 1,
        service_us: 5,
    };
    let outgoing = Outgoing::response_or_lost(7, 1, outcome, load, streams);
    let outgoing = outgoing.expect("a short frame");
    assert!(outgoing.body.is_empty());
    let decoded = frame::decode(&mut BytesMut::from(&outgoing.frame[..]));
    let Ok(Some(Frame::Response { id: 7, outcome, .. })) = decoded else {
        panic!("a response");
    };
    assert!(matches!(outcome, RequestOutcome::Lost(LossCause::Spoilt)));
}

// Guards against the parts of a response that are sent and held although its caller has gone.
#[tokio::test]
async fn a_response_whose_caller_has_gone_is_sent_no_further() {
    LocalSet::new()
        .run_until(async {
            let ends = Ends::start().await;
            let peer = ends.connect(ends.far_address).await;
            for delay_turns in [0, 1, 3, 30] {
                let request = request(&peer, 5_400_000, Bytes::new());
                let sending = Rc::clone(&peer);
                let caller =
                    tokio::task::spawn_local(async move { sending.request(request).await });
                until("it is sent", || peer.in_flight() == 1).await;
                for _ in 0..delay_turns {
                    tokio::task::yield_now().await;
                }
                caller.abort();
                until("it has ended", || {
                    peer.in_flight() == 0
                        && ends.far.peer_requests.borrow().in_flight() == 0
                        && ends.far.queued_bytes.get() == 0
                })
                .await;
                let next = response_body(&peer, ends::request(&peer, 40_000, Bytes::new())).await;
                assert!(next == pattern(40_000), "over the same connection");
            }
            assert!(peer.is_connected());
        })
        .await;
}

// Guards against responses that the link of the machine cannot send in time and that delay the others:
// 15 Mbit/s take 160 ms for 300 kB.
#[rstest]
#[case::in_time("large", 1_000, true)]
#[case::too_late("large", 100, false)]
#[case::small_route("h", 100, true)]
#[tokio::test]
async fn a_large_response_that_the_link_cannot_send_in_time_is_not_made(
    #[case] host: &'static str,
    #[case] target_ms: u32,
    #[case] is_run: bool,
) {
    LocalSet::new()
        .run_until(async {
            let ends = Ends::start().await;
            let peer = ends.connect(ends.far_address).await;
            let with_host = || ForwardedRequest {
                headers: vec![(
                    Bytes::from_static(b"Host"),
                    Bytes::from_static(host.as_bytes()),
                )],
                target_ms: 20_000,
                ..request(&peer, 300_000, Bytes::new())
            };
            // Its length is what the next one is expected to have.
            response_body(&peer, with_host()).await;
            let next = ForwardedRequest {
                target_ms,
                ..with_host()
            };
            let local = Rc::new(next.clone());
            match peer.request(next).await {
                RequestOutcome::Response(_) => assert!(is_run),
                RequestOutcome::NotRun { reason, .. } => {
                    assert_eq!(reason, RejectReason::Full);
                    assert!(!is_run);
                }
                lost => panic!("{lost:?}"),
            }
            let outcome = submission::submit(&ends.far, local).await;
            assert!(
                matches!(outcome, RequestOutcome::Response(_)),
                "without a link"
            );
        })
        .await;
}
