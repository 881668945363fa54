//! Header fields.

use bytes::{BufMut, Bytes, BytesMut};
use smallvec::SmallVec;

/// One header field as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the sender's spelling.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// The header fields of a message in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(SmallVec<[Header; 8]>);

/// Most header fields that a head may have.
pub const MAX_FIELDS: usize = 64;

/// Fields that concern one connection only and are never forwarded.
const HOP_FIELDS: [&str; 9] = [
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
    /// Copies parsed fields, sharing the bytes of `head`.
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

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Header {
            name: name.into(),
            value: value.into(),
        });
    }

    /// The first value of the field `name`, compared without case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|f| f.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|f| &f.value)
    }

    /// The first value of the field `name` as text, if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// All fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Number of fields.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no fields.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Keeps the fields for which `keep` is true.
    pub fn retain(&mut self, mut keep: impl FnMut(&Header) -> bool) {
        self.0.retain(|f| keep(f));
    }

    /// Removes the fields that concern one connection only, those that `Connection` names and
    /// the length of the body.
    pub fn remove_hop_fields(&mut self) {
        let named: SmallVec<[Bytes; 2]> = self
            .0
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(b"connection"))
            .map(|f| f.value.clone())
            .collect();
        self.0
            .retain(|f| !is_hop_field(&f.name) && !named.iter().any(|list| names(list, &f.name)));
    }

    /// Whether the list field `name` contains `token`, compared without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.0
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(name.as_bytes()))
            .any(|f| names(&f.value, token.as_bytes()))
    }

    /// Writes the fields as lines.
    pub fn encode(&self, out: &mut BytesMut) {
        for f in &self.0 {
            put_field(out, &f.name, &f.value);
        }
    }
}

/// Writes one field as a line.
pub fn put_field(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.reserve(name.len() + value.len() + 4);
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Writes a field that holds a number.
pub fn put_number(out: &mut BytesMut, name: &[u8], value: u64) {
    put_field(out, name, itoa::Buffer::new().format(value).as_bytes());
}

fn is_hop_field(name: &[u8]) -> bool {
    name.eq_ignore_ascii_case(b"content-length")
        || HOP_FIELDS
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

/// Whether the comma-separated `list` contains `token`.
fn names(list: &[u8], token: &[u8]) -> bool {
    list.split(|b| *b == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}
