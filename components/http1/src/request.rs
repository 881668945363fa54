//! Requests.

use bytes::{BufMut, Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::error::{Error, malformed};
use crate::headers::{Headers, MAX_FIELDS};

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method as sent.
    pub method: Bytes,
    /// Target as sent: path and query.
    pub target: Bytes,
    /// Header fields.
    pub headers: Headers,
    /// Decoded body.
    pub body: Bytes,
    /// Whether the sender wants the connection closed after the answer.
    pub close: bool,
}

impl Request {
    /// The target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        let end = self.target.iter().position(|b| *b == b'?');
        std::str::from_utf8(&self.target[..end.unwrap_or(self.target.len())]).unwrap_or_default()
    }
}

/// Bounds on what a sender may send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: u64,
}

#[derive(Debug)]
enum State {
    Head,
    Body(Box<Request>, Decoder),
}

/// Reads requests from the bytes of one connection.
#[derive(Debug)]
pub struct Reader {
    state: State,
}

impl Default for Reader {
    fn default() -> Self {
        Self { state: State::Head }
    }
}

impl Reader {
    /// Whether a request has been read in part.
    #[must_use]
    pub fn is_midway(&self, buf: &BytesMut) -> bool {
        !buf.is_empty() || matches!(self.state, State::Body(..))
    }

    /// Takes the next whole request out of `buf`, if it is there.
    ///
    /// # Errors
    /// Fails if the bytes are no request or exceed `bounds`.
    pub fn next(&mut self, buf: &mut BytesMut, bounds: Bounds) -> Result<Option<Request>, Error> {
        if let State::Head = self.state {
            let Some((request, framing)) = parse_head(buf, bounds.head_bytes)? else {
                return Ok(None);
            };
            let decoder = Decoder::new(framing, bounds.body_bytes)?;
            self.state = State::Body(Box::new(request), decoder);
        }
        if let State::Body(_, decoder) = &mut self.state {
            decoder.decode(buf)?;
            if !decoder.is_done() {
                return Ok(None);
            }
        }
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(mut request, decoder) => {
                request.body = decoder.into_body();
                Ok(Some(*request))
            }
            State::Head => Ok(None),
        }
    }
}

/// Parses a head and takes it out of `buf`.
fn parse_head(buf: &mut BytesMut, limit: usize) -> Result<Option<(Request, Framing)>, Error> {
    let Some(end) = head_end(buf) else {
        if buf.len() > limit {
            return Err(Error::HeadTooLong);
        }
        return Ok(None);
    };
    if end > limit {
        return Err(Error::HeadTooLong);
    }
    let head = buf.split_to(end).freeze();
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(&head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(malformed("request head")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(malformed("request head")),
    }
    let method = parsed.method.unwrap_or_default();
    let target = parsed.path.unwrap_or_default();
    let headers = Headers::from_parsed(&head, parsed.headers);
    let framing = Framing::from_fields(&headers)?.unwrap_or(Framing::Length(0));
    let old = parsed.version == Some(0);
    let close = headers.has_token("connection", "close") || old;
    let request = Request {
        method: head.slice_ref(method.as_bytes()),
        target: head.slice_ref(target.as_bytes()),
        headers,
        body: Bytes::new(),
        close,
    };
    Ok(Some((request, framing)))
}

/// Length of the head at the start of `buf`, if it is there as a whole.
pub(crate) fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

/// Writes a request line.
pub fn put_request_line(out: &mut BytesMut, method: &[u8], target: &[u8]) {
    out.reserve(method.len() + target.len() + 16);
    out.put_slice(method);
    out.put_u8(b' ');
    out.put_slice(target);
    out.put_slice(b" HTTP/1.1\r\n");
}
