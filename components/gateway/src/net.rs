//! TCP connections that detect an unreachable peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which unacknowledged bytes end a connection. It is below the platform's bounds on recovery,
/// which are of the order of seconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time after which the kernel sends the first keep-alive probe.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Interval between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes that end a connection.
const PROBE_LIMIT: u32 = 2;

/// Size of the kernel's buffer for what a caller has not taken yet, in bytes. Without a bound it grows to megabytes.
const CALLER_BUFFER_BYTES: usize = 64 * 1024;
/// Size of the kernel's buffer for what the entry has not read of a caller's bytes yet. Bytes in it count as memory of the
/// process.
const CALLER_RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Time after which bytes that a caller does not take end its connection. The kernel counts an unread window as
/// unacknowledged bytes, while a slow reader is served as long as there is memory for its answer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a connection and sets its timeouts.
///
/// # Errors
///
/// Fails when the peer refuses or does not answer within `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(connected) => connected?,
        Err(_) => {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the peer did not answer the connection request within the timeout",
            ));
        }
    };
    set_connection_timeouts(&stream)?;
    Ok(stream)
}

/// Bounds the buffers for bytes that arrive on the connections which a listener accepts from now on.
///
/// # Errors
///
/// Fails when the listener is already closed.
pub(crate) fn bound_receive_buffers(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(CALLER_RECEIVE_BUFFER_BYTES)
}

/// Bounds the buffer of an accepted connection and lets its caller read slowly.
///
/// # Errors
///
/// Fails when the connection is already closed.
pub(crate) fn set_caller_buffer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(CALLER_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(UNREAD_TIMEOUT))
}

/// Sets the timeout for unacknowledged bytes and the keep-alive probes of an opened or accepted connection,
/// and disables the delay of small segments.
///
/// # Errors
///
/// Fails when the connection is already closed.
pub fn set_connection_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_DELAY)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&probes)
}
