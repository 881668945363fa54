//! Bytes that never become a response: a reader ends them at a bound, whatever they are and however
//! they are cut.

use bytes::BytesMut;
use http1::error::ParseError;
use http1::response::ResponseReader;
use proptest::prelude::*;
use rstest::rstest;

const MAX_BODY_BYTES: u64 = 100_000;
/// Bytes after which every endless response must have been refused: head, body and the lines between
/// its chunks.
const BOUND: usize = 2 * 65_536 + 9 * MAX_BODY_BYTES as usize;

/// Passes `start` and then `part` again and again to a reader, `step` bytes at a time; returns how many
/// bytes it took until it failed, and the most that it held.
fn read_endless(start: &[u8], part: &[u8], step: usize) -> (usize, usize) {
    let mut reader = ResponseReader::new(MAX_BODY_BYTES);
    let mut buf = BytesMut::new();
    let mut held = 0;
    let endless = start.iter().chain(part.iter().cycle());
    for (count, byte) in endless.enumerate().take(4 * BOUND) {
        buf.extend_from_slice(&[*byte]);
        if count % step != 0 {
            continue;
        }
        match reader.next(&mut buf, false) {
            Ok(None) => held = held.max(buf.len() + reader.body_length()),
            Ok(Some(response)) => panic!("a response of {} bytes", response.body.len()),
            Err(_) => return (count, held),
        }
    }
    panic!("no failure after {} bytes", 4 * BOUND);
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a process that reads for ever, or until its memory is full, from a back end that sends
// bytes without end.
#[rstest]
#[case::spaces(b"", b" ")]
#[case::line_breaks(b"", b"\r\n")]
#[case::no_http(b"", b"abcdefgh\r\n")]
#[case::status_line(b"HTTP/1.1 200 ", b"O")]
#[case::headers(b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n")]
#[case::folded_header(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n", b" more\r\n")]
#[case::interim_responses(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body_until_close(b"HTTP/1.1 200 OK\r\n\r\n", b"x")]
#[case::chunks(CHUNKED, b"10\r\n0123456789abcdef\r\n")]
#[case::chunk_size(CHUNKED, b"0")]
#[case::chunk_extension(CHUNKED, b"1;a=b")]
#[case::chunks_with_extensions(
    CHUNKED,
    b"1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"
)]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"X-A: 1\r\n"
)]
fn an_endless_response_is_refused_at_a_bound(
    #[case] start: &[u8],
    #[case] part: &[u8],
    #[values(1, 700)] step: usize,
) {
    let (taken, held) = read_endless(start, part, step);
    assert!(taken <= BOUND, "{taken} bytes");
    assert!(
        held <= 65_536 + MAX_BODY_BYTES as usize + step,
        "{held} bytes held"
    );
}

#[test]
fn endless_bytes_that_are_no_response_are_refused_at_once() {
    let (taken, _) = read_endless(b"", b"abcdefgh", 1);
    assert_eq!(taken, 0);
}

#[test]
fn an_endless_head_that_arrives_at_once_is_refused() {
    let mut buf = BytesMut::from(&b"HTTP/1.1 200 OK\r\n"[..]);
    for _ in 0..10_000 {
        buf.extend_from_slice(b"X-A: 1\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    let mut reader = ResponseReader::new(MAX_BODY_BYTES);
    assert_eq!(reader.next(&mut buf, false), Err(ParseError::HeadTooLong));
}

proptest! {
    #[test]
    fn no_input_makes_the_reader_hold_more_than_its_bound_of_endless_bytes(
        part in proptest::collection::vec(prop_oneof![Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b';'), any::<u8>()], 1..24),
        start in prop_oneof![Just(&b""[..]), Just(CHUNKED), Just(&b"HTTP/1.1 200 OK\r\n"[..])],
    ) {
        let mut reader = ResponseReader::new(1_000);
        let mut buf = BytesMut::from(start);
        for _ in 0..20_000 {
            buf.extend_from_slice(&part);
            match reader.next(&mut buf, false) {
                Ok(None) => prop_assert!(buf.len() + reader.body_length() <= 65_536 + 1_000 + part.len()),
                Ok(Some(_)) | Err(_) => return Ok(()),
            }
        }
        // Whatever goes on for so long is a head or a body of which the bound has been reached.
        prop_assert!(20_000 * part.len() <= 2 * 65_536 + 9 * 1_000, "{:?} never ends", part);
    }
}
