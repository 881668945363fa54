//! Decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::{Error, malformed};
use crate::headers::Headers;

/// Longest line that announces a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// The framing that the fields of a head announce, if they announce any.
    ///
    /// # Errors
    /// Contradictory or unknown framing is malformed, since two readers could disagree on it.
    pub fn from_fields(headers: &Headers) -> Result<Option<Self>, Error> {
        let mut length = None;
        let mut chunked = false;
        for f in headers.iter() {
            if f.name.eq_ignore_ascii_case(b"content-length") {
                let value = parse_length(&f.value)?;
                if length.is_some_and(|l| l != value) {
                    return Err(malformed("content-length"));
                }
                length = Some(value);
            }
            if f.name.eq_ignore_ascii_case(b"transfer-encoding") {
                if chunked || !f.value.eq_ignore_ascii_case(b"chunked") {
                    return Err(malformed("transfer-encoding"));
                }
                chunked = true;
            }
        }
        match (length, chunked) {
            (Some(_), true) => Err(malformed("both length and chunks")),
            (Some(n), false) => Ok(Some(Framing::Length(n))),
            (None, true) => Ok(Some(Framing::Chunked)),
            (None, false) => Ok(None),
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Error> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)
        .and_then(|t| t.parse().ok())
        .ok_or(malformed("content-length"))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Collects one body from the bytes of a connection.
#[derive(Debug)]
pub struct Decoder {
    step: Step,
    body: BytesMut,
    limit: u64,
}

impl Decoder {
    /// Makes a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails at once if the announced length exceeds the limit.
    pub fn new(framing: Framing, limit: u64) -> Result<Self, Error> {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) if n > limit => return Err(Error::BodyTooLong),
            Framing::Length(n) => Step::Length(n),
            Framing::Chunked => Step::ChunkLine,
            Framing::UntilClose => Step::UntilClose,
        };
        Ok(Self {
            step,
            body: BytesMut::new(),
            limit,
        })
    }

    /// Whether the whole body has been collected.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Whether the end of the connection completes the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.step == Step::UntilClose
    }

    /// The collected body.
    #[must_use]
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    /// Moves bytes of this body out of `buf`; bytes behind the body stay there.
    ///
    /// # Errors
    /// Fails if the body is too long or its chunks are malformed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<(), Error> {
        while self.step != Step::Done {
            let advanced = match self.step {
                Step::Length(left) => self.take_data(buf, left, Step::Length, Step::Done),
                Step::Chunk(left) => self.take_data(buf, left, Step::Chunk, Step::ChunkEnd),
                Step::ChunkLine => self.take_chunk_line(buf)?,
                Step::ChunkEnd => self.take_chunk_end(buf)?,
                Step::Trailer => self.take_trailer(buf)?,
                Step::UntilClose => self.take_data(buf, u64::MAX, |_| Step::UntilClose, Step::Done),
                Step::Done => false,
            };
            if self.body.len() as u64 > self.limit {
                return Err(Error::BodyTooLong);
            }
            if !advanced {
                break;
            }
        }
        Ok(())
    }

    /// Takes up to `left` bytes; returns whether anything was taken.
    fn take_data(
        &mut self,
        buf: &mut BytesMut,
        left: u64,
        more: fn(u64) -> Step,
        done: Step,
    ) -> bool {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        if count == 0 {
            return false;
        }
        self.body.extend_from_slice(&buf[..count]);
        buf.advance(count);
        let rest = left - count as u64;
        self.step = if rest == 0 { done } else { more(rest) };
        true
    }

    fn take_chunk_line(&mut self, buf: &mut BytesMut) -> Result<bool, Error> {
        let Some(line) = take_line(buf)? else {
            return Ok(false);
        };
        let digits = line[..].split(|b| *b == b';').next().unwrap_or_default();
        let size = std::str::from_utf8(digits.trim_ascii())
            .ok()
            .filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|t| u64::from_str_radix(t, 16).ok())
            .ok_or(malformed("chunk size"))?;
        if size > self.limit {
            return Err(Error::BodyTooLong);
        }
        self.step = if size == 0 {
            Step::Trailer
        } else {
            Step::Chunk(size)
        };
        Ok(true)
    }

    fn take_chunk_end(&mut self, buf: &mut BytesMut) -> Result<bool, Error> {
        let Some(line) = take_line(buf)? else {
            return Ok(false);
        };
        if !line.is_empty() {
            return Err(malformed("end of chunk"));
        }
        self.step = Step::ChunkLine;
        Ok(true)
    }

    fn take_trailer(&mut self, buf: &mut BytesMut) -> Result<bool, Error> {
        let Some(line) = take_line(buf)? else {
            return Ok(false);
        };
        if line.is_empty() {
            self.step = Step::Done;
        }
        Ok(true)
    }
}

/// Takes one line without its end, if it is there as a whole.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        if buf.len() > MAX_CHUNK_LINE_BYTES {
            return Err(malformed("chunk line"));
        }
        return Ok(None);
    };
    let mut line = buf.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Ok(Some(line))
}
