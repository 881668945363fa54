//! Requests from caller to back end over real sockets, and the errors on this path.

mod common;

use bench::caller::{Caller, CallerRequest, Outcome};
use bench::stand_in::back_end::Behaviour;
use bytes::Bytes;
use daemon::announcement::{AnnouncedOperation, Announcement};
use daemon::caller_api;
use daemon::link_filter::LinkFilter;
use daemon::pool::PeerPool;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use peers::auth::PeerToken;
use peers::wire::{HeartbeatRequest, RequestFrame, TicketRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::common::{entries, lookup, order, ready, spec};

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_order_gets_the_recorded_answer() {
    let deployment = ready(spec()).await;
    let entries = entries(&deployment);
    let caller = Caller::new();
    let first = caller
        .send_with_retries(&entries, &order("1", "amount=5".to_owned()))
        .await;
    let again = CallerRequest {
        ticket: first.ticket.clone(),
        ..order("1", "amount=5".to_owned())
    };
    let second = caller.send_with_retries(&entries[1..], &again).await;
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first:?}");
    assert_eq!(first.outcome, second.outcome);
    assert_eq!(deployment.recorder.len(), 1);
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_whole_both_ways() {
    let deployment = ready(spec()).await;
    let entries = entries(&deployment);
    let caller = Caller::new();
    let body = "0123456789abcdef".repeat(40_000);
    let report = caller
        .send_with_retries(&entries, &order("1", body.clone()))
        .await;
    let Outcome::Answered(echo) = &report.outcome else {
        panic!("{:?}", report.outcome)
    };
    assert!(echo.body == body, "the body came back changed");
    let again = CallerRequest {
        ticket: report.ticket,
        ..order("1", body)
    };
    let Outcome::Refused(problem) = caller.send_with_retries(&entries, &again).await.outcome else {
        panic!("answered twice");
    };
    assert_eq!(
        (problem.error.as_str(), problem.ran.as_str()),
        ("answer-not-kept", "yes")
    );
    assert_eq!(deployment.recorder.len(), 1);
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_body_is_refused() {
    let deployment = ready(spec()).await;
    let entries = entries(&deployment);
    let report = Caller::new()
        .send_with_retries(&entries, &order("1", "x".repeat(2 << 20)))
        .await;
    let Outcome::Refused(problem) = report.outcome else {
        panic!("{:?}", report.outcome)
    };
    assert_eq!(problem.error, "body-too-large");
    assert!(deployment.recorder.is_empty());
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_was_given_up_gets_its_final_answer_at_once() {
    let deployment = ready(spec()).await;
    let owner = deployment.owner_of("keyed", b"key-1").expect("an owner");
    let back_end = deployment.nodes[&owner].back_end.as_ref();
    back_end.expect("a back end").set_behaviour(Behaviour {
        frozen: true,
        ..Behaviour::default()
    });
    let request = CallerRequest {
        deadline_ms: Some(300),
        ..order("1", "amount=5".to_owned())
    };
    let caller = Caller::new();
    let entry = &deployment.nodes[&owner].daemon;
    let entry = [entry.as_ref().expect("a daemon").listen().callers];
    let report = caller.send_with_retries(&entry, &request).await;
    let again = CallerRequest {
        ticket: report.ticket.clone(),
        ..request
    };
    let repeated = caller.send_with_retries(&entry, &again).await;
    assert_eq!(repeated.attempts, 1, "{repeated:?}");
    for report in [report, repeated] {
        let Outcome::Refused(problem) = &report.outcome else {
            panic!("{report:?}");
        };
        assert_eq!(problem.error, "outcome-lost");
        assert_eq!(problem.advice, "check-then-new-ticket");
    }
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_without_the_secret_are_refused() {
    let deployment = ready(spec()).await;
    let node = deployment.nodes.values().next().expect("a node");
    let listen = *node.daemon.as_ref().expect("a daemon").listen();
    let stranger = PeerPool::new(
        PeerToken::from_secret("some other secret"),
        LinkFilter::default(),
    );
    let mut control = stranger.control(listen.peers).await.expect("a connection");
    let refused = control
        .heartbeat(HeartbeatRequest::default())
        .await
        .expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    let mut traffic = stranger
        .traffic(listen.traffic)
        .await
        .expect("a connection");
    let refused = traffic
        .issue_ticket(TicketRequest::default())
        .await
        .expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_of_peers_are_refused() {
    let deployment = ready(spec()).await;
    let node = deployment.nodes.values().next().expect("a node");
    let daemon = node.daemon.as_ref().expect("a daemon");
    let listen = *daemon.listen();
    let peer = PeerPool::new(
        PeerToken::from_secret(&daemon.shared().settings.secret),
        LinkFilter::default(),
    );
    let mut control = peer.control(listen.peers).await.expect("a connection");
    let refused = control
        .heartbeat(HeartbeatRequest::default())
        .await
        .expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::InvalidArgument);
    assert!(
        refused.message().contains("member"),
        "{}",
        refused.message()
    );
    let mut traffic = peer.traffic(listen.traffic).await.expect("a connection");
    let empty = futures::stream::iter([RequestFrame::default()]);
    let refused = traffic.forward(empty).await.expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::InvalidArgument);
    let report = Caller::new()
        .send_with_retries(&entries(&deployment), &lookup("1"))
        .await;
    assert!(matches!(report.outcome, Outcome::Answered(_)), "{report:?}");
    deployment.kill_all().await;
}

/// Announces a back end that promises 100 bytes, sends 10 and closes.
async fn announce_cutting_back_end(admin: std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let announcement = Announcement {
        address: listener.local_addr().expect("an address").to_string(),
        instance: 77,
        service: "open".to_owned(),
        keyed: false,
        checks_fences: false,
        operations: vec![AnnouncedOperation {
            name: "get".to_owned(),
            order: false,
        }],
        slots: 4,
        draining: false,
    };
    tokio::spawn(async move {
        loop {
            let Ok((mut socket, _)) = listener.accept().await else {
                return;
            };
            let mut request = [0; 4096];
            let _ = socket.read(&mut request).await;
            let _ = socket
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789")
                .await;
            let _ = socket.shutdown().await;
        }
    });
    let request = Request::put(format!("http://{admin}/v1/back-end"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(
            serde_json::to_vec(&announcement).expect("JSON"),
        )))
        .expect("a request");
    let answer = http_client().request(request).await.expect("an answer");
    assert!(answer.status().is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_short_is_seen_as_cut_short() {
    let mut deployment = ready(spec()).await;
    deployment.crash_back_end("nord-a-open");
    deployment.crash_back_end("nord-b-open");
    let admin = deployment.nodes["nord-a-open"]
        .daemon
        .as_ref()
        .expect("a daemon")
        .listen()
        .admin;
    announce_cutting_back_end(admin).await;
    let entry = deployment.nodes["nord-a-open"]
        .daemon
        .as_ref()
        .expect("a daemon")
        .listen()
        .callers;
    let request = Request::get(format!("http://{entry}/v1/open/get?request=1"))
        .header(caller_api::CUSTOMER, "load")
        .body(Full::default())
        .expect("a request");
    let answer = http_client().request(request).await.expect("a head");
    let whole = answer.status().is_success() && answer.into_body().collect().await.is_ok();
    assert!(!whole, "an incomplete response was accepted as complete");
    deployment.kill_all().await;
}
