//! RPC interface of an entry, called by other entries and by agents.

use domain::{
    AppliedConfiguration, CallKey, CallOutcome, Generation, IncarnationId, ProgramKey, ProgramState,
    TeamName, TenureNumber,
};

use crate::message::{CallAttachment, OutputChunk, OutputRequest, PortResult, ProgramSummary, SubmittedCall};

/// Requests that an entry serves for the programs it owns.
#[tarpc::service]
pub trait OwnerPort {
    /// Queues a call, or attaches to the existing call with the same idempotency key.
    async fn submit_call(submitted: SubmittedCall) -> PortResult<CallAttachment>;

    /// Returns output of a call from a byte offset on. Waits up to the request's `wait_ms` until there is
    /// some.
    async fn read_output(request: OutputRequest) -> PortResult<OutputChunk>;

    /// Returns the state of a program. The team is `None` when an operator asks.
    async fn read_program(team: Option<TeamName>, program: ProgramKey) -> PortResult<ProgramState>;

    /// Ends a program. The team is `None` when an operator asks; the program is then cancelled.
    async fn end_program(team: Option<TeamName>, program: ProgramKey) -> PortResult<ProgramSummary>;

    /// Returns the outcome of a call, or `None` when this entry has recorded none.
    async fn call_outcome(team: TeamName, call: CallKey) -> PortResult<Option<CallOutcome>>;

    /// Lists the programs that the entry owns.
    async fn list_programs() -> PortResult<Vec<ProgramSummary>>;

    /// Returns the programs of the list whose cache may be released: those of this owner that have ended or
    /// of which it has no record.
    async fn released_programs(held: Vec<(ProgramKey, TenureNumber)>) -> PortResult<Vec<ProgramKey>>;

    /// Returns the configuration in force at the entry, or `None` before the first one.
    async fn fetch_configuration() -> PortResult<Option<AppliedConfiguration>>;

    /// Notifies this entry of a member table that seals the journal of `from`, and waits until this entry has
    /// adopted its share of the programs of `from`, that is, has written them to its own journal. Returns
    /// `false` when that takes longer than a second.
    async fn await_adoption(members: Generation, from: IncarnationId) -> PortResult<bool>;

    /// Starts a planned stop of the entry: it drains and hands its programs over.
    async fn drain_host() -> PortResult<()>;
}
