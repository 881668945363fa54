//! Frames as a stream over one connection.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::frame::{self, Frame};

/// Size from which a batch of frames takes no further frame.
const BATCH_BYTES: usize = 65_536;

/// Sender of encoded frames to one connection.
pub type FrameSender = mpsc::UnboundedSender<Bytes>;

/// Encodes a frame and queues it for a connection; returns whether it was queued.
pub fn send_frame(sender: &FrameSender, frame: &Frame) -> bool {
    match frame::encode(frame) {
        Ok(bytes) => sender.send(bytes).is_ok(),
        Err(error) => {
            log::error!(event = "frame-not-sent", error:% = error; "");
            false
        }
    }
}

/// Writes frames until the sender is dropped or the connection ends.
pub async fn write_frames(
    mut write: impl AsyncWrite + Unpin,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) {
    while let Some(first) = frames.recv().await {
        let mut batch = BytesMut::from(first);
        while batch.len() < BATCH_BYTES {
            let Ok(next) = frames.try_recv() else { break };
            batch.extend_from_slice(&next);
        }
        if write.write_all(&batch).await.is_err() {
            return;
        }
    }
}

/// Reads frames and passes each to `handle` until the connection ends or a frame is malformed.
pub async fn read_frames(mut read: impl AsyncRead + Unpin, mut handle: impl FnMut(Frame)) {
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(2048);
        match read.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        loop {
            match frame::decode(&mut buf) {
                Ok(Some(frame)) => handle(frame),
                Ok(None) => break,
                Err(error) => {
                    log::warn!(event = "frame-refused", error:% = error; "");
                    return;
                }
            }
        }
    }
}
