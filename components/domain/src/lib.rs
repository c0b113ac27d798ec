//! Domain types shared by every process.

mod build;
mod call;
mod configuration;
mod content;
mod host;
mod instance;
mod key;
mod name;
mod program;
mod quantity;
mod rate;
mod workspace;

pub use build::BuildKey;
pub use call::{
    CallOutcome, CallPayload, CallReply, CallRequest, ChatMessage, ChatRole, PlainReply, PlainRequest,
    TokenUsage,
};
pub use configuration::{
    AppliedConfiguration, CallLimits, ClusterConfiguration, PolicyWeights, ServiceConfig, ServiceKind,
    ServicePrices, TeamConfig,
};
pub use content::{ContentKey, RequestContent};
pub use host::{
    Heartbeat, HostRole, HostState, ListedHost, LoadDigest, MemberRecord, MemberState, MemberTable,
    ModelState, successor_of,
};
pub use instance::InstanceKey;
pub use key::{AttemptKey, AttemptNumber, CallKey, Generation, IncarnationId, ProgramKey, TenureNumber};
pub use name::{FailureDomain, HostName, ServiceName, TeamName};
pub use program::{FinishedCall, IntentRecord, ProgramPhase, ProgramState, UnsettledAttempt, UrgencyClass};
pub use quantity::{MicroUnits, TimeMillis, TokenCount};
pub use rate::RequestRate;
pub use workspace::{RequestQuota, WorkspaceKey};
