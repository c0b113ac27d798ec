//! Connections that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which unacknowledged bytes end a connection; below the platform's recovery bounds of seconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which the kernel probes an idle connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBE_LIMIT: u32 = 2;

/// Opens a connection and sets its timeouts.
///
/// # Errors
///
/// Fails when the peer refuses or does not answer within `patience`.
pub async fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = match timeout(patience, TcpStream::connect(address)).await {
        Ok(connected) => connected?,
        Err(_) => {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "no answer to the connection request",
            ));
        }
    };
    set_connection_timeouts(&stream)?;
    Ok(stream)
}

/// Sets the timeouts of a connection, opened or accepted.
///
/// # Errors
///
/// Fails when the connection is already closed.
pub fn set_connection_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&probes)
}
