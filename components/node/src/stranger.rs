//! Bounds what a process may send to the port for peers before it has introduced itself.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// Largest number of bytes before and including the first `Hello`, which takes a few hundred bytes for
/// each service and region that it names.
const MAX_BYTES: usize = 262_144;

/// A process that has sent no `Hello` yet.
#[derive(Clone, Default)]
pub(crate) struct Stranger {
    introduced: Rc<Cell<bool>>,
}

/// A connection whose reads fail once a stranger has sent too much.
pub(crate) struct LimitedRead<R> {
    read: R,
    stranger: Stranger,
    received: usize,
}

impl Stranger {
    /// Limits what is read from `read` until the process has introduced itself.
    pub(crate) fn limit<R>(&self, read: R) -> LimitedRead<R> {
        LimitedRead {
            read,
            stranger: self.clone(),
            received: 0,
        }
    }

    /// Lifts the limit.
    pub(crate) fn introduce(&self) {
        self.introduced.set(true);
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for LimitedRead<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.read).poll_read(cx, buf))?;
        if !self.stranger.introduced.get() {
            self.received += buf.filled().len() - before;
            if self.received > MAX_BYTES {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        Poll::Ready(Ok(()))
    }
}
