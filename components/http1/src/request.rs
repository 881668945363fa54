//! Incremental decoding of requests, and encoding of request lines.

use bytes::{BufMut, Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::error::{ParseError, malformed};
use crate::headers::{Header, Headers, header_slots};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method as received.
    pub method: Bytes,
    /// Request target as received: path and query, in absolute form after scheme and authority.
    pub target: Bytes,
    /// Header fields.
    pub headers: Headers,
    /// Decoded body; empty if it was discarded.
    pub body: Bytes,
    /// Whether the body was discarded while it was received, so that the request cannot be forwarded.
    pub body_discarded: bool,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

impl Request {
    /// Returns the path of the target, without its query; empty if it is not valid UTF-8.
    #[must_use]
    pub fn path(&self) -> &str {
        target_path(&self.target)
    }
}

/// Returns the path of a request target, without its query; empty if it is not valid UTF-8.
#[must_use]
pub fn target_path(target: &[u8]) -> &str {
    let (authority, rest) = split_target(target);
    let query = rest.iter().position(|b| *b == b'?');
    let path = &rest[..query.unwrap_or(rest.len())];
    if path.is_empty() && authority.is_some() {
        return "/";
    }
    std::str::from_utf8(path).unwrap_or_default()
}

/// Starts of request targets in absolute form (RFC 9112, section 3.2.2).
const SCHEMES: [&[u8]; 2] = [b"http://", b"https://"];

fn strip_scheme(target: &[u8]) -> Option<&[u8]> {
    SCHEMES.iter().find_map(|scheme| {
        let (start, rest) = target.split_at_checked(scheme.len())?;
        start.eq_ignore_ascii_case(scheme).then_some(rest)
    })
}

/// Splits a request target into its authority, `None` if it is not in absolute form, and path with query.
#[must_use]
pub fn split_target(target: &[u8]) -> (Option<&[u8]>, &[u8]) {
    let Some(rest) = strip_scheme(target) else {
        return (None, target);
    };
    let end = rest.iter().position(|b| matches!(b, b'/' | b'?'));
    let (authority, rest) = rest.split_at(end.unwrap_or(rest.len()));
    (Some(authority), rest)
}

/// Size limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: u64,
}

#[derive(Debug)]
enum State {
    Head,
    Body(Box<Request>, Decoder),
    /// The stated length of the body exceeds the limit.
    Refused(Box<Request>),
}

/// Decodes consecutive requests from the bytes of one connection.
#[derive(Debug)]
pub struct RequestReader {
    state: State,
    /// Bytes of the next head that have been searched for its end.
    scanned: usize,
    /// Length of the head of the request whose body is incomplete.
    head_bytes: usize,
}

impl Default for RequestReader {
    fn default() -> Self {
        Self {
            state: State::Head,
            scanned: 0,
            head_bytes: 0,
        }
    }
}

impl RequestReader {
    /// Returns whether part of a request has been received.
    #[must_use]
    pub fn has_partial_request(&self, buf: &BytesMut) -> bool {
        !buf.is_empty() || self.incomplete().is_some()
    }

    /// Returns the request of which the head has been received, but not the whole body; without its body.
    #[must_use]
    pub fn incomplete(&self) -> Option<&Request> {
        match &self.state {
            State::Head => None,
            State::Body(request, _) | State::Refused(request) => Some(request),
        }
    }

