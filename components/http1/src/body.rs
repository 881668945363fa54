//! Decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::{ParseError, malformed};
use crate::headers::Headers;

/// Largest chunk size line or trailer line in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Largest sum of the lines between chunks and of the trailer, in bytes: this and, for each byte of the
/// body, [`MAX_LINE_BYTES_PER_BYTE`].
const MAX_LINE_BYTES: usize = 65_536;
/// Bytes of lines allowed for each byte of the body; a chunk of one byte takes five.
const MAX_LINE_BYTES_PER_BYTE: usize = 8;

/// Least room for a body of stated length, unless it is shorter.
const MIN_RESERVE_BYTES: usize = 4_096;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl Framing {
    /// Returns the framing that the header fields state; `None` if they state none.
    ///
    /// # Errors
    /// Fails on contradictory or unknown framing, since two parsers could disagree on it (request
    /// smuggling).
    pub fn from_headers(headers: &Headers) -> Result<Option<Self>, ParseError> {
        let mut length = None;
        let mut chunked = false;
        for header in headers.iter() {
            if header.name.eq_ignore_ascii_case(b"content-length") {
                let value = parse_length(&header.value)?;
                if length.is_some_and(|l| l != value) {
                    return Err(malformed("content-length"));
                }
                length = Some(value);
            }
            if header.name.eq_ignore_ascii_case(b"transfer-encoding") {
                if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
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

fn parse_length(value: &[u8]) -> Result<u64, ParseError> {
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

/// Decodes one body from the bytes of a connection.
#[derive(Debug)]
pub struct Decoder {
    step: Step,
    body: BytesMut,
    max_bytes: u64,
    /// Length of what has been decoded so far, kept or not.
    decoded: u64,
    /// Whether the bytes of the body are dropped as they are decoded.
    discarding: bool,
    /// Length of all chunk size lines and trailer lines so far.
    line_bytes: usize,
}

impl Decoder {
    /// Creates a decoder for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Fails if the stated length exceeds `max_bytes`.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<Self, ParseError> {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) if n > max_bytes => return Err(ParseError::BodyTooLong),
            Framing::Length(n) => Step::Length(n),
            Framing::Chunked => Step::ChunkLine,
            Framing::UntilClose => Step::UntilClose,
        };
        Ok(Self {
            step,
            body: BytesMut::new(),
            max_bytes,
            decoded: 0,
            discarding: false,
            line_bytes: 0,
        })
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.step == Step::Done
    }

    /// Returns whether the body ends when the connection closes.
    #[must_use]
    pub fn is_until_close(&self) -> bool {
        self.step == Step::UntilClose
    }

    /// Returns the length of what is kept of the body so far.
    #[must_use]
    pub fn length(&self) -> usize {
        self.body.len()
    }

    /// Returns how much memory is taken for what is kept of the body.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the length of what has been decoded so far, kept or not.
    #[must_use]
    pub fn decoded(&self) -> u64 {
        self.decoded
    }

    /// Drops what has been decoded, and what follows as it is decoded; the limits still apply.
    pub fn discard(&mut self) {
        self.discarding = true;
        self.body = BytesMut::new();
    }

    /// Returns whether bytes of the body have been dropped.
    #[must_use]
    pub fn is_discarding(&self) -> bool {
        self.discarding
    }

    /// Returns the decoded body.
    #[must_use]
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    /// Consumes the bytes of this body from `buf`; bytes after the body remain there.
    ///
    /// # Errors
    /// Fails if the body exceeds the limit or its chunks are malformed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<(), ParseError> {
        while self.step != Step::Done {
            let advanced = match self.step {
                Step::Length(remaining) => self.take_data(buf, remaining, Step::Length, Step::Done),
                Step::Chunk(remaining) => {
                    self.take_data(buf, remaining, Step::Chunk, Step::ChunkEnd)
                }
                Step::ChunkLine => self.take_chunk_line(buf)?,
                Step::ChunkEnd => self.take_chunk_end(buf)?,
                Step::Trailer => self.take_trailer(buf)?,
                Step::UntilClose => self.take_data(buf, u64::MAX, |_| Step::UntilClose, Step::Done),
                Step::Done => false,
            };
            if self.decoded > self.max_bytes {
                return Err(ParseError::BodyTooLong);
            }
            if !advanced {
                break;
            }
        }
        Ok(())
    }

    /// Consumes up to `remaining` bytes; returns whether it consumed any.
    fn take_data(
        &mut self,
        buf: &mut BytesMut,
        remaining: u64,
        more: fn(u64) -> Step,
        done: Step,
    ) -> bool {
        let count = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buf.len());
        if count == 0 {
            return false;
        }
        self.decoded += count as u64;
        if !self.discarding {
            self.reserve(remaining, count);
            self.body.extend_from_slice(&buf[..count]);
        }
        buf.advance(count);
        let remaining_after = remaining - count as u64;
        self.step = if remaining_after == 0 {
            done
        } else {
            more(remaining_after)
        };
        true
    }

    /// Makes room for `count` more bytes of a body of stated length, which has `remaining` more.
    ///
    /// Room grows by doubling, in steps that end at the stated length: doubling beyond it could take twice
    /// as much, and room for all of it at once would be taken up by senders that stop early.
    fn reserve(&mut self, remaining: u64, count: usize) {
        let length = self.body.len();
        let is_stated = matches!(self.step, Step::Length(_));
        if !is_stated || self.body.capacity() >= length + count {
            return;
        }
        let stated = usize::try_from(remaining).map_or(usize::MAX, |n| n.saturating_add(length));
        let needed = (length + count).max(MIN_RESERVE_BYTES);
        let mut room = stated;
        while room / 2 >= needed {
            room = room.div_ceil(2);
        }
        self.body.reserve(room - length);
    }

    fn take_chunk_line(&mut self, buf: &mut BytesMut) -> Result<bool, ParseError> {
        let Some(line) = self.take_line(buf)? else {
            return Ok(false);
        };
        let digits = line[..].split(|b| *b == b';').next().unwrap_or_default();
        let size = std::str::from_utf8(digits.trim_ascii())
            .ok()
            .filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|t| u64::from_str_radix(t, 16).ok())
            .ok_or(malformed("chunk size"))?;
        if size > self.max_bytes {
            return Err(ParseError::BodyTooLong);
        }
        self.step = if size == 0 {
            Step::Trailer
        } else {
            Step::Chunk(size)
        };
        Ok(true)
    }

    fn take_chunk_end(&mut self, buf: &mut BytesMut) -> Result<bool, ParseError> {
        let Some(line) = self.take_line(buf)? else {
            return Ok(false);
        };
        if !line.is_empty() {
            return Err(malformed("end of chunk"));
        }
        self.step = Step::ChunkLine;
        Ok(true)
    }

    fn take_trailer(&mut self, buf: &mut BytesMut) -> Result<bool, ParseError> {
        let Some(line) = self.take_line(buf)? else {
            return Ok(false);
        };
        if line.is_empty() {
            self.step = Step::Done;
        }
        Ok(true)
    }

    /// Returns the largest sum of the lines between the chunks decoded so far.
    fn line_limit(&self) -> usize {
        let decoded = usize::try_from(self.decoded).unwrap_or(usize::MAX);
        MAX_LINE_BYTES.saturating_add(MAX_LINE_BYTES_PER_BYTE.saturating_mul(decoded))
    }

    /// Consumes one line and returns it without its line break; `None` if it is incomplete.
    fn take_line(&mut self, buf: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
        let end = buf.iter().position(|b| *b == b'\n');
        if end.unwrap_or(buf.len()) > MAX_CHUNK_LINE_BYTES {
            return Err(malformed("chunk line"));
        }
        let Some(end) = end else {
            return Ok(None);
        };
        self.line_bytes += end + 1;
        if self.line_bytes > self.line_limit() {
            return Err(malformed("chunk lines"));
        }
        let mut line = buf.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line))
    }
}
