//! A way around a cut link: an entry passes bytes on between another entry and a ledger host.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader, copy_bidirectional};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for the target's address to arrive and for the connection to it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest line that names a target.
const LINE_BYTES: u64 = 64;
/// Answer once the connection to the target stands.
const OPENED: &[u8; 3] = b"ok\n";

/// Serves one accepted connection: reads the target's address and passes bytes on until one side closes.
///
/// # Errors
///
/// Fails when the target is not allowed or cannot be reached, or a connection breaks.
pub async fn serve_relay(stream: TcpStream, is_allowed: impl Fn(SocketAddr) -> bool) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let opening = timeout(OPEN_TIMEOUT, async {
        let mut line = String::new();
        (&mut stream).take(LINE_BYTES).read_line(&mut line).await?;
        let target = line.trim().parse().map_err(io::Error::other)?;
        if !is_allowed(target) {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "not a ledger host",
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
/// Fails when the relay or the target cannot be reached.
pub(crate) async fn connect_through(relay: SocketAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(relay).await?;
    stream.set_nodelay(true)?;
    stream.write_all(format!("{target}\n").as_bytes()).await?;
    let mut answer = [0; OPENED.len()];
    stream.read_exact(&mut answer).await?;
    if answer != *OPENED {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the relay answered outside its protocol",
        ));
    }
    Ok(stream)
}
