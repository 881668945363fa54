//! Frames of one reply, from this daemon or another one.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use peers::wire::ReplyFrame;
use prost::Message;
use routing::machine_stats::MachineStats;
use tokio::sync::mpsc;
use tonic::Streaming;

use crate::metrics::Counters;

/// Frames of one reply.
#[derive(Debug)]
pub struct Frames {
    pub(super) source: Source,
    pub(super) first: Option<ReplyFrame>,
    /// Counts what crosses the link between regions, when the request went over it.
    pub(super) distant: Option<Arc<Counters>>,
    pub(super) _in_flight: InFlight,
}

#[derive(Debug)]
pub(super) enum Source {
    Local(mpsc::Receiver<ReplyFrame>),
    Remote(Box<Streaming<ReplyFrame>>),
}

impl Source {
    pub(super) async fn next(&mut self) -> Option<ReplyFrame> {
        match self {
            Source::Local(receiver) => receiver.recv().await,
            Source::Remote(stream) => stream.next().await?.ok(),
        }
    }
}

impl Frames {
    /// The whole body, when it came with the head.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        let whole = self.first.as_ref().is_some_and(|frame| frame.end);
        let frame = self.first.take_if(|_| whole)?;
        self.count(&frame);
        Some(frame.body)
    }

    fn count(&self, frame: &ReplyFrame) {
        if let Some(counters) = &self.distant {
            counters.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    }

    /// The next frame; none when the reply has ended or was cut.
    pub async fn next(&mut self) -> Option<ReplyFrame> {
        let frame = match self.first.take() {
            Some(frame) => frame,
            None => self.source.next().await?,
        };
        self.count(&frame);
        Some(frame)
    }
}

/// Counts a request as in flight at a machine for as long as it lives.
#[derive(Debug)]
pub(super) struct InFlight(Arc<MachineStats>);

impl InFlight {
    pub(super) fn new(observed: Arc<MachineStats>) -> Self {
        observed.on_sent();
        Self(observed)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.on_ended();
    }
}
