//! HTTP/1.1 server of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Response of a stand-in; `None` closes the connection without a response.
pub type Reply = Option<Response<Full<Bytes>>>;

/// A running server; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves requests at an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let reply = handler(request);
            async move { reply.await.ok_or(NoResponse) }
        });
        connections.spawn(async move {
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Error that makes the server close the connection without a response.
#[derive(Debug)]
struct NoResponse;

impl std::fmt::Display for NoResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("dropped")
    }
}

impl std::error::Error for NoResponse {}

impl From<Infallible> for NoResponse {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Builds a response with a status and a body.
#[must_use]
pub fn reply(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}
