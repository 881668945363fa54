//! Requests and responses are decoded however their bytes are split; ambiguous framing is rejected.

use bytes::{Bytes, BytesMut};
use http1::error::ParseError;
use http1::request::{Bounds, Request, RequestReader};
use http1::response;
use proptest::prelude::*;
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    head_bytes: 1_024,
    body_bytes: 64,
};

fn read_all(bytes: &[u8], cut: usize) -> Result<Vec<Request>, ParseError> {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut found = Vec::new();
    for part in [&bytes[..cut], &bytes[cut..]] {
        buf.extend_from_slice(part);
        while let Some(request) = reader.next(&mut buf, BOUNDS)? {
            found.push(request);
        }
    }
    Ok(found)
}

#[test]
fn reads_pipelined_requests_in_order_wherever_the_bytes_are_cut() {
    let bytes = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\
        GET /b?c=d HTTP/1.1\r\nHost: h\r\n\r\n\
        POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: 1\r\n\r\n";
    for cut in 0..=bytes.len() {
        let found = read_all(bytes, cut).expect("well-formed");
        let bodies: Vec<&[u8]> = found.iter().map(|r| r.body.as_ref()).collect();
        assert_eq!(bodies, [b"abc".as_ref(), b"", b"def"], "cut at {cut}");
        assert_eq!(found[1].target, "/b?c=d");
        assert_eq!(found[1].path(), "/b");
    }
}

// Guards against requests in absolute form that match no route.
#[rstest]
#[case::origin("/a/b?c=d", "/a/b")]
#[case::absolute("http://h.example/a/b?c=d", "/a/b")]
#[case::port("HTTP://h.example:80/a/b", "/a/b")]
#[case::secure("https://h.example/", "/")]
#[case::no_path("http://h.example", "/")]
#[case::query_only("http://h.example?c=/d", "/")]
#[case::url_in_path("/a/http://h.example/b", "/a/http://h.example/b")]
#[case::url_in_query("/a?c=http://h.example/b", "/a")]
#[case::other_scheme("ftp://h.example/a", "ftp://h.example/a")]
#[case::asterisk("*", "*")]
fn the_path_is_that_of_the_target_in_either_form(#[case] target: &str, #[case] path: &str) {
    let text = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
    let found = read_all(text.as_bytes(), 0).expect("well-formed");
    assert_eq!(found[0].path(), path);
    assert_eq!(found[0].target, target, "unchanged");
}

#[rstest]
#[case("Content-Length: 3\r\nTransfer-Encoding: chunked")]
#[case("Content-Length: 3\r\nContent-Length: 4")]
#[case("Content-Length: +3")]
#[case("Content-Length: 3, 3")]
#[case("Transfer-Encoding: gzip, chunked")]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")]
#[case(" folded: no")]
fn errors_on_framing_that_can_be_read_two_ways(#[case] fields: &str) {
    let text = format!("POST /a HTTP/1.1\r\n{fields}\r\n\r\nabc");
    let result = read_all(text.as_bytes(), 0);
    assert!(
        matches!(result, Err(ParseError::Malformed { .. })),
        "{result:?}"
    );
}

#[rstest]
#[case(
    "POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
    ParseError::BodyTooLong
)]
#[case(
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n",
    ParseError::BodyTooLong
)]
fn errors_on_bodies_over_the_limit(#[case] text: &str, #[case] error: ParseError) {
    assert_eq!(read_all(text.as_bytes(), 0), Err(error));
}

#[test]
fn errors_on_heads_over_the_limit() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(2_000));
    assert_eq!(read_all(long.as_bytes(), 0), Err(ParseError::HeadTooLong));
    let endless = "a".repeat(2_000);
    assert_eq!(
        read_all(endless.as_bytes(), 0),
        Err(ParseError::HeadTooLong)
    );
}

fn read_response(bytes: &[u8], closed: bool) -> Result<Option<response::Response>, ParseError> {
    let mut buf = BytesMut::from(bytes);
    response::ResponseReader::new(1_000).next(&mut buf, closed)
}

#[test]
fn a_response_without_length_ends_with_its_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(read_response(bytes, false), Ok(None));
    let whole = read_response(bytes, true).expect("well-formed");
    assert_eq!(whole.expect("whole").body, "abc");
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[case(b"HTTP/1.1 200 O")]
fn errors_on_truncated_responses(#[case] bytes: &[u8]) {
    assert_eq!(read_response(bytes, false), Ok(None));
    assert!(read_response(bytes, true).is_err());
}

// Guards against: a response whose head is cut counts as a whole one with an empty or short body.
#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 12\r\n\r\n",
    "0123456789ab"
)]
#[case::length_first(
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: a\r\n\r\n",
    "0123456789ab"
)]
#[case::no_content("HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n", "")]
#[case::empty("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\n\r\n", "")]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "3\r\nabc\r\n0\r\nT: 1\r\n\r\n"
)]
#[case::after_interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
    "abc"
)]
fn a_response_that_is_cut_is_never_whole(#[case] head: &str, #[case] body: &str) {
    let whole = [head, body].concat();
    assert!(matches!(read_response(whole.as_bytes(), true), Ok(Some(_))));
    for cut in 0..whole.len() {
        let found = read_response(&whole.as_bytes()[..cut], true);
        assert!(found.is_err(), "cut at {cut}: {found:?}");
    }
}

