//! Mutual challenge-response authentication at the start of each connection between processes.
//!
//! Client and server exchange nonces, and each proves with an HMAC over a label and both nonces that it holds
//! the cluster key. The labels of client and server differ, so that a tag cannot be reflected to its sender.

use std::time::Duration;

use anyhow::{Result, ensure};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::secret::{ClusterSecret, TAG_BYTES};

const NONCE_BYTES: usize = 32;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_LABEL: &[u8] = b"azuretide-client-1";
const SERVER_LABEL: &[u8] = b"azuretide-server-1";

/// Runs the client's side of the handshake: checks the server's tag, then sends the client's.
///
/// # Errors
///
/// Fails when the handshake takes longer than two seconds, or the peer closes the connection or holds another
/// key.
pub(crate) async fn handshake_as_client(stream: &mut TcpStream, secret: &ClusterSecret) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, async {
        let own_nonce: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&own_nonce).await?;
        let mut reply = [0; NONCE_BYTES + TAG_BYTES];
        stream.read_exact(&mut reply).await?;
        let (peer_nonce, tag) = reply.split_at(NONCE_BYTES);
        ensure!(
            secret.verify(&[SERVER_LABEL, &own_nonce, peer_nonce], tag),
            "the server holds another cluster key"
        );
        stream
            .write_all(&secret.tag(&[CLIENT_LABEL, &own_nonce, peer_nonce]))
            .await?;
        Ok(())
    })
    .await?
}

/// Runs the server's side of the handshake: sends the server's tag, then checks the client's.
///
/// # Errors
///
/// Fails when the handshake takes longer than two seconds, or the peer closes the connection or holds another
/// key.
pub(crate) async fn handshake_as_server(stream: &mut TcpStream, secret: &ClusterSecret) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, async {
        let mut peer_nonce = [0; NONCE_BYTES];
        stream.read_exact(&mut peer_nonce).await?;
        let own_nonce: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&own_nonce).await?;
        stream
            .write_all(&secret.tag(&[SERVER_LABEL, &peer_nonce, &own_nonce]))
            .await?;
        let mut tag = [0; TAG_BYTES];
        stream.read_exact(&mut tag).await?;
        ensure!(
            secret.verify(&[CLIENT_LABEL, &peer_nonce, &own_nonce], &tag),
            "the client holds another cluster key"
        );
        Ok(())
    })
    .await?
}
