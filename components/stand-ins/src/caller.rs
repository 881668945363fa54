//! Encoding of a caller's HTTP request.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A caller's request; `Display` writes it as sent over the connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Value of the `Request-Id` header.
    pub id: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Request path.
    pub path: &'a str,
    /// Value of the `Shard-Key` header; `None` leaves the header out.
    pub key: Option<u16>,
    /// Value of the `Deadline-Ms` header, sent in milliseconds.
    pub timeout: Duration,
    /// Body.
    pub body: &'a str,
}

impl Display for CallerRequest<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} HTTP/1.1\r\n", self.method, self.path)?;
        write!(f, "Host: h.example\r\nRequest-Id: {}\r\n", self.id)?;
        write!(f, "Deadline-Ms: {}\r\n", self.timeout.as_millis())?;
        if let Some(key) = self.key {
            write!(f, "Shard-Key: {key}\r\n")?;
        }
        write!(f, "Content-Length: {}\r\n\r\n", self.body.len())?;
        f.write_str(self.body)
    }
}
