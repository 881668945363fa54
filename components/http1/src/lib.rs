//! HTTP/1.1 messages: heads are parsed by `httparse`, bodies are framed by length, by chunks or
//! by the end of the connection. Nothing here touches a socket.

pub mod body;
pub mod error;
pub mod headers;
pub mod request;
pub mod response;
