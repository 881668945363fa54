//! A request has one fingerprint, however its host and target are written.

use bytes::Bytes;
use node::frame::ForwardedRequest;
use node::suspects;
use rstest::rstest;
use world::name::ServiceName;

fn request(target: &'static str, host: &'static str) -> ForwardedRequest {
    let host = (Bytes::from("Host"), Bytes::from(host));
    ForwardedRequest {
        id: 1,
        service: ServiceName::new("s"),
        method: Bytes::from("GET"),
        target: Bytes::from(target),
        headers: vec![host],
        body: Bytes::from("body"),
        request_id: Bytes::from("9c41"),
        sent_ms: 0,
        remaining_ms: 0,
        missed_target: false,
        target_ms: 0,
        idempotent: true,
        priority: 1,
        class: 0,
        key: None,
        caller: ServiceName::new("c"),
    }
}

// Guards against a crash-causing request that is counted anew for each spelling of its host or target.
#[rstest]
#[case::host("/a/b?c=d", "H.Example:80")]
#[case::absolute("http://h.example/a/b?c=d", "h.example")]
#[case::absolute_host("http://H.EXAMPLE:80/a/b?c=d", "other.example")]
fn the_spelling_of_host_and_target_is_not_part_of_a_fingerprint(
    #[case] target: &'static str,
    #[case] host: &'static str,
) {
    let plain = suspects::fingerprint(&request("/a/b?c=d", "h.example"));
    assert_eq!(suspects::fingerprint(&request(target, host)), plain);
}

#[rstest]
#[case::path("/a/B?c=d", "h.example")]
#[case::query("/a/b?c=D", "h.example")]
#[case::host("/a/b?c=d", "g.example")]
#[case::absolute_host("http://g.example/a/b?c=d", "h.example")]
fn other_requests_have_other_fingerprints(
    #[case] target: &'static str,
    #[case] host: &'static str,
) {
    let plain = suspects::fingerprint(&request("/a/b?c=d", "h.example"));
    assert_ne!(suspects::fingerprint(&request(target, host)), plain);
}
