//! Protocols between azuretide's own processes: RPC over tarpc, heartbeats over nng publish/subscribe.

mod agent;
mod handshake;
mod heartbeat;
mod message;
mod owner;
mod secret;
mod transport;

pub use agent::{AgentPort, AgentPortClient};
pub use heartbeat::{HeartbeatPublisher, HeartbeatSubscriber};
pub use message::{
    CallAttachment, DispatchOrder, DispatchReceipt, EngineCommand, EngineOrder, OutputChunk, OutputRequest,
    PortResult, ProgramStart, ProgramSummary, SettledCall, SubmittedCall,
};
pub use owner::{OwnerPort, OwnerPortClient};
pub use secret::ClusterSecret;
pub use transport::{PeerListener, PeerTransport, connect_peer};
