//! Closes the connection of a caller that may still be sending a refused request.
//!
//! Closing a connection with unread bytes resets it, upon which the caller may lose the refusal. The entry therefore ends
//! its own side only and discards what arrives until the caller closes the connection.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

/// Longest time for which bytes are discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 16 * 1024;
/// Bytes that are discarded as they come; further ones at a limited pace, so that a caller that sends without end takes
/// little processor time.
const UNPACED_BYTES: usize = 1024 * 1024;
/// Pause between two reads at that pace.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);

/// Ends the sending side of a connection and discards what arrives, until the caller has closed it or a time has passed.
pub(crate) async fn linger(mut stream: TcpStream) {
    // It may be closed already.
    let _closed = stream.shutdown().await;
    let end = Instant::now() + LINGER_TIMEOUT;
    let mut buffer = vec![0; DISCARD_BYTES];
    let mut discarded = 0;
    while let Ok(Ok(count @ 1..)) = timeout_at(end.into(), stream.read(&mut buffer)).await {
        discarded += count;
        if discarded > UNPACED_BYTES {
            sleep(DISCARD_PAUSE).await;
        }
    }
}
