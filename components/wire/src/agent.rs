//! RPC interface of an agent, called by the entries that own programs.

use domain::{AttemptKey, CallKey, ProgramKey, TenureNumber};

use crate::message::{DispatchOrder, DispatchReceipt, EngineOrder, OutputChunk, PortResult, SettledCall};

/// Requests that an agent serves for its backend server.
#[tarpc::service]
pub trait AgentPort {
    /// Queues an order. Repeating the request with the same attempt has no effect.
    async fn dispatch_call(order: DispatchOrder) -> PortResult<DispatchReceipt>;

    /// Returns output of an attempt from a byte offset on. Waits up to `wait_ms` milliseconds until there is
    /// some.
    async fn read_attempt(attempt: AttemptKey, offset: u64, wait_ms: u64) -> PortResult<OutputChunk>;

    /// Returns the state of a call as far as the agent can prove it. After `Refused` the agent never starts
    /// the call.
    async fn settle_call(call: CallKey, tenure: TenureNumber, agent_start: u64) -> PortResult<SettledCall>;

    /// Cancels a queued or running call. A running call that may not be repeated runs to its end.
    async fn cancel_call(call: CallKey, tenure: TenureNumber) -> PortResult<()>;

    /// Releases the cache of an ended program, cancels its calls and refuses later ones.
    async fn release_program(program: ProgramKey, tenure: TenureNumber) -> PortResult<()>;

    /// Forwards an order to the engine unless its term is smaller than the largest received.
    async fn order_engine(order: EngineOrder) -> PortResult<()>;

    /// Drains the host: the agent accepts no new calls and lets running ones finish.
    async fn drain_host() -> PortResult<()>;
}
