//! The place of a request in the queue, and its slot while it runs.

use std::rc::Rc;

use admission::queue::Dequeued;
use bytes::Bytes;
use timer::{BootClock, Clock};
use tokio::sync::oneshot;
use world::instant::BootInstant;

use super::BackEndProxy;
use crate::frame::ForwardedRequest;
use crate::node::Node;

/// A queued request; dropping it before it starts takes it out of the queue.
pub(super) struct WaitGuard<'a> {
    proxy: &'a BackEndProxy,
    id: u64,
    receiver: oneshot::Receiver<Dequeued>,
    received: bool,
}

impl<'a> WaitGuard<'a> {
    /// Puts the request with this number in the queue, which has admitted it as waiting.
    pub(super) fn new(proxy: &'a BackEndProxy, id: u64) -> Self {
        let (sender, receiver) = oneshot::channel();
        proxy.waiters.borrow_mut().insert(id, sender);
        Self {
            proxy,
            id,
            receiver,
            received: false,
        }
    }

    /// Waits until the request starts or has expired.
    pub(super) async fn wait(mut self) -> Dequeued {
        let dequeued = (&mut self.receiver).await;
        self.received = true;
        dequeued.unwrap_or(Dequeued::Expired(self.id))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.received {
            return;
        }
        self.proxy.waiters.borrow_mut().remove(&self.id);
        let was_queued = self.proxy.queue.borrow_mut().cancel(self.id);
        let started = matches!(self.receiver.try_recv(), Ok(Dequeued::Started(_)));
        if !was_queued && started {
            self.proxy.queue.borrow_mut().on_finished(0, None);
            self.proxy.on_slot_freed();
        }
    }
}

/// Slot of a running request; dropping it frees the slot.
pub(super) struct SlotGuard {
    node: Rc<Node>,
    class: u32,
    request_id: Bytes,
    /// When the request took the slot.
    pub(super) started: BootInstant,
    completed: bool,
}

impl SlotGuard {
    /// Records that the back end runs the request from now on.
    pub(super) fn new(node: &Rc<Node>, request: &Rc<ForwardedRequest>) -> Self {
        let request_id = request.request_id.clone();
        let mut running = node.proxy.running.borrow_mut();
        running.insert(request_id.clone(), Rc::clone(request));
        drop(running);
        Self {
            node: Rc::clone(node),
            class: request.class,
            request_id,
            started: BootClock.now(),
            completed: false,
        }
    }

    /// Records that the back end has run the request, so that its time counts in the estimate.
    pub(super) fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let service_time = self.completed.then(|| BootClock.now().since(self.started));
        let proxy = &self.node.proxy;
        proxy.running.borrow_mut().remove(&self.request_id);
        let mut queue = proxy.queue.borrow_mut();
        let slowness = queue.slowness(BootClock.now());
        queue.on_finished(self.class, service_time.map(|t| t.div_f64(slowness)));
        drop(queue);
        proxy.on_slot_freed();
    }
}
