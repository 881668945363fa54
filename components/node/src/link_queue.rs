//! The order in which frames and parts of bodies are written to one connection.
//!
//! Three queues share the connection: control frames; small requests and responses by priority
//! rank; large bodies, of which each turn writes one part, round robin. The first queue that is not
//! empty writes next, except that each queue that is not empty gets one of eight writes.
//!
//! Control frames keep their order, as do requests and responses of one rank. A request or response
//! is never written before a control frame that was queued earlier: a report of a crash has to
//! arrive before the response that it explains, and a change of an assignment before a request that
//! relies on it.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};

/// Most bytes of one write, unless a single frame is longer; also the longest part of a body.
pub const WRITE_BYTES: usize = 16 << 10;
/// Writes for which a queue that is not empty is passed over. Two queues can reach it at once, so
/// that the second one writes within eight.
const MAX_SKIPS: u32 = 6;

/// The next bytes to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// One or more encoded frames.
    Frames(Bytes),
    /// A part of a body.
    Part {
        /// The frame that precedes the first part.
        head: Option<Bytes>,
        /// Id of the body's request.
        id: u64,
        /// The part; empty if the body has been stopped and no more of it follows.
        bytes: Bytes,
    },
}

/// An encoded request or response that waits.
#[derive(Clone, Debug)]
struct SmallFrame {
    id: u64,
    frame: Bytes,
    /// Number of control frames that are written before it.
    after: u64,
}

/// A body that is written in parts.
#[derive(Clone, Debug)]
struct Body {
    id: u64,
    /// The frame that precedes the parts; `None` once it is written.
    head: Option<Bytes>,
    rest: Bytes,
    /// Number of control frames that are written before it.
    after: u64,
}

/// Index of a queue in the order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    Control,
    Small,
    Bodies,
}

const QUEUES: [Queue; 3] = [Queue::Control, Queue::Small, Queue::Bodies];

/// Frames and bodies that wait to be written to one connection.
#[derive(Clone, Debug, Default)]
pub struct LinkQueue {
    control: VecDeque<Bytes>,
    /// Control frames queued and written since the connection was opened.
    control_queued: u64,
    control_written: u64,
    /// Small requests and responses by rank.
    small: BTreeMap<u8, VecDeque<SmallFrame>>,
    /// Bodies, the one whose turn is next first.
    bodies: VecDeque<Body>,
    /// Consecutive writes for which each queue was passed over while it could have written.
    skips: [u32; QUEUES.len()],
    queued_bytes: usize,
    /// Whether parts of bodies wait for the link.
    bodies_paused: bool,
}

impl LinkQueue {
    /// Sets whether parts of bodies wait for the link.
    pub fn pause_bodies(&mut self, paused: bool) {
        self.bodies_paused = paused;
    }

    /// Returns whether a body waits.
    #[must_use]
    pub fn has_bodies(&self) -> bool {
        !self.bodies.is_empty()
    }

    /// Queues a control frame.
    pub fn push_control(&mut self, frame: Bytes) {
        self.queued_bytes += frame.len();
        self.control.push_back(frame);
        self.control_queued += 1;
    }

    /// Queues a request or response of a priority rank; 0 goes first.
    pub fn push_small(&mut self, rank: u8, id: u64, frame: Bytes) {
        self.queued_bytes += frame.len();
        self.small.entry(rank).or_default().push_back(SmallFrame {
            id,
            frame,
            after: self.control_queued,
        });
    }

    /// Queues a body with the frame that precedes it, unless the body of this id is queued already.
    pub fn push_body(&mut self, id: u64, head: Bytes, body: Bytes) {
        if self.bodies.iter().any(|b| b.id == id) {
            return;
        }
        self.queued_bytes += head.len() + body.len();
        self.bodies.push_back(Body {
            id,
            head: Some(head),
            rest: body,
            after: self.control_queued,
        });
    }

    /// Drops what is queued under an id. Of a body that has been begun, an empty part remains, by
    /// which the receiver knows that no more follows.
    pub fn stop(&mut self, id: u64) {
        let mut dropped = 0;
        for queue in self.small.values_mut() {
            queue.retain(|small| {
                let is_kept = small.id != id;
                dropped += if is_kept { 0 } else { small.frame.len() };
                is_kept
            });
        }
        self.small.retain(|_, queue| !queue.is_empty());
        self.bodies.retain_mut(|body| {
            if body.id != id {
                return true;
            }
            dropped += body.rest.len() + body.head.as_ref().map_or(0, Bytes::len);
            body.rest = Bytes::new();
            body.head.is_none()
        });
        self.queued_bytes -= dropped;
    }

