//! Writes the responses of one connection in turn, while the requests behind them go on.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use http1::response::{Response, encode, encode_head};
use timer::{BootClock, Clock};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use world::instant::BootInstant;

use crate::open_request::OpenRequest;

/// Largest body that is copied behind its head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 16_384;

/// Responses that wait for their turn, and the one that is being written.
pub(crate) struct ResponseWriter {
    write: OwnedWriteHalf,
    waiting: VecDeque<(Response, OpenRequest)>,
    current: Option<Current>,
}

struct Current {
    head: Bytes,
    body: Bytes,
    length: usize,
    started: BootInstant,
    close: bool,
    _request: OpenRequest,
}

/// A response that has been written.
pub(crate) struct Written {
    /// Length of its body.
    pub(crate) length: usize,
    /// Whether the connection ends with it.
    pub(crate) close: bool,
}

impl ResponseWriter {
    pub(crate) fn new(write: OwnedWriteHalf) -> Self {
        Self {
            write,
            waiting: VecDeque::new(),
            current: None,
        }
    }

    /// Appends a response.
    pub(crate) fn push(&mut self, response: Response, request: OpenRequest) {
        self.waiting.push_back((response, request));
    }

    /// Returns whether nothing waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.is_none() && self.waiting.is_empty()
    }

    /// Returns how many responses have not been written.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.current.is_some())
    }

    /// Returns when the response that is being written was begun.
    pub(crate) fn started(&self) -> Option<BootInstant> {
        self.current.as_ref().map(|c| c.started)
    }

    /// Begins the next response if none is being written; `close` decides whether the connection ends
    /// with it.
    pub(crate) fn begin(&mut self, close: impl FnOnce(&OpenRequest) -> bool) {
        if self.current.is_some() {
            return;
        }
        let Some((mut response, request)) = self.waiting.pop_front() else {
            return;
        };
        let close = close(&request);
        let length = response.body.len();
        let mut head = BytesMut::new();
        let body = if length <= MAX_COPIED_BYTES {
            encode(&mut head, &response, close);
            Bytes::new()
        } else {
            encode_head(&mut head, &response, close);
            std::mem::take(&mut response.body)
        };
        self.current = Some(Current {
            head: head.freeze(),
            body,
            length,
            started: BootClock.now(),
            close,
            _request: request,
        });
    }

    /// Writes what it can of the response that was begun; returns it once it is written.
    ///
    /// Nothing is lost if the future is dropped.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub(crate) async fn write(&mut self) -> std::io::Result<Option<Written>> {
        let Some(current) = &mut self.current else {
            return Ok(None);
        };
        if current.head.has_remaining() {
            self.write.write_buf(&mut current.head).await?;
        } else {
            self.write.write_buf(&mut current.body).await?;
        }
        if current.head.has_remaining() || current.body.has_remaining() {
            return Ok(None);
        }
        let written = Written {
            length: current.length,
            close: current.close,
        };
        self.current = None;
        Ok(Some(written))
    }
}
