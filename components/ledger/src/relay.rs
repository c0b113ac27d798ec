//! Relays for broken network links: an entry forwards bytes between another entry and a ledger host.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader, copy_bidirectional};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for receiving the target's address and connecting to it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest size of the line with the target's address.
const LINE_LIMIT_BYTES: u64 = 64;
/// Response of a relay once it is connected to the target.
const OPENED: &[u8; 3] = b"ok\n";

/// Serves one accepted connection: reads the target's address, connects to the target and forwards bytes in
/// both directions until the connections are closed.
///
/// # Errors
///
/// Fails when the target is not allowed or is unreachable, or when a connection breaks.
pub async fn serve_relay(stream: TcpStream, is_allowed: impl Fn(SocketAddr) -> bool) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let opening = timeout(OPEN_TIMEOUT, async {
        let mut line = String::new();
        (&mut stream).take(LINE_LIMIT_BYTES).read_line(&mut line).await?;
        let target = line.trim().parse().map_err(io::Error::other)?;
        if !is_allowed(target) {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "relay target is not a ledger host",
            ));
        }
        TcpStream::connect(target).await
    });
    let mut target = opening.await??;
    target.set_nodelay(true)?;
    stream.write_all(OPENED).await?;
    copy_bidirectional(&mut stream, &mut target).await?;
    Ok(())
}

/// Opens a connection to a target through a relay.
///
/// # Errors
///
/// Fails when the relay or the target is unreachable.
pub(crate) async fn connect_through(relay: SocketAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(relay).await?;
    stream.set_nodelay(true)?;
    stream.write_all(format!("{target}\n").as_bytes()).await?;
    let mut response = [0; OPENED.len()];
    stream.read_exact(&mut response).await?;
    if response != *OPENED {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "relay sent an unexpected response instead of `ok`",
        ));
    }
    Ok(stream)
}