    /// Returns how many bytes the incomplete request takes, its decoded header fields included; not those
    /// in the buffer of the connection.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let head = |r: &Request| self.head_bytes + r.headers.len() * size_of::<Header>();
        match &self.state {
            State::Head => 0,
            State::Body(request, decoder) => head(request) + decoder.memory(),
            State::Refused(request) => head(request),
        }
    }

    /// Returns how many bytes of the body of the incomplete request have been received; `None` while its
    /// head is incomplete.
    #[must_use]
    pub fn body_received(&self) -> Option<u64> {
        match &self.state {
            State::Body(_, decoder) => Some(decoder.decoded()),
            State::Head | State::Refused(_) => None,
        }
    }

    /// Drops what has been received of the body of the incomplete request, and what follows.
    pub fn discard_body(&mut self) {
        if let State::Body(_, decoder) = &mut self.state {
            decoder.discard();
        }
    }

    /// Returns whether the body of the incomplete request is discarded.
    #[must_use]
    pub fn is_discarding(&self) -> bool {
        matches!(&self.state, State::Body(_, decoder) if decoder.is_discarding())
    }

    /// Consumes the next request from `buf`; `None` if it is incomplete.
    ///
    /// # Errors
    /// Fails if the request is malformed or exceeds `bounds`.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        bounds: Bounds,
    ) -> Result<Option<Request>, ParseError> {
        if let State::Head = self.state {
            let length = self.head_length(buf);
            let Some((request, framing)) = parse_head(buf, length, bounds.head_bytes)? else {
                return Ok(None);
            };
            self.head_bytes = length.unwrap_or_default();
            let request = Box::new(request);
            match Decoder::new(framing, bounds.body_bytes) {
                Ok(decoder) => self.state = State::Body(request, decoder),
                Err(error) => {
                    self.state = State::Refused(request);
                    return Err(error);
                }
            }
        }
        if let State::Body(_, decoder) = &mut self.state {
            decoder.decode(buf)?;
            if !decoder.is_complete() {
                return Ok(None);
            }
        }
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(mut request, decoder) => {
                request.body_discarded = decoder.is_discarding();
                request.body = decoder.into_body();
                Ok(Some(*request))
            }
            State::Head | State::Refused(_) => Ok(None),
        }
    }

    /// Returns the length of the head at the start of `buf`, `None` if it is incomplete; looks only at
    /// bytes that have arrived since the last call.
    fn head_length(&mut self, buf: &[u8]) -> Option<usize> {
        let from = self
            .scanned
            .saturating_sub(HEAD_END_LENGTH - 1)
            .min(buf.len());
        let length = head_length(&buf[from..]).map(|length| from + length);
        self.scanned = if length.is_some() { 0 } else { buf.len() };
        length
    }
}

/// Consumes a request head of `length` bytes from `buf`; `None` if it is incomplete.
fn parse_head(
    buf: &mut BytesMut,
    length: Option<usize>,
    max_bytes: usize,
) -> Result<Option<(Request, Framing)>, ParseError> {
    let Some(length) = length else {
        if buf.len() > max_bytes {
            return Err(ParseError::HeadTooLong);
        }
        return Ok(None);
    };
    if length > max_bytes {
        return Err(ParseError::HeadTooLong);
    }
    let head = buf.split_to(length).freeze();
    let mut headers = header_slots(&head);
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(&head) {
        // A head that ends earlier, in bare line feeds, has part of the body behind it.
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(malformed("request head")),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Err(_) => return Err(malformed("request head")),
    }
    let method = parsed.method.unwrap_or_default();
    let target = parsed.path.unwrap_or_default();
    let headers = Headers::from_parsed(&head, parsed.headers);
    let framing = Framing::from_headers(&headers)?.unwrap_or(Framing::Length(0));
    let is_http_1_0 = parsed.version == Some(0);
    let close = headers.has_token("connection", "close") || is_http_1_0;
    let request = Request {
        method: head.slice_ref(method.as_bytes()),
        target: head.slice_ref(target.as_bytes()),
        headers,
        body: Bytes::new(),
        body_discarded: false,
        close,
    };
    Ok(Some((request, framing)))
}

/// Length of the empty line that ends a head, with the line break before it.
pub(crate) const HEAD_END_LENGTH: usize = 4;

/// Returns the length of the head at the start of `buf`; `None` if it is incomplete.
pub(crate) fn head_length(buf: &[u8]) -> Option<usize> {
    let mut windows = buf.windows(HEAD_END_LENGTH);
    let end = windows.position(|w| w == b"\r\n\r\n");
    end.map(|i| i + HEAD_END_LENGTH)
}

/// Writes a request line.
pub fn put_request_line(out: &mut BytesMut, method: &[u8], target: &[u8]) {
    out.reserve(method.len() + target.len() + 16);
    out.put_slice(method);
    out.put_u8(b' ');
    out.put_slice(target);
    out.put_slice(b" HTTP/1.1\r\n");
}
