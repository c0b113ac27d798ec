//! Table of result codes; `docs/CODES.md` documents them for operators.

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $status:literal;)*) => {
        /// Cause of a failure, identified by a stable number.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$meta])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status that accompanies the code.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$name),)*
                    _ => Err(format!("unknown result code {number}")),
                }
            }
        }
    };
}

result_codes! {
    /// The request body is not valid JSON or lacks a required field.
    MalformedRequest = 1001, 400;
    /// The request body exceeds the configured limit.
    BodyTooLarge = 1002, 413;
    /// The path or method is not part of the interface.
    UnknownRoute = 1003, 404;
    /// The named service is not in the configuration.
    UnknownService = 1004, 404;
    /// The program does not exist.
    UnknownProgram = 1005, 404;
    /// The call does not exist in the program.
    UnknownCall = 1006, 404;
    /// The program has ended and takes no further calls.
    ProgramEnded = 1007, 409;
    /// The idempotency key was used before with a different request.
    KeyReused = 1008, 422;
    /// A header is missing or malformed.
    MalformedHeader = 1009, 400;
    /// The service is not of the kind that the route requires.
    WrongServiceKind = 1010, 400;
    /// The client took too long to send its request.
    RequestTimeout = 1011, 408;
    /// The turn that a request continues does not exist.
    UnknownTurn = 1012, 404;
    /// The bearer token is missing or does not belong to any team.
    Unauthorized = 2001, 401;
    /// The program belongs to another team.
    Forbidden = 2002, 404;
    /// A peer failed the shared-key handshake.
    PeerRefused = 2003, 403;
    /// The request has no API key, or one that belongs to no workspace.
    UnknownApiKey = 2004, 401;
    /// The queue of the service is full.
    QueueFull = 3001, 503;
    /// The budget of the team does not cover the highest possible price of the call.
    BudgetExhausted = 3002, 429;
    /// The call is predicted to finish after the deadline of the program.
    DeadlineUnreachable = 3003, 503;
    /// A service on which the requested one depends is down.
    DependencyDown = 3004, 503;
    /// The program has reached its limit of turns or of context tokens.
    TurnLimit = 3005, 429;
    /// The program has reached its time limit.
    TimeLimit = 3006, 429;
    /// The program repeated the same call too many times in a row.
    RepetitionLimit = 3007, 429;
    /// No backend server of the service is live.
    NoBackendServer = 3008, 503;
    /// The process is stopping and accepts no new work.
    Leaving = 3009, 503;
    /// The owner of the program cannot be reached.
    OwnerUnreachable = 3010, 503;
    /// The entry no longer owns the program.
    NotOwner = 3011, 503;
    /// The object API cannot be reached and the request needs it.
    PlatformUnavailable = 3012, 503;
    /// The operator or the caller cancelled the program.
    Cancelled = 3013, 409;
    /// The program's deadline passed before the call started.
    DeadlinePassed = 3014, 504;
    /// The agent rejected a dispatch with an older tenure than the latest that it received for the program.
    StaleTenure = 3015, 409;
    /// The agent rejected an attempt that it guaranteed never to run or that a later attempt replaced.
    CallRefused = 3016, 409;
    /// The agent has restarted since the owner chose it and has no record of what its earlier process ran.
    AgentRestarted = 3017, 503;
    /// The token budget of the program does not cover another turn.
    ProgramBudgetSpent = 3018, 402;
    /// Too few ledger hosts are reachable to decide on the request.
    LedgerUnavailable = 3019, 503;
    /// Each backend server that was tried rejected the request.
    BackendRefused = 3020, 503;
    /// The process has not received a configuration yet.
    NotConfigured = 3021, 503;
    /// No ledger host that answered has a record of the turn that the request continues.
    TurnNotFound = 3022, 503;
    /// No backend server runs the software version that began the stream.
    VersionUnavailable = 3023, 503;
    /// No ledger host that answered has a record of the stream that the caller takes up again.
    StreamNotFound = 3024, 503;
    /// Every backend server that could take the request has reached the limit that it has named.
    ServerLimited = 3025, 503;
    /// Several backend servers have crashed under the request.
    ServersCrash = 3026, 503;
    /// The workspace has used its quota of requests.
    QuotaExceeded = 3027, 429;
    /// The configuration may be out of date, so that the entry cannot tell whether the API key is valid.
    ConfigurationStale = 3028, 503;
    /// The answers that the entry holds for slow readers have used up its memory for them.
    MemoryExhausted = 3029, 503;
    /// The call may have run; its outcome is unknown.
    OutcomeUnknown = 4001, 504;
    /// The stream was interrupted and cannot be resumed without mixing two answers.
    StreamBroken = 4002, 502;
    /// The backend server answered with an error after running the call.
    BackendFailed = 4003, 502;
    /// The backend server's answer exceeds the configured limit.
    AnswerTooLarge = 4004, 502;
    /// The object API rejected a conditional update because the object has another version.
    VersionConflict = 5001, 409;
    /// The object API did not answer in time.
    PlatformTimeout = 5002, 503;
    /// The object API violated its protocol.
    PlatformProtocol = 5003, 502;
    /// An object exceeds the size limit of the object API.
    ObjectTooLarge = 5004, 413;
    /// A journal segment has a wrong checksum or cannot be decoded.
    CorruptSegment = 5005, 500;
    /// The journal of this incarnation was sealed by a peer.
    JournalSealed = 5006, 503;
    /// A settings file cannot be read.
    SettingsUnreadable = 6001, 500;
    /// A line of a settings file or configuration text is not valid INI.
    SyntaxFault = 6002, 400;
    /// A section is unknown.
    UnknownSection = 6003, 400;
    /// A key is unknown in its section.
    UnknownKey = 6004, 400;
    /// A required key is missing.
    MissingKey = 6005, 400;
    /// A value is not of the expected form.
    MalformedValue = 6006, 400;
    /// A value lies outside its permitted range.
    ValueOutOfRange = 6007, 400;
    /// A section occurs more than once.
    DuplicateSection = 6008, 400;
    /// A key occurs more than once in a section.
    DuplicateKey = 6009, 400;
    /// A service depends on a service that no section declares.
    UnknownDependency = 7001, 400;
    /// The dependencies of services form a cycle.
    DependencyCycle = 7002, 400;
    /// A service lacks a price that its kind requires.
    MissingPrice = 7003, 400;
    /// Two limits contradict each other.
    ImpossibleLimit = 7004, 400;
    /// A service names a failure domain that the configuration does not declare.
    UnknownFailureDomain = 7005, 400;
    /// The base generation of an update is not the current generation.
    GenerationConflict = 7006, 409;
    /// No configuration has been applied yet.
    NoConfiguration = 7007, 404;
    /// Two teams share one API key.
    SharedTeamKey = 7008, 400;
    /// A peer is unreachable.
    PeerUnreachable = 8001, 503;
    /// An internal invariant does not hold.
    Internal = 8002, 500;
}

impl ResultCode {
    /// Returns the stable number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}
