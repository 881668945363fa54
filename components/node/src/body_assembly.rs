//! Bodies that arrive in parts over one connection.

use std::collections::HashMap;

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

use crate::frame::MAX_FRAME_BYTES;

/// Why a connection is closed, whose parts do not form bodies.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// A body is longer than allowed.
    #[snafu(display("body of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Its stated length.
        length: u64,
    },
    /// A body begins under the id of an incomplete one.
    #[snafu(display("a second body begins under the id {id}"))]
    Repeated {
        /// The id.
        id: u64,
    },
    /// A part belongs to no body.
    #[snafu(display("a part without a body under the id {id}"))]
    NoHead {
        /// The id.
        id: u64,
    },
    /// There are more bytes than stated.
    #[snafu(display("more bytes than stated under the id {id}"))]
    Overlong {
        /// The id.
        id: u64,
    },
}

/// An incomplete body, with what belongs to it.
struct Partial<H> {
    /// `None` if the body is not wanted any more.
    head: Option<H>,
    bytes: BytesMut,
    /// Length for which `bytes` was allocated.
    allocated: usize,
    missing: usize,
}

/// The incomplete bodies of one connection, each with the head `H` that has preceded it.
pub struct BodyAssembly<H> {
    bodies: HashMap<u64, Partial<H>>,
    /// Sum of the lengths for which buffers are allocated.
    allocated_bytes: usize,
}

impl<H> Default for BodyAssembly<H> {
    fn default() -> Self {
        Self {
            bodies: HashMap::new(),
            allocated_bytes: 0,
        }
    }
}

impl<H> BodyAssembly<H> {
    /// Begins a body of a stated length.
    ///
    /// The whole buffer is allocated at once: it does not grow by doubling, and the operating system
    /// backs it with memory only as far as bytes arrive.
    ///
    /// # Errors
    /// Returns an error if the length exceeds that of the longest frame or the body has begun before.
    pub fn begin(&mut self, id: u64, head: H, length: u64) -> Result<(), BodyError> {
        let bytes = usize::try_from(length).unwrap_or(usize::MAX);
        ensure!(bytes <= MAX_FRAME_BYTES, TooLongSnafu { length });
        ensure!(!self.bodies.contains_key(&id), RepeatedSnafu { id });
        let partial = Partial {
            head: Some(head),
            bytes: BytesMut::with_capacity(bytes),
            allocated: bytes,
            missing: bytes,
        };
        self.bodies.insert(id, partial);
        self.allocated_bytes += bytes;
        Ok(())
    }

    /// Appends a part; returns the head and the body once it is complete, unless it is discarded.
    ///
    /// An empty part ends a body that its sender has stopped.
    ///
    /// # Errors
    /// Returns an error if no body has begun under the id or the part is longer than what is missing.
    pub fn append(&mut self, id: u64, part: &[u8]) -> Result<Option<(H, Bytes)>, BodyError> {
        if part.is_empty() {
            self.remove(id);
            return Ok(None);
        }
        let Some(partial) = self.bodies.get_mut(&id) else {
            return NoHeadSnafu { id }.fail();
        };
        ensure!(part.len() <= partial.missing, OverlongSnafu { id });
        partial.missing -= part.len();
        if partial.head.is_some() {
            partial.bytes.extend_from_slice(part);
        }
        if partial.missing > 0 {
            return Ok(None);
        }
        let complete = self.take(id);
        Ok(complete.and_then(|p| p.head.map(|head| (head, p.bytes.freeze()))))
    }

    /// Drops the bytes of a body that is not wanted any more; its further parts are discarded.
    pub fn discard(&mut self, id: u64) {
        if let Some(partial) = self.bodies.get_mut(&id) {
            partial.head = None;
            self.allocated_bytes -= partial.allocated;
            partial.allocated = 0;
            partial.bytes = BytesMut::new();
        }
    }

    /// Forgets a body of which no further part arrives.
    pub fn remove(&mut self, id: u64) {
        self.take(id);
    }

    fn take(&mut self, id: u64) -> Option<Partial<H>> {
        let partial = self.bodies.remove(&id)?;
        self.allocated_bytes -= partial.allocated;
        Some(partial)
    }

    /// Number of bytes allocated for incomplete bodies, received or not.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.allocated_bytes
    }

    /// Number of bytes received of incomplete bodies.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.bodies.values().map(|p| p.bytes.len()).sum()
    }
}
