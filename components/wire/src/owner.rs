//! The port of an entry, spoken to by entries and agents.

use domain::{
    AppliedConfiguration, CallKey, CallOutcome, Generation, IncarnationId, ProgramKey, ProgramState,
    TeamName, TenureNumber,
};

use crate::message::{CallAttachment, OutputChunk, OutputRequest, PortResult, ProgramSummary, SubmittedCall};

/// Calls that an entry answers for the programs it owns.
#[tarpc::service]
pub trait OwnerPort {
    /// Takes a call in, or attaches to the one with the same idempotency key.
    async fn submit_call(submitted: SubmittedCall) -> PortResult<CallAttachment>;

    /// Returns output of a call behind an offset and waits until there is some.
    async fn read_output(request: OutputRequest) -> PortResult<OutputChunk>;

    /// Returns the state of a program; `None` as team stands for an operator.
    async fn read_program(team: Option<TeamName>, program: ProgramKey) -> PortResult<ProgramState>;

    /// Ends a program; `None` as team stands for an operator, who cancels it.
    async fn end_program(team: Option<TeamName>, program: ProgramKey) -> PortResult<ProgramSummary>;

    /// Returns the outcome of a call if it is known.
    async fn call_outcome(team: TeamName, call: CallKey) -> PortResult<Option<CallOutcome>>;

    /// Lists the programs that the entry owns.
    async fn list_programs() -> PortResult<Vec<ProgramSummary>>;

    /// Returns the programs of the list whose cache may be released: ended ones and unknown ones of this owner.
    async fn released_programs(held: Vec<(ProgramKey, TenureNumber)>) -> PortResult<Vec<ProgramKey>>;

    /// Returns the configuration in force at the entry.
    async fn fetch_configuration() -> PortResult<Option<AppliedConfiguration>>;

    /// Tells of a member table that seals `from`, and waits until its programs that fall to this entry stand in
    /// this entry's journal; `false` when that takes longer than a second.
    async fn await_adoption(members: Generation, from: IncarnationId) -> PortResult<bool>;

    /// Asks the entry to leave by a planned stop.
    async fn drain_host() -> PortResult<()>;
}
