//! Errors of the codec.

use snafu::Snafu;

/// Why bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The head exceeds its size limit or has too many header fields.
    #[snafu(display("head exceeds the limit"))]
    HeadTooLong,
    /// The body exceeds its size limit.
    #[snafu(display("body exceeds the limit"))]
    BodyTooLong,
    /// The bytes violate the HTTP/1.1 syntax, or the message was truncated.
    #[snafu(display("malformed message: {element}"))]
    Malformed {
        /// Element of the message that is malformed.
        element: &'static str,
    },
}

/// Creates the error for a malformed `element`.
pub(crate) fn malformed(element: &'static str) -> ParseError {
    ParseError::Malformed { element }
}
