//! What a reader holds of a request that is being received.

use bytes::{BufMut, BytesMut};
use http1::error::ParseError;
use http1::request::{Bounds, RequestReader};

const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 4_000_000,
};
const PIECE: [u8; 1_000] = [b'x'; 1_000];

fn begin(length: usize) -> (RequestReader, BytesMut) {
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    (RequestReader::default(), BytesMut::from(head.as_str()))
}

// Guards against a body that takes up to twice its stated length.
#[test]
fn a_body_of_stated_length_takes_no_more_than_its_length() {
    let length = 3_000_000;
    let (mut reader, mut buf) = begin(length);
    let request = loop {
        match reader.next(&mut buf, BOUNDS).expect("a sound request") {
            Some(request) => break request,
            None => buf.put_slice(&PIECE),
        }
        assert!(reader.held_bytes() <= length + 1_000);
    };
    let body = BytesMut::from(request.body);
    assert_eq!(body.len(), length);
    assert!(body.capacity() <= length + 65_536, "{}", body.capacity());
}

// Guards against a discarded body that is kept, or that is no longer bounded.
#[test]
fn a_discarded_body_takes_nothing_and_stays_bounded() {
    let (mut reader, mut buf) = begin(100_000);
    assert_eq!(reader.next(&mut buf, BOUNDS), Ok(None));
    reader.discard_body();
    buf.put_slice(&[b'x'; 99_999]);
    assert_eq!(reader.next(&mut buf, BOUNDS), Ok(None));
    assert!(reader.held_bytes() < 1_000 && reader.is_discarding());
    assert_eq!(reader.body_received(), Some(99_999));
    buf.put_slice(b"xGET / HTTP/1.1\r\n\r\n");
    let request = reader.next(&mut buf, BOUNDS).expect("a sound request");
    let request = request.expect("a complete request");
    assert!(request.body_discarded && request.body.is_empty());
    let next = reader.next(&mut buf, BOUNDS).expect("a sound request");
    assert!(!next.expect("a complete request").body_discarded);

    let mut reader = RequestReader::default();
    let mut buf = BytesMut::from("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert_eq!(reader.next(&mut buf, BOUNDS), Ok(None));
    reader.discard_body();
    let chunk = [b"3e8\r\n".as_slice(), &PIECE, b"\r\n"].concat();
    let error = (0..5_000).find_map(|_| {
        buf.put_slice(&chunk);
        reader.next(&mut buf, BOUNDS).err()
    });
    assert_eq!(error, Some(ParseError::BodyTooLong));
}

// Guards against a head whose end is missed when it arrives in pieces.
#[test]
fn the_end_of_a_head_is_found_in_any_pieces() {
    let message = b"GET /a HTTP/1.1\r\nA: b\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    for size in 1..message.len() {
        let mut reader = RequestReader::default();
        let mut buf = BytesMut::new();
        let mut paths = Vec::new();
        for piece in message.chunks(size) {
            buf.put_slice(piece);
            while let Some(request) = reader.next(&mut buf, BOUNDS).expect("sound requests") {
                paths.push(request.path().to_owned());
            }
        }
        assert_eq!(paths, ["/a", "/b"], "pieces of {size}");
    }
}
