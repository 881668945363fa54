//! Frames as a stream over one connection.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::{Buf, Bytes, BytesMut};
use futures::future::{Fuse, FusedFuture};
use futures::{FutureExt, poll};
use timer::{BootClock, Clock};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use world::instant::BootInstant;

use crate::body_assembly::BodyError;
use crate::frame::{self, Frame};
use crate::link_pacer::LinkPacer;
use crate::link_queue::{LinkQueue, Write};
use crate::outgoing::Outgoing;

/// Bytes that wait to be written to all connections of the process, and the pace of what is written.
#[derive(Clone, Debug, Default)]
pub struct QueuedBytes {
    bytes: Rc<Cell<usize>>,
    pacer: Rc<LinkPacer>,
}

impl QueuedBytes {
    /// Returns their number.
    #[must_use]
    pub fn get(&self) -> usize {
        self.bytes.get()
    }

    /// Creates the count of a process whose link sends `rate` bytes per second; `None` if it is not stated.
    #[must_use]
    pub fn with_link_rate(rate: Option<f64>) -> Self {
        Self {
            bytes: Rc::default(),
            pacer: Rc::new(LinkPacer::new(rate)),
        }
    }
}

/// What the sender and the writer of one connection share.
struct Shared {
    queue: RefCell<LinkQueue>,
    total: QueuedBytes,
    /// Notified when something is queued.
    queued: Notify,
    is_closed: Cell<bool>,
    /// Whether the receiver takes bodies in parts.
    streams: Cell<bool>,
    /// When a write last completed that had to wait.
    last_drained: Cell<Option<BootInstant>>,
}

impl Shared {
    /// Changes the queue and counts its bytes.
    fn update<R>(&self, change: impl FnOnce(&mut LinkQueue) -> R) -> R {
        let mut queue = self.queue.borrow_mut();
        let before = queue.queued_bytes();
        let result = change(&mut queue);
        let total = &self.total.bytes;
        total.set(total.get() + queue.queued_bytes() - before);
        result
    }
}

/// Queues frames for one connection.
#[derive(Clone)]
pub struct FrameSender(Rc<Shared>);

/// What waits to be written to one connection; dropped when the connection ends.
pub struct FrameQueue(Rc<Shared>);

/// Creates the queue of one connection; its bytes count in `total`.
#[must_use]
pub fn channel(total: &QueuedBytes) -> (FrameSender, FrameQueue) {
    let shared = Rc::new(Shared {
        queue: RefCell::default(),
        total: total.clone(),
        queued: Notify::new(),
        is_closed: Cell::new(false),
        streams: Cell::new(false),
        last_drained: Cell::new(None),
    });
    (FrameSender(Rc::clone(&shared)), FrameQueue(shared))
}

impl FrameSender {
    /// Encodes and queues a control frame; returns whether it was queued.
    pub fn send(&self, frame: &Frame) -> bool {
        match frame::encode(frame) {
            Ok(bytes) => self.push(|queue| queue.push_control(bytes)),
            Err(error) => {
                log::error!(event = "frame-not-sent", error:% = error; "");
                false
            }
        }
    }

    /// Queues a request or response; returns whether it was queued.
    pub fn send_outgoing(&self, outgoing: &Outgoing) -> bool {
        let Outgoing {
            id,
            rank,
            frame,
            body,
        } = outgoing.clone();
        self.push(|queue| {
            if body.is_empty() {
                queue.push_small(rank, id, frame);
            } else {
                queue.push_body(id, frame, body);
            }
        })
    }

    /// Stops the sending of a request or response that is not wanted any more.
    pub fn stop(&self, id: u64) {
        self.push(|queue| queue.stop(id));
    }

    /// Records whether the receiver takes bodies in parts, from its `Hello`.
    pub fn set_streams(&self, streams: bool) {
        self.0.streams.set(streams);
    }

    /// Returns whether the receiver takes bodies in parts.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.0.streams.get()
    }

    /// Returns when a write last completed that had to wait for room in the kernel's send buffer;
    /// `None` if none has.
    #[must_use]
    pub fn last_drained(&self) -> Option<BootInstant> {
        self.0.last_drained.get()
    }

    fn push(&self, change: impl FnOnce(&mut LinkQueue)) -> bool {
        if self.0.is_closed.get() {
            return false;
        }
        self.0.update(change);
        self.0.queued.notify_one();
        true
    }
}

impl FrameQueue {
    /// Removes what is written next; `None` if nothing waits.
    #[must_use]
    pub fn try_next_write(&self) -> Option<Write> {
        self.0.update(LinkQueue::next_write)
    }
}

impl Drop for FrameQueue {
    fn drop(&mut self) {
        self.0.is_closed.set(true);
        self.0.update(|queue| *queue = LinkQueue::default());
    }
}

/// Writes what is queued until the connection ends. Parts of bodies wait for their turn on the machine's
/// link, other frames do not.
pub async fn write_frames(mut write: impl AsyncWrite + Unpin, queue: FrameQueue) {
    let pacer = Rc::clone(&queue.0.total.pacer);
    let waiting = Fuse::terminated();
    let mut waiting = pin!(waiting);
    let mut turn = None;
    loop {
        let has_bodies = queue.0.queue.borrow().has_bodies();
        if !has_bodies {
            // Others take their turns.
            turn = None;
            waiting.set(Fuse::terminated());
        } else if turn.is_none() && waiting.is_terminated() {
            waiting.set(pacer.turn().fuse());
        }
        queue.0.queue.borrow_mut().pause_bodies(turn.is_none());
        let Some(next) = queue.try_next_write() else {
            tokio::select! {
                () = queue.0.queued.notified() => {}
                granted = &mut waiting, if !waiting.is_terminated() => turn = Some(granted),
            }
            continue;
        };
        let (frames, part) = match next {
            Write::Frames(frames) => (frames, Bytes::new()),
            Write::Part { head, id, bytes } => {
                let prefix = frame::encode_part_prefix(id, bytes.len());
                let Ok(prefix) = prefix else { return };
                let frames = match head {
                    None => prefix,
                    Some(head) => {
                        let mut joined = BytesMut::from(head);
                        joined.extend_from_slice(&prefix);
                        joined.freeze()
                    }
                };
                // Held during the write, it would stop all connections when one is stuck.
                turn = None;
                (frames, bytes)
            }
        };
        pacer.on_write(frames.len() + part.len());
        let mut bytes = frames.chain(part);
        let mut writing = pin!(write.write_all_buf(&mut bytes));
        let written = match poll!(&mut writing) {
            Poll::Ready(result) => result,
            Poll::Pending => {
                let result = writing.await;
                queue.0.last_drained.set(Some(BootClock.now()));
                result
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Reads frames and passes each to `handle` until the connection ends, a frame is malformed or
/// `handle` returns an error; calls `on_bytes` whenever bytes arrive, with the length of what waits to be
/// decoded.
pub async fn read_frames(
    mut read: impl AsyncRead + Unpin,
    on_bytes: impl Fn(usize),
    mut handle: impl FnMut(Frame) -> Result<(), BodyError>,
) {
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(2048);
        match read.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => on_bytes(buf.len()),
        }
        loop {
            match frame::decode(&mut buf) {
                Ok(Some(frame)) => {
                    if let Err(error) = handle(frame) {
                        log::warn!(event = "frame-refused", error:% = error; "");
                        return;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(event = "frame-refused", error:% = error; "");
                    return;
                }
            }
        }
    }
}