// Guards against: the same, of a response that ends with its connection.
#[test]
fn a_response_without_length_that_is_cut_in_its_head_is_never_whole() {
    let head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: 0.1.2\r\n\r\n";
    for cut in 0..head.len() {
        let found = read_response(&head[..cut], true);
        assert!(found.is_err(), "cut at {cut}: {found:?}");
    }
}

// Guards against: a head that ends early, in a bare line feed, takes the start of the body with it, which
// is then lost while the rest counts as whole.
#[rstest]
#[case::bare_line_feeds("HTTP/1.1 200 OK\nRequest-Id: a\n\nabc\r\n\r\ndef")]
#[case::one_bare_line_feed("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\nabc\r\n\r\ndef")]
#[case::with_length("HTTP/1.1 200 OK\r\nContent-Length: 3\n\nabc\r\n\r\ndef")]
fn a_response_with_bytes_behind_the_end_of_its_head_is_refused(#[case] text: &str) {
    assert!(read_response(text.as_bytes(), true).is_err());
}

// Guards against: the same in a request, which reaches the back end without the start of its body.
#[rstest]
#[case::bare_line_feeds("POST /a HTTP/1.1\nHost: h\n\nabc\r\n\r\n")]
#[case::with_length("POST /a HTTP/1.1\r\nHost: h\nContent-Length: 3\n\nabc\r\n\r\ndef")]
#[case::another_request("GET /a HTTP/1.1\r\nHost: h\r\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")]
fn a_request_with_bytes_behind_the_end_of_its_head_is_refused(#[case] text: &str) {
    assert!(read_all(text.as_bytes(), 0).is_err());
}

#[test]
fn skips_interim_responses() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let found = read_response(bytes, false).expect("well-formed");
    assert_eq!(found.expect("whole").status, 204);
}

#[test]
fn removes_hop_by_hop_headers_and_those_that_connection_lists() {
    let text = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Own\r\nX-Own: 1\r\nTE: a\r\n\
        Keep-Alive: timeout=3\r\nX-Kept: 2\r\n\r\n";
    let mut found = read_all(text, 0).expect("well-formed");
    let mut request = found.remove(0);
    assert!(request.close);
    request.headers.remove_hop_by_hop();
    let names: Vec<&Bytes> = request.headers.iter().map(|h| &h.name).collect();
    assert_eq!(names, ["Host", "X-Kept"]);
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), cut in 0usize..400) {
        let _ = read_all(&bytes, cut.min(bytes.len()));
        let _ = read_response(&bytes, true);
    }

    #[test]
    fn an_encoded_response_is_decoded_unchanged(status in 200u16..600, body in proptest::collection::vec(any::<u8>(), 0..500)) {
        prop_assume!(status != 204 && status != 304);
        let mut sent = response::Response::new(status).with("X-Field", "v w");
        sent.body = body.into();
        let mut out = BytesMut::new();
        response::encode(&mut out, &sent, false);
        let found = read_response(&out, false).expect("well-formed").expect("whole");
        prop_assert_eq!(found.status, status);
        prop_assert_eq!(found.body, sent.body);
        prop_assert_eq!(found.headers.text("x-field"), Some("v w"));
    }
}

#[test]
fn the_head_of_a_request_with_too_long_a_body_can_be_named() {
    let mut reader = RequestReader::default();
    let text = "POST /a HTTP/1.1\r\nRequest-Id: r-1\r\nContent-Length: 65\r\n\r\n";
    let mut buf = BytesMut::from(text);
    assert_eq!(reader.incomplete(), None);
    assert_eq!(reader.next(&mut buf, BOUNDS), Err(ParseError::BodyTooLong));
    let id = reader
        .incomplete()
        .and_then(|r| r.headers.text("Request-Id"));
    assert_eq!(id, Some("r-1"));
}

// Guards against 431 for a head within its limit, because it has many fields.
#[test]
fn reads_as_many_header_fields_as_the_limit_of_the_head_allows() {
    let fields: String = (0..100).map(|n| format!("a{n}: b\r\n")).collect();
    let text = format!("GET /a HTTP/1.1\r\n{fields}\r\n");
    let found = read_all(text.as_bytes(), 0).expect("well-formed");
    assert_eq!(found[0].headers.len(), 100);
    let text = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n");
    let mut buf = BytesMut::from(text.as_str());
    let read = response::ResponseReader::new(64).next(&mut buf, false);
    let read = read.expect("well-formed").expect("a whole response");
    assert_eq!(read.headers.len(), 101);
}
