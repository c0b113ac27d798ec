//! A fake entry that answers as configured by the test.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use domain::{
    AppliedConfiguration, CallKey, CallOutcome, Generation, Heartbeat, HostRole, IncarnationId, ProgramKey,
    ProgramState, TeamName, TenureNumber,
};
use errors::{CallError, ResultCode};
use futures::StreamExt as _;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tokio_util::task::AbortOnDropHandle;
use wire::{
    CallAttachment, HeartbeatPublisher, OutputChunk, OutputRequest, OwnerPort, PeerListener, PortResult,
    ProgramSummary, SubmittedCall,
};

use crate::support::{HEARTBEAT_INTERVAL, any_port, secret};

const CONFIGURATION: &str = include_str!("fixtures/cluster.ini");

/// Answers of the entry, and the queries that it received.
#[derive(Debug, Default)]
pub struct EntryState {
    pub generation: u64,
    /// Whether the entry publishes no heartbeats.
    pub muted: bool,
    /// Programs that the entry reports as ended.
    pub ended: Vec<ProgramKey>,
    pub queries: Vec<(ProgramKey, TenureNumber)>,
}

/// A running fake entry.
pub struct FakeEntry {
    pub heartbeat: SocketAddr,
    state: Arc<Mutex<EntryState>>,
    _tasks: [AbortOnDropHandle<()>; 2],
}

impl FakeEntry {
    /// Starts an entry with an incarnation and a generation.
    pub async fn start(incarnation: u64, generation: u64) -> Self {
        let state = Arc::new(Mutex::new(EntryState {
            generation,
            ..EntryState::default()
        }));
        let listener = PeerListener::bind(any_port(), secret()).await.expect("bound");
        let address = listener.local_address().expect("bound");
        let server = EntryServer(Arc::clone(&state));
        let accepting = listener.accept_all(move |transport| {
            let answers = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(answers.for_each_concurrent(None, |answer| answer));
        });
        let publisher = HeartbeatPublisher::bind(any_port(), secret()).expect("a free port");
        let heartbeat = publisher.local_address();
        let published_state = Arc::clone(&state);
        let publishing = async move {
            for sequence in 1.. {
                let (generation, muted) = {
                    let state = published_state.lock().expect("lock");
                    (state.generation, state.muted)
                };
                if !muted {
                    let heartbeat = entry_heartbeat(incarnation, sequence, generation, address);
                    publisher.publish(&heartbeat).expect("published");
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        };
        let tasks = [tokio::spawn(accepting), tokio::spawn(publishing)].map(AbortOnDropHandle::new);
        Self {
            heartbeat,
            state,
            _tasks: tasks,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().expect("lock")
    }
}

fn entry_heartbeat(incarnation: u64, sequence: u64, generation: u64, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        host: format!("entry-{incarnation}").parse().expect("a name"),
        role: HostRole::Entry,
        failure_domain: "colombo-1".parse().expect("a name"),
        start: incarnation,
        sequence,
        address,
        generation: Generation(generation),
        members: Generation(1),
        leaving: false,
        load: None,
    }
}

#[derive(Clone)]
struct EntryServer(Arc<Mutex<EntryState>>);

fn unsupported<T>() -> PortResult<T> {
    Err(CallError::not_run(ResultCode::Internal, "not part of the test"))
}

impl OwnerPort for EntryServer {
    async fn submit_call(self, _: Context, _: SubmittedCall) -> PortResult<CallAttachment> {
        unsupported()
    }

    async fn read_output(self, _: Context, _: OutputRequest) -> PortResult<OutputChunk> {
        unsupported()
    }

    async fn read_program(self, _: Context, _: Option<TeamName>, _: ProgramKey) -> PortResult<ProgramState> {
        unsupported()
    }

    async fn end_program(self, _: Context, _: Option<TeamName>, _: ProgramKey) -> PortResult<ProgramSummary> {
        unsupported()
    }

    async fn call_outcome(self, _: Context, _: TeamName, _: CallKey) -> PortResult<Option<CallOutcome>> {
        unsupported()
    }

    async fn list_programs(self, _: Context) -> PortResult<Vec<ProgramSummary>> {
        unsupported()
    }

    async fn released_programs(
        self,
        _: Context,
        held: Vec<(ProgramKey, TenureNumber)>,
    ) -> PortResult<Vec<ProgramKey>> {
        let mut state = self.0.lock().expect("lock");
        state.queries.extend(&held);
        Ok(held
            .into_iter()
            .map(|(program, _)| program)
            .filter(|program| state.ended.contains(program))
            .collect())
    }

    async fn fetch_configuration(self, _: Context) -> PortResult<Option<AppliedConfiguration>> {
        let generation = Generation(self.0.lock().expect("lock").generation);
        let content = config::parse_configuration(CONFIGURATION).expect("a valid text");
        Ok((generation.0 > 0).then(|| AppliedConfiguration {
            generation,
            text: CONFIGURATION.to_owned(),
            content,
        }))
    }

    async fn await_adoption(self, _: Context, _: Generation, _: IncarnationId) -> PortResult<bool> {
        unsupported()
    }

    async fn drain_host(self, _: Context) -> PortResult<()> {
        unsupported()
    }
}

/// Time after which a test fails while it waits for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
