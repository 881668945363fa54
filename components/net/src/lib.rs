//! TCP connections that the kernel ends when the remote end stops responding.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time between two keepalive probes of an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel ends the connection.
const MAX_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Opens a connection within `timeout` and configures it with [`configure`].
///
/// # Errors
/// Returns the operating system's error, or `TimedOut` after `timeout`.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    keepalive_idle: Duration,
) -> std::io::Result<TcpStream> {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| std::io::ErrorKind::TimedOut)??;
    configure(&stream, keepalive_idle)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and makes the kernel end the connection when the remote end stops
/// responding; keepalive probes start after `keepalive_idle` without traffic.
///
/// # Errors
/// Returns the operating system's error when it rejects an option.
pub fn configure(stream: &TcpStream, keepalive_idle: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(keepalive_idle)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Bounds what the kernel holds of the bytes written to a connection: all of it to `total` bytes by
/// the kernel's count, and the part not sent yet to about `unsent`, as far as the system allows.
///
/// # Errors
/// Returns the operating system's error when it rejects an option.
pub fn bound_send_buffer(stream: &TcpStream, total: usize, unsent: u32) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    // Linux doubles the value to count its own overhead.
    socket.set_send_buffer_size(total / 2)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_notsent_lowat(unsent)?;
    #[cfg(not(target_os = "linux"))]
    let _ = unsent;
    Ok(())
}
