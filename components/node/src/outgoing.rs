//! Requests and responses in the form in which they are queued for a connection.

use bytes::Bytes;

use crate::frame::{
    self, ForwardedRequest, ForwardedResponse, Frame, FrameError, LoadReport, LossCause,
    RequestOutcome,
};
use crate::link_queue::WRITE_BYTES;

/// Length of a body from which it is sent in parts.
const MIN_STREAMED_BYTES: usize = WRITE_BYTES + 1;

/// An encoded request or response.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Id of the request.
    pub id: u64,
    /// Priority rank; 0 goes first.
    pub rank: u8,
    /// The encoded frame.
    pub frame: Bytes,
    /// The body that follows the frame in parts; empty if the frame holds it.
    pub body: Bytes,
}

impl Outgoing {
    /// Encodes a request, with its body apart if that is large and the receiver takes it in parts.
    ///
    /// # Errors
    /// Returns an error if it cannot be encoded within the largest frame.
    pub fn request(mut request: ForwardedRequest, streams: bool) -> Result<Self, FrameError> {
        let (id, rank) = (request.id, request.rank().order());
        if !streams || request.body.len() < MIN_STREAMED_BYTES {
            let frame = Frame::Request(Box::new(request));
            return Self::whole(id, rank, &frame);
        }
        let body = std::mem::take(&mut request.body);
        let head = Frame::LargeRequest {
            request: Box::new(request),
            body_bytes: body.len() as u64,
        };
        Self::with_body(id, rank, &head, body)
    }

    /// Encodes the outcome of a request, with its body apart if that is large and the receiver takes it
    /// in parts.
    ///
    /// # Errors
    /// Returns an error if it cannot be encoded within the largest frame.
    pub fn response(
        id: u64,
        rank: u8,
        outcome: RequestOutcome,
        load: LoadReport,
        streams: bool,
    ) -> Result<Self, FrameError> {
        match outcome {
            RequestOutcome::Response(response)
                if streams && response.body.len() >= MIN_STREAMED_BYTES =>
            {
                let ForwardedResponse {
                    status,
                    headers,
                    body,
                } = *response;
                let empty = ForwardedResponse {
                    status,
                    headers,
                    body: Bytes::new(),
                };
                let head = Frame::LargeResponse {
                    id,
                    outcome: RequestOutcome::Response(Box::new(empty)),
                    load,
                    body_bytes: body.len() as u64,
                };
                Self::with_body(id, rank, &head, body)
            }
            outcome => Self::whole(id, rank, &Frame::Response { id, outcome, load }),
        }
    }

    /// Encodes the outcome of a request as [`response`](Self::response) does, or as lost if no frame can
    /// hold it: the request has run, and must not stay in flight.
    ///
    /// # Errors
    /// Returns an error if not even that can be encoded.
    pub fn response_or_lost(
        id: u64,
        rank: u8,
        outcome: RequestOutcome,
        load: LoadReport,
        streams: bool,
    ) -> Result<Self, FrameError> {
        Self::response(id, rank, outcome, load, streams).or_else(|error| {
            log::error!(event = "frame-not-sent", error:% = error; "");
            let lost = RequestOutcome::Lost(LossCause::Spoilt);
            Self::response(id, rank, lost, load, streams)
        })
    }

    fn whole(id: u64, rank: u8, frame: &Frame) -> Result<Self, FrameError> {
        let frame = frame::encode(frame)?;
        let body = Bytes::new();
        Ok(Self {
            id,
            rank,
            frame,
            body,
        })
    }

    fn with_body(id: u64, rank: u8, head: &Frame, body: Bytes) -> Result<Self, FrameError> {
        frame::check_length(body.len())?;
        let frame = frame::encode(head)?;
        Ok(Self {
            id,
            rank,
            frame,
            body,
        })
    }
}
