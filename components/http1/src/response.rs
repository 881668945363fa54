//! Answers.

use bytes::{BufMut, Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::error::{Error, malformed};
use crate::headers::{Headers, MAX_FIELDS, put_number};
use crate::request::head_end;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Decoded body.
    pub body: Bytes,
}

/// Longest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

#[derive(Debug)]
enum State {
    Head,
    Body(Box<Response>, Decoder),
}

/// Reads one answer from the bytes of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    state: State,
    body_limit: u64,
}

impl ResponseReader {
    /// Makes a reader for an answer whose body has at most `body_limit` bytes.
    #[must_use]
    pub fn new(body_limit: u64) -> Self {
        Self {
            state: State::Head,
            body_limit,
        }
    }

    /// Whether the head has been read.
    #[must_use]
    pub fn has_head(&self) -> bool {
        matches!(self.state, State::Body(..))
    }

    /// Takes the answer out of `buf` if it is there as a whole; `closed` says that no more comes.
    ///
    /// # Errors
    /// Fails if the bytes are no answer, or if the connection closed before its end.
    pub fn next(&mut self, buf: &mut BytesMut, closed: bool) -> Result<Option<Response>, Error> {
        while let State::Head = self.state {
            let Some((response, framing)) = parse_head(buf)? else {
                return if closed {
                    Err(malformed("cut answer"))
                } else {
                    Ok(None)
                };
            };
            if response.status < 200 {
                continue;
            }
            let decoder = Decoder::new(framing, self.body_limit)?;
            self.state = State::Body(Box::new(response), decoder);
        }
        let State::Body(_, decoder) = &mut self.state else {
            return Ok(None);
        };
        decoder.decode(buf)?;
        let done = decoder.is_done() || (closed && decoder.ends_with_connection());
        if !done {
            return if closed {
                Err(malformed("cut answer"))
            } else {
                Ok(None)
            };
        }
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(mut response, decoder) => {
                response.body = decoder.into_body();
                Ok(Some(*response))
            }
            State::Head => Ok(None),
        }
    }
}

fn parse_head(buf: &mut BytesMut) -> Result<Option<(Response, Framing)>, Error> {
    let Some(end) = head_end(buf) else {
        if buf.len() > MAX_HEAD_BYTES {
            return Err(Error::HeadTooLong);
        }
        return Ok(None);
    };
    let head = buf.split_to(end).freeze();
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(&head) {
        Ok(httparse::Status::Complete(_)) => {}
        _ => return Err(malformed("answer head")),
    }
    let status = parsed.code.ok_or(malformed("status"))?;
    let headers = Headers::from_parsed(&head, parsed.headers);
    let framing = match status {
        100..=199 | 204 | 304 => Framing::Length(0),
        _ => Framing::from_fields(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let response = Response {
        status,
        headers,
        body: Bytes::new(),
    };
    Ok(Some((response, framing)))
}

/// Usual reason phrase of a status code.
fn reason(status: u16) -> &'static str {
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

/// Writes a whole answer; `close` announces that the connection ends after it.
pub fn encode(out: &mut BytesMut, response: &Response, close: bool) {
    out.reserve(response.body.len() + 256);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(itoa::Buffer::new().format(response.status).as_bytes());
    out.put_u8(b' ');
    out.put_slice(reason(response.status).as_bytes());
    out.put_slice(b"\r\n");
    response.headers.encode(out);
    if response.status != 204 && response.status != 304 {
        put_number(out, b"Content-Length", response.body.len() as u64);
    }
    if close {
        out.put_slice(b"Connection: close\r\n");
    }
    out.put_slice(b"\r\n");
    out.put_slice(&response.body);
}

impl Response {
    /// Makes an answer without body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: Bytes::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Bytes>) -> Self {
        self.headers
            .push(Bytes::from_static(name.as_bytes()), value);
        self
    }
}
