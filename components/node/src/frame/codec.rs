//! Encoding of frames on a connection.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};

use super::{Features, Frame};

/// Maximum length of an encoded frame: room for a body of 64 MiB, the default limit, and the rest.
pub const MAX_FRAME_BYTES: usize = 80 << 20;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than allowed.
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Length of the frame.
        length: usize,
    },
    /// The frame cannot be encoded or decoded.
    #[snafu(display("frame is malformed: {source}"))]
    Malformed {
        /// The encoder's or decoder's error.
        source: postcard::Error,
    },
}

/// Checks that a frame or body is not longer than the longest frame.
///
/// # Errors
/// Returns `TooLong` if it is.
pub fn check_length(length: usize) -> Result<(), FrameError> {
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    Ok(())
}

/// Encodes a [`Frame::BodyPart`] up to its bytes, of which there are `length`, so that they need not
/// be copied.
///
/// # Errors
/// Returns `Malformed` if it cannot be encoded.
pub fn encode_part_prefix(id: u64, length: usize) -> Result<Bytes, FrameError> {
    let bytes = Bytes::new();
    let mut prefix = postcard::to_stdvec(&Frame::BodyPart { id, bytes }).context(MalformedSnafu)?;
    // The length of the bytes, 0 here, comes last.
    prefix.pop();
    prefix.extend(postcard::to_stdvec(&length).context(MalformedSnafu)?);
    let frame_bytes = prefix.len() + length;
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + prefix.len());
    out.put_u32(u32::try_from(frame_bytes).unwrap_or(u32::MAX));
    out.extend_from_slice(&prefix);
    Ok(out.freeze())
}

/// Encodes a frame with its length prefix.
///
/// # Errors
/// Returns `TooLong` if the frame exceeds the maximum length, `Malformed` if it cannot be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    let mut body = postcard::to_stdvec(frame).context(MalformedSnafu)?;
    if let Frame::Hello(status) = frame {
        let features = status.features.encode().context(MalformedSnafu)?;
        body.extend_from_slice(&features);
    }
    let length = body.len();
    check_length(length)?;
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + length);
    out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    out.extend_from_slice(&body);
    Ok(out.freeze())
}

/// Removes the next frame from `buf` and decodes it; returns `None` until it is complete.
///
/// # Errors
/// Returns an error if the frame is too long or malformed.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    if buf.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    check_length(length)?;
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let body = buf.split_to(length);
    let (mut frame, rest) = postcard::take_from_bytes(&body).context(MalformedSnafu)?;
    if let Frame::Hello(status) = &mut frame {
        status.features = Features::decode(rest).context(MalformedSnafu)?;
    }
    Ok(Some(frame))
}
