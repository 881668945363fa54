//! Header fields that concern one connection.

use bytes::Bytes;
use http1::headers::Headers;

// Guards against a caller that has `Host` removed on the way by listing it in `Connection`, so that
// another process finds no route, and no home regions, for the request.
#[test]
fn host_stays_although_connection_lists_it() {
    let mut headers = Headers::default();
    for (name, value) in [
        ("Connection", "host, x-mine"),
        ("Host", "h.example"),
        ("X-Mine", "1"),
    ] {
        headers.push(Bytes::from(name), Bytes::from(value));
    }
    headers.remove_hop_by_hop();
    let names: Vec<&[u8]> = headers.iter().map(|h| &h.name[..]).collect();
    assert_eq!(names, [b"Host"]);
}
