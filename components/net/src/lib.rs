//! TCP connections that notice when their other end has gone silent.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time between two probes of an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection ends.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unconfirmed.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Opens a connection within `limit` that is probed after `quiet` without traffic.
///
/// # Errors
/// Fails with the system's error, or with `TimedOut` after `limit`.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    quiet: Duration,
) -> std::io::Result<TcpStream> {
    let dialed = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = dialed.map_err(|_| std::io::ErrorKind::TimedOut)??;
    guard_silence(&stream, quiet)?;
    Ok(stream)
}

/// Makes the kernel end a connection whose other end is silent, and send without delay; probes
/// start after `quiet` without traffic.
///
/// # Errors
/// Fails if the system refuses an option.
pub fn guard_silence(stream: &TcpStream, quiet: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(quiet)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT))
}
