//! Incremental decoding and encoding of responses.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::error::{ParseError, malformed};
use crate::headers::{Headers, header_slots, put_numeric_header};
use crate::request::{self, HEAD_END_LENGTH};

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Decoded body.
    pub body: Bytes,
}

/// Largest head of a response in bytes, the interim responses before it included.
const MAX_HEAD_BYTES: usize = 65_536;
/// What each response begins with, after empty lines.
const PROTOCOL: &[u8] = b"HTTP/1.";

#[derive(Debug)]
enum State {
    Head,
    Body(Box<Response>, Decoder),
}

/// Decodes one response from the bytes of a connection; skips interim responses (1xx).
#[derive(Debug)]
pub struct ResponseReader {
    state: State,
    max_body_bytes: u64,
    /// Length of the heads of interim responses since the last response.
    head_bytes: usize,
    /// Bytes of the next head that have been searched for its end.
    scanned: usize,
}

impl ResponseReader {
    /// Creates a reader for a response with a body of at most `max_body_bytes` bytes.
    #[must_use]
    pub fn new(max_body_bytes: u64) -> Self {
        Self {
            state: State::Head,
            max_body_bytes,
            head_bytes: 0,
            scanned: 0,
        }
    }

    /// Returns how many decoded bytes of an incomplete body it holds.
    #[must_use]
    pub fn body_length(&self) -> usize {
        match &self.state {
            State::Head => 0,
            State::Body(_, decoder) => decoder.length(),
        }
    }

    /// Returns whether a head has been received whose response has not been returned yet.
    #[must_use]
    pub fn is_head_received(&self) -> bool {
        matches!(self.state, State::Body(..))
    }

    /// Consumes the response from `buf`; `None` if it is incomplete. `closed` says that the peer
    /// has closed the connection, so that no more bytes will be added to `buf`.
    ///
    /// # Errors
    /// Fails if the response is malformed or too large, or if the connection closed before its end.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<Response>, ParseError> {
        while let State::Head = self.state {
            let Some((response, framing)) = self.take_head(buf)? else {
                return if closed {
                    Err(malformed("cut answer"))
                } else {
                    Ok(None)
                };
            };
            if response.status < 200 {
                continue;
            }
            let decoder = Decoder::new(framing, self.max_body_bytes)?;
            self.state = State::Body(Box::new(response), decoder);
        }
        let State::Body(_, decoder) = &mut self.state else {
            return Ok(None);
        };
        decoder.decode(buf)?;
        let complete = decoder.is_complete() || (closed && decoder.is_until_close());
        if !complete {
            return if closed {
                Err(malformed("cut answer"))
            } else {
                Ok(None)
            };
        }
        self.head_bytes = 0;
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(mut response, decoder) => {
                response.body = decoder.into_body();
                Ok(Some(*response))
            }
            State::Head => Ok(None),
        }
    }

    /// Consumes a head from `buf`; `None` if it is incomplete.
    fn take_head(&mut self, buf: &mut BytesMut) -> Result<Option<(Response, Framing)>, ParseError> {
        self.skip_line_breaks(buf);
        if buf
            .iter()
            .zip(PROTOCOL)
            .any(|(byte, expected)| byte != expected)
        {
            return Err(malformed("answer head"));
        }
        let length = self.head_length(buf);
        if self.head_bytes + length.unwrap_or(buf.len()) > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLong);
        }
        let Some(length) = length else {
            return Ok(None);
        };
        self.head_bytes += length;
        self.scanned = 0;
        parse_head(buf.split_to(length).freeze()).map(Some)
    }

    /// Consumes the line breaks before a head.
    fn skip_line_breaks(&mut self, buf: &mut BytesMut) {
        let is_break = |b: &u8| matches!(b, b'\r' | b'\n');
        let count = buf.iter().take_while(|b| is_break(b)).count();
        buf.advance(count);
        self.head_bytes += count;
    }

    /// Returns the length of the head at the start of `buf`, `None` if it is incomplete; looks only at
    /// bytes that have arrived since the last call.
    fn head_length(&mut self, buf: &[u8]) -> Option<usize> {
        let from = self.scanned.saturating_sub(HEAD_END_LENGTH - 1);
        let length = request::head_length(&buf[from..]).map(|length| from + length);
        self.scanned = buf.len();
        length
    }
}

fn parse_head(head: Bytes) -> Result<(Response, Framing), ParseError> {
    let mut headers = header_slots(&head);
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(&head) {
        // A head that ends earlier, in bare line feeds, has part of the body behind it.
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        _ => return Err(malformed("answer head")),
    }
    let status = parsed.code.ok_or(malformed("status"))?;
    let headers = Headers::from_parsed(&head, parsed.headers);
    let framing = match status {
        100..=199 | 204 | 304 => Framing::Length(0),
        _ => Framing::from_headers(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let response = Response {
        status,
        headers,
        body: Bytes::new(),
    };
    Ok((response, framing))
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// Writes a response; with `close` it states that the connection closes after it.
pub fn encode(out: &mut BytesMut, response: &Response, close: bool) {
    out.reserve(response.body.len() + 256);
    encode_head(out, response, close);
    out.put_slice(&response.body);
}

/// Writes the head of a response; with `close` it states that the connection closes after it.
pub fn encode_head(out: &mut BytesMut, response: &Response, close: bool) {
    out.reserve(256);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(itoa::Buffer::new().format(response.status).as_bytes());
    out.put_u8(b' ');
    out.put_slice(reason_phrase(response.status).as_bytes());
    out.put_slice(b"\r\n");
    response.headers.encode(out);
    if response.status != 204 && response.status != 304 {
        put_numeric_header(out, b"Content-Length", response.body.len() as u64);
    }
    if close {
        out.put_slice(b"Connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

impl Response {
    /// Creates a response without header fields and body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: Bytes::new(),
        }
    }

    /// Appends a header field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Bytes>) -> Self {
        self.headers
            .push(Bytes::from_static(name.as_bytes()), value);
        self
    }
}
