//! Incremental HTTP/1.1 codec without I/O.
//!
//! Heads are parsed by `httparse`; bodies are framed by length, by chunks or by the end of the
//! connection.

pub mod body;
pub mod error;
pub mod headers;
pub mod request;
pub mod response;
