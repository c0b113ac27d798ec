//! RPC connections between processes: TCP, handshake, length-delimited bincode frames.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context as _, Result};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use crate::handshake::{handshake_as_client, handshake_as_server};
use crate::secret::ClusterSecret;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Transport of an RPC connection, which receives `Item` messages and sends `Sink` messages.
pub type PeerTransport<Item, Sink> = Transport<TcpStream, Item, Sink, Bincode<Item, Sink>>;

/// Opens an authenticated connection to a peer.
///
/// # Errors
///
/// Fails when no TCP connection is made within a second or the handshake fails.
pub async fn connect_peer<Item, Sink>(
    address: SocketAddr,
    secret: &ClusterSecret,
) -> Result<PeerTransport<Item, Sink>>
where
    Item: for<'a> Deserialize<'a>,
    Sink: Serialize,
{
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connecting
        .context("TCP connection to the peer timed out")?
        .with_context(|| format!("cannot connect to the peer at {address}"))?;
    stream.set_nodelay(true)?;
    handshake_as_client(&mut stream, secret)
        .await
        .with_context(|| format!("handshake with the peer at {address} failed"))?;
    Ok(frame_stream(stream))
}

/// Accepts authenticated connections of peers.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    secret: ClusterSecret,
    refused: Arc<AtomicU64>,
}

impl PeerListener {
    /// Binds the address; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, secret: ClusterSecret) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot bind {address}"))?;
        Ok(Self {
            listener,
            secret,
            refused: Arc::new(AtomicU64::new(0)),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the socket has been closed.
    pub fn local_address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Returns the counter of connections whose handshake failed.
    pub fn refused_peers(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.refused)
    }

    /// Accepts connections in an endless loop. A task per connection runs the handshake and passes the
    /// authenticated transport to `serve`.
    pub async fn accept_all<Item, Sink, Serve>(self, serve: Serve)
    where
        Item: for<'a> Deserialize<'a> + Send + 'static,
        Sink: Serialize + Send + 'static,
        Serve: Fn(PeerTransport<Item, Sink>) + Clone + Send + 'static,
    {
        loop {
            let Ok((mut stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let secret = self.secret.clone();
            let refused = Arc::clone(&self.refused);
            let serve = serve.clone();
            tokio::spawn(async move {
                if stream.set_nodelay(true).is_err()
                    || handshake_as_server(&mut stream, &secret).await.is_err()
                {
                    refused.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                serve(frame_stream(stream));
            });
        }
    }
}

fn frame_stream<Item, Sink>(stream: TcpStream) -> PeerTransport<Item, Sink>
where
    Item: for<'a> Deserialize<'a>,
    Sink: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = tokio_util::codec::Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}
