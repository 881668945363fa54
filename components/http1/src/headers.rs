//! Header fields of requests and responses; names are compared without case.

use bytes::{BufMut, Bytes, BytesMut};
use smallvec::SmallVec;

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as spelled by the sender.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// The header fields of a message, in order; names may repeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(SmallVec<[Header; 8]>);

/// Largest number of header fields in a head, whatever its length; bounds the memory of decoded heads.
const MAX_HEADERS: usize = 512;
/// Number of header fields that are parsed without an allocation.
const INLINE_HEADERS: usize = 32;

/// Room for the parsed header fields of one head.
pub(crate) type HeaderSlots<'a> = SmallVec<[httparse::Header<'a>; INLINE_HEADERS]>;

/// Makes room for as many header fields as `head` has lines, at most [`MAX_HEADERS`].
pub(crate) fn header_slots(head: &[u8]) -> HeaderSlots<'_> {
    let lines = head.iter().filter(|b| **b == b'\n').count();
    SmallVec::from_elem(httparse::EMPTY_HEADER, lines.min(MAX_HEADERS))
}

/// Hop-by-hop header fields (RFC 9110, section 7.6.1): they apply to one connection and are not
/// forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// Converts parsed header fields; names and values share the bytes of `head`.
    pub(crate) fn from_parsed(head: &Bytes, parsed: &[httparse::Header<'_>]) -> Self {
        Self(
            parsed
                .iter()
                .map(|h| Header {
                    name: head.slice_ref(h.name.as_bytes()),
                    value: head.slice_ref(h.value.trim_ascii()),
                })
                .collect(),
        )
    }

    /// Appends a header field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Header {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Returns the first value of the header field `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|h| &h.value)
    }

    /// Returns the first value of the header field `name`; `None` also if it is not valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Iterates over the header fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Number of header fields.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns how many bytes the header fields take, about.
    #[must_use]
    pub fn memory(&self) -> usize {
        let text = self.0.iter().map(|h| h.name.len() + h.value.len());
        text.sum::<usize>() + self.0.len() * size_of::<Header>()
    }

    /// Returns whether there are no header fields.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Keeps the header fields for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&Header) -> bool) {
        self.0.retain(|h| keep(h));
    }

    /// Removes the hop-by-hop header fields, those that `Connection` lists and `Content-Length`.
    ///
    /// `Host` stays even if it is listed, as it decides which route a request has.
    pub fn remove_hop_by_hop(&mut self) {
        let connection_lists: SmallVec<[Bytes; 2]> = self
            .0
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(b"connection"))
            .map(|h| h.value.clone())
            .collect();
        self.0.retain(|h| {
            let is_listed = || {
                let mut lists = connection_lists.iter();
                lists.any(|list| list_contains(list, &h.name))
            };
            h.name.eq_ignore_ascii_case(b"host") || !(is_hop_by_hop(&h.name) || is_listed())
        });
    }

    /// Returns whether the comma-separated header field `name` contains `token`, ignoring case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.0
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name.as_bytes()))
            .any(|h| list_contains(&h.value, token.as_bytes()))
    }

    /// Writes the header fields, each with its line break.
    pub fn encode(&self, out: &mut BytesMut) {
        for h in &self.0 {
            put_header(out, &h.name, &h.value);
        }
    }
}

/// Writes one header field with its line break.
pub fn put_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.reserve(name.len() + value.len() + 4);
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Writes a header field with a numeric value.
pub fn put_numeric_header(out: &mut BytesMut, name: &[u8], value: u64) {
    put_header(out, name, itoa::Buffer::new().format(value).as_bytes());
}

fn is_hop_by_hop(name: &[u8]) -> bool {
    name.eq_ignore_ascii_case(b"content-length")
        || HOP_BY_HOP
            .iter()
            .any(|listed| name.eq_ignore_ascii_case(listed.as_bytes()))
}

/// Returns whether the comma-separated `list` contains `token`, ignoring case.
fn list_contains(list: &[u8], token: &[u8]) -> bool {
    list.split(|b| *b == b',')
        .any(|element| element.trim_ascii().eq_ignore_ascii_case(token))
}
