//! Backend servers that crash under a request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use domain::ContentKey;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::state::EntryState;

/// Timeout for finding out whether a server still accepts connections. One that is only cut off does not refuse them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A request whose connection broke before its run was under way.
#[derive(Debug, Clone)]
pub(crate) struct LostRun {
    pub(crate) request: String,
    pub(crate) content: ContentKey,
    pub(crate) server_name: String,
    pub(crate) address: SocketAddr,
}

/// Finds out in the background whether the server has crashed.
pub(crate) fn investigate(entry: &Arc<EntryState>, run: LostRun) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        if !is_crashed(run.address).await {
            return;
        }
        if entry.line_limiter.try_acquire() {
            info!(entry.log, "backend server crashed under a request"; "request" => &run.request,
                "content" => %run.content, "server" => &run.server_name, "address" => %run.address);
        }
    });
}

/// Returns whether the host of a server refuses connections to it, as it does when the process has ended.
async fn is_crashed(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(failure)) if failure.kind() == ErrorKind::ConnectionRefused)
}
