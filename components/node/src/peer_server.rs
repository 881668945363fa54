//! Connections that other processes open to this one.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use balance::link_delay::OneWayDelay;
use bytes::Bytes;
use platform::store::Transport;
use timer::{BootClock, Clock};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use world::instant::BootInstant;

use crate::frame::{self, ForwardedRequest, Frame};
use crate::link::{FrameSender, QUIET_TIME, read_frames, send_frame, write_frames};
use crate::node::Node;
use crate::{accept, back_end_proxy};

/// Time for which an answer is kept for a process that asks again.
const ANSWER_RETENTION: Duration = Duration::from_millis(2_500);

/// A request of another process: its process number and its number there.
type CallId = (u64, u64);

struct Served {
    reply_to: FrameSender,
    answer: Option<Bytes>,
    task: Option<AbortHandle>,
    since: BootInstant,
}

/// The requests of other processes that run here or have just ended.
#[derive(Default)]
pub struct ServedCalls {
    calls: HashMap<CallId, Served>,
}

impl ServedCalls {
    /// Forgets answers that nobody asks for any more.
    pub fn sweep(&mut self, now: BootInstant) {
        self.calls
            .retain(|_, s| s.answer.is_none() || now.since(s.since) < ANSWER_RETENTION);
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        self.calls.values().filter(|s| s.answer.is_none()).count()
    }
}

/// Accepts connections of other processes.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept::each(listener, "peers", |stream| {
        if let Err(error) = net::configure(&stream, QUIET_TIME) {
            log::warn!(event = "socket-option-failed", error:% = error; "");
        }
        tokio::task::spawn_local(serve_link(Rc::clone(&node), stream));
    })
    .await;
}

async fn serve_link(node: Rc<Node>, stream: TcpStream) {
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    send_frame(&sender, &Frame::Hello(Box::new(node.member())));
    let mut incarnation = 0;
    let mut one_way_delay = OneWayDelay::default();
    let reading = read_frames(read, |frame| match frame {
        Frame::Hello(member) => {
            incarnation = member.incarnation;
            node.on_news(Frame::Hello(member), &sender);
        }
        Frame::Request(mut request) => {
            let delay = one_way_delay.observe(request.sent_ms, BootClock.now());
            request.spend(delay);
            on_request(&node, incarnation, *request, &sender);
        }
        Frame::Cancel { id } => on_cancel(&node, (incarnation, id)),
        Frame::StoreCall { id, call } => {
            let node = Rc::clone(&node);
            let sender = sender.clone();
            tokio::task::spawn_local(async move {
                let result = node.direct.perform(&call).await;
                node.on_store_result(result.is_ok());
                send_frame(&sender, &Frame::StoreAnswer { id, result });
            });
        }
        other => node.on_news(other, &sender),
    });
    tokio::select! {
        () = reading => {}
        () = write_frames(write, frames) => {}
    }
}

fn on_cancel(node: &Rc<Node>, id: CallId) {
    let served = node.served.borrow_mut().calls.remove(&id);
    if let Some(task) = served.and_then(|s| s.task) {
        task.abort();
    }
}

fn on_request(node: &Rc<Node>, incarnation: u64, request: ForwardedRequest, sender: &FrameSender) {
    let id = (incarnation, request.id);
    {
        let mut served = node.served.borrow_mut();
        if let Some(known) = served.calls.get_mut(&id) {
            // The connection on which it came first is lost: the answer goes here.
            known.reply_to = sender.clone();
            if let Some(answer) = &known.answer {
                let _ = sender.send(answer.clone());
            }
            return;
        }
        served.calls.insert(
            id,
            Served {
                reply_to: sender.clone(),
                answer: None,
                task: None,
                since: BootClock.now(),
            },
        );
    }
    let task = tokio::task::spawn_local(answer_request(Rc::clone(node), id, request));
    if let Some(served) = node.served.borrow_mut().calls.get_mut(&id) {
        served.task = Some(task.abort_handle());
    }
}

async fn answer_request(node: Rc<Node>, id: CallId, request: ForwardedRequest) {
    let outcome = back_end_proxy::submit(&node, Rc::new(request)).await;
    let answer = Frame::Answer {
        id: id.1,
        outcome,
        load: node.proxy.load(),
    };
    let bytes = match frame::encode(&answer) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = "frame-not-sent", error:% = error; "");
            return;
        }
    };
    if let Some(served) = node.served.borrow_mut().calls.get_mut(&id) {
        let _ = served.reply_to.send(bytes.clone());
        served.answer = Some(bytes);
        served.since = BootClock.now();
    }
}
