//! What can be wrong with a message.

use snafu::Snafu;

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The head is longer than allowed.
    #[snafu(display("head exceeds the limit"))]
    HeadTooLong,
    /// The body is longer than allowed.
    #[snafu(display("body exceeds the limit"))]
    BodyTooLong,
    /// The bytes do not follow the protocol.
    #[snafu(display("malformed message: {what}"))]
    Malformed {
        /// Which part is at fault.
        what: &'static str,
    },
}

/// A fault of syntax in the part named `what`.
pub(crate) fn malformed(what: &'static str) -> Error {
    Error::Malformed { what }
}
