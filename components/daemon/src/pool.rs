//! Connections to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use peers::secret::{PeerToken, Sign};
use peers::wire::control_client::ControlClient;
use peers::wire::traffic_client::TrafficClient;
use snafu::{ResultExt, Snafu};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

use crate::reach::Reach;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two keepalive pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer to a ping after which a connection counts as silent.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// A signed channel to another daemon.
pub(crate) type Signed = InterceptedService<Channel, Sign>;

/// No connection could be opened; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectFailed {
    /// The daemon does not take connections.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Refused {
        /// Address of the daemon.
        address: SocketAddr,
        /// What the transport said.
        source: tonic::transport::Error,
    },
    /// An experiment has cut the link.
    #[snafu(display("the link to {address} is cut"))]
    Cut {
        /// Address of the daemon.
        address: SocketAddr,
    },
}

/// Keeps one connection a daemon open.
#[derive(Debug)]
pub struct PeerPool {
    token: PeerToken,
    reach: Reach,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl PeerPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(token: PeerToken, reach: Reach) -> Self {
        Self {
            token,
            reach,
            channels: Mutex::default(),
        }
    }

    /// Client of a daemon's control service.
    ///
    /// # Errors
    /// Fails when no connection can be opened.
    pub async fn control(
        &self,
        address: SocketAddr,
    ) -> Result<ControlClient<Signed>, ConnectFailed> {
        let channel = self.channel(address).await?;
        Ok(ControlClient::with_interceptor(
            channel,
            Sign(self.token.clone()),
        ))
    }

    /// Client of a daemon's traffic service.
    ///
    /// # Errors
    /// Fails when no connection can be opened.
    pub async fn traffic(
        &self,
        address: SocketAddr,
    ) -> Result<TrafficClient<Signed>, ConnectFailed> {
        let channel = self.channel(address).await?;
        Ok(TrafficClient::with_interceptor(
            channel,
            Sign(self.token.clone()),
        ))
    }

    /// Forgets a connection after a failure, so that the next call opens a fresh one.
    pub fn forget(&self, address: SocketAddr) {
        self.channels
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    async fn channel(&self, address: SocketAddr) -> Result<Channel, ConnectFailed> {
        if !self.reach.allows(address) {
            return CutSnafu { address }.fail();
        }
        if let Some(channel) = self.known(address) {
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

    fn known(&self, address: SocketAddr) -> Option<Channel> {
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
