//! gRPC services for other daemons: control messages and forwarded requests.

use std::pin::Pin;
use std::sync::Arc;

use futures::{Stream, StreamExt};
use peers::wire::control_server::Control;
use peers::wire::traffic_server::Traffic;
use peers::wire::{
    AdoptReply, AdoptRequest, BorrowReply, BorrowRequest, CloseReply, CloseRequest, ConfirmReply,
    ConfirmRequest, EndorseReply, EndorseRequest, HandedOrders, HeartbeatReply, HeartbeatRequest,
    ReplyFrame, RequestFrame, TakeOrdersRequest, TicketReply, TicketRequest,
};
use peers::{convert, witnessing};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::allowance;
use crate::back_end::{Body, BodyTruncated};
use crate::control::Event;
use crate::handover;
use crate::owner;
use crate::shared::Shared;

/// Control service, whose calls are passed to the control thread.
#[derive(Clone, Debug)]
pub struct ControlServer {
    /// Events for the control thread.
    pub events: mpsc::Sender<Event>,
}

#[tonic::async_trait]
impl Control for ControlServer {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let mut message = request.into_inner();
        let lists = message.lists.take();
        let request = convert::heartbeat_request_from_wire(&message)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Heartbeat {
            request,
            lists,
            reply: sender,
        })
        .await?;
        receiver.await.map(Response::new).map_err(|_| stopping())
    }

    async fn adopt(&self, request: Request<AdoptRequest>) -> Result<Response<AdoptReply>, Status> {
        let coordinator = convert::adopt_from_wire(request.get_ref())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (sender, receiver) = oneshot::channel();
        let cell = request.into_inner().cell;
        self.send(Event::Adopt {
            cell,
            coordinator,
            reply: sender,
        })
        .await?;
        let term = receiver.await.map_err(|_| stopping())?;
        Ok(Response::new(AdoptReply {
            term: u64::from(term.0),
        }))
    }

    async fn confirm(
        &self,
        request: Request<ConfirmRequest>,
    ) -> Result<Response<ConfirmReply>, Status> {
        let message = request.into_inner();
        let request =
            witnessing::confirm_from_wire(&message).map_err(|e| malformed(&e.to_string()))?;
        let (reply, receiver) = oneshot::channel();
        let cell = message.cell;
        self.send(Event::Confirm {
            cell,
            request,
            reply,
        })
        .await?;
        let confirmed = receiver.await.map_err(|_| stopping())?;
        Ok(Response::new(ConfirmReply { confirmed }))
    }

    async fn close(&self, request: Request<CloseRequest>) -> Result<Response<CloseReply>, Status> {
        let request = request.into_inner();
        let term = convert::term_from_wire(request.term).map_err(|e| malformed(&e.to_string()))?;
        let (reply, receiver) = oneshot::channel();
        let cell = request.cell;
        self.send(Event::Close { cell, term, reply }).await?;
        receiver.await.map(Response::new).map_err(|_| stopping())
    }

    async fn endorse(
        &self,
        request: Request<EndorseRequest>,
    ) -> Result<Response<EndorseReply>, Status> {
        let message = request.into_inner();
        let request =
            witnessing::endorse_from_wire(&message).map_err(|e| malformed(&e.to_string()))?;
        let (reply, receiver) = oneshot::channel();
        let cell = message.cell;
        self.send(Event::Endorse {
            cell,
            request,
            reply,
        })
        .await?;
        let endorsed = receiver.await.map_err(|_| stopping())?;
        Ok(Response::new(EndorseReply { endorsed }))
    }
}

impl ControlServer {
    async fn send(&self, event: Event) -> Result<(), Status> {
        self.events.send(event).await.map_err(|_| stopping())
    }
}

fn stopping() -> Status {
    Status::unavailable("the daemon is stopping")
}

/// Traffic service, whose calls are handled by the request threads.
#[derive(Clone, Debug)]
pub struct TrafficServer {
    /// State of the daemon.
    pub shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Traffic for TrafficServer {
    type ForwardStream = Pin<Box<dyn Stream<Item = Result<ReplyFrame, Status>> + Send>>;

    async fn forward(
        &self,
        request: Request<Streaming<RequestFrame>>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let mut frames = request.into_inner();
        let first = frames
            .message()
            .await?
            .ok_or_else(|| malformed("no frame"))?;
        let head = first
            .head
            .ok_or_else(|| malformed("the first frame has no head"))?;
        let body = if first.end {
            Body::Buffered(first.body)
        } else {
            stream_body(frames)
        };
        let reply = owner::serve(Arc::clone(&self.shared), head, body);
        Ok(Response::new(Box::pin(ReceiverStream::new(reply).map(Ok))))
    }

    type TakeOrdersStream = Pin<Box<dyn Stream<Item = Result<HandedOrders, Status>> + Send>>;

    async fn take_orders(
        &self,
        request: Request<TakeOrdersRequest>,
    ) -> Result<Response<Self::TakeOrdersStream>, Status> {
        let orders = handover::take_orders(&self.shared, request.get_ref())?;
        let orders = futures::stream::iter(orders.into_iter().map(Ok));
        Ok(Response::new(Box::pin(orders)))
    }

    async fn issue_ticket(
        &self,
        request: Request<TicketRequest>,
    ) -> Result<Response<TicketReply>, Status> {
        Ok(Response::new(owner::issue_ticket(
            &self.shared,
            request.get_ref(),
        )))
    }

    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        Ok(Response::new(allowance::lend(
            &self.shared,
            request.get_ref(),
        )))
    }
}

fn malformed(reason: &str) -> Status {
    Status::invalid_argument(reason)
}

/// Returns a body that is fed with frames as they arrive. A stream that ends without an end mark
/// yields an error.
fn stream_body(mut frames: Streaming<RequestFrame>) -> Body {
    let (sender, body) = Body::channel();
    tokio::spawn(async move {
        loop {
            let Ok(Some(frame)) = frames.message().await else {
                let _ = sender.send(Err(BodyTruncated)).await;
                return;
            };
            let end = frame.end;
            let sent = frame.body.is_empty() || sender.send(Ok(frame.body)).await.is_ok();
            if end || !sent {
                return;
            }
        }
    });
    body
}
