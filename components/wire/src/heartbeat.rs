//! Heartbeats over nng publish/subscribe, authenticated with the shared key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow, bail};
use domain::Heartbeat;
use nng::options::{LocalAddr, Options as _, RecvTimeout, protocol::pubsub::Subscribe};
use nng::{Listener, Protocol, Socket};
use tokio::sync::mpsc;

use crate::secret::{ClusterSecret, TAG_BYTES};

const HEARTBEAT_LABEL: &[u8] = b"azuretide-heartbeat-1";
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);
const CHANNEL_CAPACITY: usize = 1024;

/// Publishes the heartbeats of one process.
#[derive(Debug)]
pub struct HeartbeatPublisher {
    socket: Socket,
    address: SocketAddr,
    secret: ClusterSecret,
}

impl HeartbeatPublisher {
    /// Listens on the address; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, secret: ClusterSecret) -> Result<Self> {
        let socket = Socket::new(Protocol::Pub0)?;
        let listener = Listener::new(&socket, &format!("tcp://{address}"))
            .with_context(|| format!("cannot bind {address}"))?;
        // nng returns the port in network byte order.
        let address = match listener.get_opt::<LocalAddr>()? {
            nng::SocketAddr::Inet(bound) => SocketAddr::new((*bound.ip()).into(), u16::from_be(bound.port())),
            nng::SocketAddr::Inet6(bound) => {
                SocketAddr::new((*bound.ip()).into(), u16::from_be(bound.port()))
            }
            other => bail!("expected to listen on an IP address, got {other}"),
        };
        Ok(Self {
            socket,
            address,
            secret,
        })
    }

    /// Returns the bound address.
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes one heartbeat to all subscribers that are connected.
    ///
    /// # Errors
    ///
    /// Fails when the socket has been closed.
    pub fn publish(&self, heartbeat: &Heartbeat) -> Result<()> {
        let body = postcard::to_stdvec(heartbeat)?;
        let mut frame = self.secret.tag(&[HEARTBEAT_LABEL, &body]).to_vec();
        frame.extend_from_slice(&body);
        self.socket
            .send(frame.as_slice())
            .map_err(|(_, error)| anyhow!(error))
    }
}

/// Receives the heartbeats of all publishers that were passed to [`HeartbeatSubscriber::dial`].
#[derive(Debug)]
pub struct HeartbeatSubscriber {
    socket: Socket,
    dialled: std::sync::Mutex<Vec<SocketAddr>>,
}

impl HeartbeatSubscriber {
    /// Starts a thread that receives heartbeats until the returned receiver is dropped.
    ///
    /// Frames with a wrong tag or a malformed body are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be opened.
    pub fn start(secret: ClusterSecret) -> Result<(Arc<Self>, mpsc::Receiver<Heartbeat>)> {
        let socket = Socket::new(Protocol::Sub0)?;
        socket.set_opt::<Subscribe>(Vec::new())?;
        socket.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let subscriber = Arc::new(Self {
            socket: socket.clone(),
            dialled: std::sync::Mutex::default(),
        });
        std::thread::Builder::new()
            .name("heartbeats".to_owned())
            .spawn(move || receive_all(&socket, &secret, &sender))?;
        Ok((subscriber, receiver))
    }

    /// Dials a publisher. Has no effect on one that was dialled before, as nng reconnects on its own.
    ///
    /// # Errors
    ///
    /// Fails when the socket has been closed.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while dialling.
    pub fn dial(&self, address: SocketAddr) -> Result<()> {
        let mut dialled = self.dialled.lock().expect("no thread panics while it dials");
        let Err(index) = dialled.binary_search(&address) else {
            return Ok(());
        };
        self.socket
            .dial_async(&format!("tcp://{address}"))
            .with_context(|| format!("cannot dial {address}"))?;
        dialled.insert(index, address);
        Ok(())
    }
}

fn receive_all(socket: &Socket, secret: &ClusterSecret, sender: &mpsc::Sender<Heartbeat>) {
    while !sender.is_closed() {
        match socket.recv() {
            Ok(frame) => {
                if let Some(heartbeat) = decode_frame(&frame, secret)
                    && sender.blocking_send(heartbeat).is_err()
                {
                    return;
                }
            }
            Err(nng::Error::TimedOut) => {}
            Err(_) => return,
        }
    }
}

fn decode_frame(frame: &[u8], secret: &ClusterSecret) -> Option<Heartbeat> {
    let (tag, body) = frame.split_at_checked(TAG_BYTES)?;
    if !secret.verify(&[HEARTBEAT_LABEL, body], tag) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
