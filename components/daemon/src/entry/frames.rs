//! Frames of the reply to one request, from this daemon or another one.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use peers::wire::ReplyFrame;
use prost::Message;
use routing::machine_stats::MachineStats;
use tokio::sync::mpsc;
use tonic::Streaming;

use crate::metrics::Counters;

/// The frames of one reply. The request counts as in flight until this is dropped.
#[derive(Debug)]
pub struct ReplyFrames {
    pub(super) source: ReplySource,
    pub(super) first: Option<ReplyFrame>,
    /// Counts the bytes of the reply when it crosses the link between regions; otherwise `None`.
    pub(super) distant_counters: Option<Arc<Counters>>,
    pub(super) _in_flight: InFlightGuard,
}

#[derive(Debug)]
pub(super) enum ReplySource {
    Local(mpsc::Receiver<ReplyFrame>),
    Remote(Box<Streaming<ReplyFrame>>),
}

impl ReplySource {
    pub(super) async fn next(&mut self) -> Option<ReplyFrame> {
        match self {
            ReplySource::Local(receiver) => receiver.recv().await,
            ReplySource::Remote(stream) => stream.next().await?.ok(),
        }
    }
}

impl ReplyFrames {
    /// Takes the body if it arrived complete with the head; otherwise `None`, and `next` returns
    /// the frames.
    pub fn take_complete_body(&mut self) -> Option<Bytes> {
        let is_complete = self.first.as_ref().is_some_and(|frame| frame.end);
        let frame = self.first.take_if(|_| is_complete)?;
        self.count(&frame);
        Some(frame.body)
    }

    fn count(&self, frame: &ReplyFrame) {
        if let Some(counters) = &self.distant_counters {
            counters.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    }

    /// Returns the next frame; `None` when the reply has ended or was truncated.
    pub async fn next(&mut self) -> Option<ReplyFrame> {
        let frame = match self.first.take() {
            Some(frame) => frame,
            None => self.source.next().await?,
        };
        self.count(&frame);
        Some(frame)
    }
}

/// Counts a request as in flight at a machine until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<MachineStats>);

impl InFlightGuard {
    pub(super) fn new(stats: Arc<MachineStats>) -> Self {
        stats.on_sent();
        Self(stats)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.on_ended();
    }
}
