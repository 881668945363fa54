//! Pool of gRPC connections to other daemons, one for each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use peers::auth::{AttachToken, PeerToken};
use peers::wire::control_client::ControlClient;
use peers::wire::traffic_client::TrafficClient;
use snafu::{ResultExt, Snafu};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

use crate::link_filter::LinkFilter;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two keepalive pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer to a ping after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Channel to another daemon that adds the peer token to each call.
pub(crate) type SignedChannel = InterceptedService<Channel, AttachToken>;

/// No connection could be opened; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection attempt failed or timed out.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Refused {
        /// Address of the daemon.
        address: SocketAddr,
        /// Error of the transport.
        source: tonic::transport::Error,
    },
    /// The link filter blocks the address.
    #[snafu(display("the link to {address} is cut"))]
    Cut {
        /// Address of the daemon.
        address: SocketAddr,
    },
}

/// Keeps one open connection per daemon.
#[derive(Debug)]
pub struct PeerPool {
    token: PeerToken,
    link_filter: LinkFilter,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl PeerPool {
    /// Creates a pool without connections. Clients of addresses that `link_filter` blocks are
    /// refused, also when a connection is open.
    #[must_use]
    pub fn new(token: PeerToken, link_filter: LinkFilter) -> Self {
        Self {
            token,
            link_filter,
            channels: Mutex::default(),
        }
    }

    /// Returns a client of a daemon's control service.
    ///
    /// # Errors
    /// Fails when no connection can be opened or the link filter blocks the address.
    pub async fn control(
        &self,
        address: SocketAddr,
    ) -> Result<ControlClient<SignedChannel>, ConnectError> {
        let channel = self.channel(address).await?;
        Ok(ControlClient::with_interceptor(
            channel,
            AttachToken(self.token.clone()),
        ))
    }

    /// Returns a client of a daemon's traffic service.
    ///
    /// # Errors
    /// Fails when no connection can be opened or the link filter blocks the address.
    pub async fn traffic(
        &self,
        address: SocketAddr,
    ) -> Result<TrafficClient<SignedChannel>, ConnectError> {
        let channel = self.channel(address).await?;
        Ok(TrafficClient::with_interceptor(
            channel,
            AttachToken(self.token.clone()),
        ))
    }

    /// Removes a connection after a failure, so that the next call opens a new one.
    pub fn evict(&self, address: SocketAddr) {
        self.channels
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    async fn channel(&self, address: SocketAddr) -> Result<Channel, ConnectError> {
        if !self.link_filter.allows(address) {
            return CutSnafu { address }.fail();
        }
        if let Some(channel) = self.cached(address) {
            return Ok(channel);
        }
        let channel = endpoint(address)
            .context(RefusedSnafu { address })?
            .connect()
            .await
            .context(RefusedSnafu { address })?;
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(channels.entry(address).or_insert(channel).clone())
    }

    fn cached(&self, address: SocketAddr) -> Option<Channel> {
        let channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.get(&address).cloned()
    }
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true))
}
