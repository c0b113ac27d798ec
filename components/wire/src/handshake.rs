//! Mutual challenge and response at the start of each connection between processes.

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

/// Proves to the server that the client holds the key, and checks the server's proof.
///
/// # Errors
///
/// Fails when the peer is silent, closes the connection or holds another key.
pub(crate) async fn greet_server(stream: &mut TcpStream, secret: &ClusterSecret) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, async {
        let own: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&own).await?;
        let mut answer = [0; NONCE_BYTES + TAG_BYTES];
        stream.read_exact(&mut answer).await?;
        let (theirs, tag) = answer.split_at(NONCE_BYTES);
        ensure!(
            secret.verify(&[SERVER_LABEL, &own, theirs], tag),
            "the server holds another key"
        );
        stream
            .write_all(&secret.tag(&[CLIENT_LABEL, &own, theirs]))
            .await?;
        Ok(())
    })
    .await?
}

/// Proves to the client that the server holds the key, and checks the client's proof.
///
/// # Errors
///
/// Fails when the peer is silent, closes the connection or holds another key.
pub(crate) async fn greet_client(stream: &mut TcpStream, secret: &ClusterSecret) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, async {
        let mut theirs = [0; NONCE_BYTES];
        stream.read_exact(&mut theirs).await?;
        let own: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&own).await?;
        stream
            .write_all(&secret.tag(&[SERVER_LABEL, &theirs, &own]))
            .await?;
        let mut tag = [0; TAG_BYTES];
        stream.read_exact(&mut tag).await?;
        ensure!(
            secret.verify(&[CLIENT_LABEL, &theirs, &own], &tag),
            "the client holds another key"
        );
        Ok(())
    })
    .await?
}
