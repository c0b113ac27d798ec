//! The port of an agent, spoken to by the owners of programs.

use domain::{AttemptKey, CallKey, ProgramKey, TenureNumber};

use crate::message::{DispatchOrder, DispatchReceipt, EngineOrder, OutputChunk, PortResult, SettledCall};

/// Calls that an agent answers for its backend server.
#[tarpc::service]
pub trait AgentPort {
    /// Takes an order into the queue; repeating it with the same attempt changes nothing.
    async fn dispatch_call(order: DispatchOrder) -> PortResult<DispatchReceipt>;

    /// Returns output of an attempt behind an offset in bytes and waits up to `wait_ms` until there is some.
    async fn read_attempt(attempt: AttemptKey, offset: u64, wait_ms: u64) -> PortResult<OutputChunk>;

    /// Proves what became of a call, or promises never to start it.
    async fn settle_call(call: CallKey, tenure: TenureNumber, agent_start: u64) -> PortResult<SettledCall>;

    /// Cancels a call that waits or runs.
    async fn cancel_call(call: CallKey, tenure: TenureNumber) -> PortResult<()>;

    /// Releases the cache of a program that has ended and refuses its further calls.
    async fn release_program(program: ProgramKey, tenure: TenureNumber) -> PortResult<()>;

    /// Passes an order on to the engine after checking its term.
    async fn order_engine(order: EngineOrder) -> PortResult<()>;

    /// Asks the agent to leave: no new calls, running ones finish.
    async fn drain_host() -> PortResult<()>;
}