    /// Number of bytes that wait.
    #[must_use]
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Removes what is written next; `None` if nothing waits.
    pub fn next_write(&mut self) -> Option<Write> {
        let queue = self.next_queue()?;
        for other in QUEUES {
            let skips = if other != queue && self.can_write(other) {
                self.skips[other as usize] + 1
            } else {
                0
            };
            self.skips[other as usize] = skips;
        }
        let write = match queue {
            Queue::Control => Write::Frames(self.take_control()),
            Queue::Small => Write::Frames(self.take_small()),
            Queue::Bodies => self.take_part()?,
        };
        self.queued_bytes -= match &write {
            Write::Frames(frames) => frames.len(),
            Write::Part { head, bytes, .. } => head.as_ref().map_or(0, Bytes::len) + bytes.len(),
        };
        Some(write)
    }

    /// Returns the queue that writes next: one that has been passed over too often, else the first.
    fn next_queue(&self) -> Option<Queue> {
        let writable = || QUEUES.into_iter().filter(|q| self.can_write(*q));
        let starved = writable().filter(|q| self.skips[*q as usize] >= MAX_SKIPS);
        let longest_starved = starved.max_by_key(|q| self.skips[*q as usize]);
        longest_starved.or_else(|| writable().next())
    }

    fn can_write(&self, queue: Queue) -> bool {
        match queue {
            Queue::Control => !self.control.is_empty(),
            Queue::Small => self.next_rank().is_some(),
            Queue::Bodies => !self.bodies_paused && self.bodies.iter().any(|b| self.is_body_due(b)),
        }
    }

    /// Returns the first rank whose next frame waits for no control frame.
    fn next_rank(&self) -> Option<u8> {
        let mut ranks = self.small.iter();
        let due = ranks.find(|(_, queue)| queue.front().is_some_and(|f| self.is_due(f)));
        due.map(|(rank, _)| *rank)
    }

    fn is_due(&self, small: &SmallFrame) -> bool {
        small.after <= self.control_written
    }

    fn is_body_due(&self, body: &Body) -> bool {
        body.head.is_none() || body.after <= self.control_written
    }

    fn take_control(&mut self) -> Bytes {
        let mut batch = Batch::default();
        while let Some(frame) = self.control.front() {
            if !batch.takes(frame) {
                break;
            }
            batch.push(self.control.pop_front().unwrap_or_default());
            self.control_written += 1;
        }
        batch.freeze()
    }

    fn take_small(&mut self) -> Bytes {
        let mut batch = Batch::default();
        while let Some(rank) = self.next_rank() {
            let Some(queue) = self.small.get_mut(&rank) else {
                break;
            };
            if !queue.front().is_some_and(|f| batch.takes(&f.frame)) {
                break;
            }
            if let Some(small) = queue.pop_front() {
                batch.push(small.frame);
            }
            if queue.is_empty() {
                self.small.remove(&rank);
            }
        }
        batch.freeze()
    }

    fn take_part(&mut self) -> Option<Write> {
        let index = self.bodies.iter().position(|b| self.is_body_due(b))?;
        let mut body = self.bodies.remove(index)?;
        let part = body.rest.split_to(body.rest.len().min(WRITE_BYTES));
        let write = Write::Part {
            head: body.head.take(),
            id: body.id,
            bytes: part,
        };
        if !body.rest.is_empty() {
            self.bodies.push_back(body);
        }
        Some(write)
    }
}

/// Frames that are written together; a single one is not copied.
#[derive(Default)]
struct Batch {
    first: Option<Bytes>,
    joined: BytesMut,
}

impl Batch {
    fn length(&self) -> usize {
        self.first.as_ref().map_or(0, Bytes::len) + self.joined.len()
    }

    fn takes(&self, frame: &Bytes) -> bool {
        let length = self.length();
        length == 0 || length + frame.len() <= WRITE_BYTES
    }

    fn push(&mut self, frame: Bytes) {
        if self.length() == 0 {
            self.first = Some(frame);
            return;
        }
        if let Some(first) = self.first.take() {
            self.joined.reserve(WRITE_BYTES);
            self.joined.extend_from_slice(&first);
        }
        self.joined.extend_from_slice(&frame);
    }

    fn freeze(self) -> Bytes {
        self.first.unwrap_or_else(|| self.joined.freeze())
    }
}
