//! Requests as callers send them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A request of a caller; its text is what goes over the connection.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Id of the attempt.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// The key, if it has one.
    pub key: Option<u16>,
    /// How long the caller is ready to wait.
    pub patience: Duration,
}

impl Display for Call<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} HTTP/1.1\r\n", self.method, self.path)?;
        write!(f, "Host: h.example\r\nRequest-Id: {}\r\n", self.id)?;
        write!(f, "Deadline-Ms: {}\r\n", self.patience.as_millis())?;
        if let Some(key) = self.key {
            write!(f, "Shard-Key: {key}\r\n")?;
        }
        write!(f, "Content-Length: 0\r\n\r\n")
    }
}
