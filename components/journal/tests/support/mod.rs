//! Programs, records and faulty stores for the tests of the journal.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::*;
use journal::{JournalRecord, JournalWriter, ReplayedJournal, replay_journal};
use store::{MemoryStore, ObjectStore, ObjectVersion, StoreResult, VersionedObject, WriteCondition};
use tokio::sync::Semaphore;

pub const OWNER: IncarnationId = IncarnationId(7);
pub const SUCCESSOR: IncarnationId = IncarnationId(8);
pub const OTHER_SUCCESSOR: IncarnationId = IncarnationId(9);
pub const SPACING: Duration = Duration::from_millis(20);
pub const BUFFER_BYTES: usize = 8 << 20;

pub fn program_key(sequence: u64) -> ProgramKey {
    ProgramKey {
        incarnation: OWNER,
        sequence,
    }
}

pub fn started(sequence: u64) -> JournalRecord {
    JournalRecord::Started(new_program(sequence))
}

pub fn new_program(sequence: u64) -> ProgramState {
    let team = "hulls".parse().expect("team");
    ProgramState::new(program_key(sequence), team, UrgencyClass::Ordinary, TimeMillis(1))
}

pub fn call_key(program: u64, sequence: u64) -> CallKey {
    CallKey {
        program: program_key(program),
        sequence,
    }
}

pub fn host() -> HostName {
    "worker-1".parse().expect("host")
}

pub fn intent(program: u64, call: u64) -> JournalRecord {
    JournalRecord::Intent(IntentRecord {
        attempt: AttemptKey {
            call: call_key(program, call),
            tenure: TenureNumber(1),
            attempt: AttemptNumber(1),
        },
        request: CallRequest {
            service: "notes".parse().expect("service"),
            idempotency_key: format!("key-{call}"),
            payload: CallPayload::Chat {
                messages: Vec::new(),
                max_tokens: 9,
            },
        },
        host: host(),
        agent_start: 3,
        reserved: MicroUnits(50),
    })
}

pub fn finished(program: u64, call: u64) -> JournalRecord {
    finished_with(program, call, format!("answer {call}"))
}

pub fn finished_with(program: u64, call: u64, content: String) -> JournalRecord {
    JournalRecord::Finished {
        finished: FinishedCall {
            unsettled: None,
            call: call_key(program, call),
            idempotency_key: format!("key-{call}"),
            fingerprint: call,
            outcome: CallOutcome::Answered(CallReply::Chat {
                text: String::new(),
                usage: TokenUsage::default(),
            }),
            charged: MicroUnits(5),
        },
        new_messages: vec![ChatMessage {
            role: ChatRole::Assistant,
            content,
        }],
        host: Some(host()),
        served_tokens: 3,
        at: TimeMillis(call),
    }
}

pub fn open<S: ObjectStore + 'static>(store: &Arc<S>) -> JournalWriter {
    let store: Arc<dyn ObjectStore> = Arc::<S>::clone(store);
    JournalWriter::open(store, OWNER, SPACING, BUFFER_BYTES)
}

/// Returns the contents of the messages in a program's history, in order.
pub fn contents(program: &ProgramState) -> Vec<&str> {
    program
        .history
        .iter()
        .map(|message| message.content.as_str())
        .collect()
}

/// Point of a call at which its process stops, relative to the effect of the call on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPoint {
    BeforeEffect,
    AfterEffect,
}

/// Store that blocks one call, as if the calling process were paused or killed at that point.
#[derive(Debug)]
pub struct StoppingStore {
    pub inner: Arc<MemoryStore>,
    calls: AtomicU64,
    stop_at: u64,
    point: StopPoint,
    stopped: Semaphore,
    resumed: Semaphore,
}

impl StoppingStore {
    /// Creates a store that blocks call number `stop_at`, counted from 1.
    pub fn new(inner: &Arc<MemoryStore>, stop_at: u64, point: StopPoint) -> Arc<Self> {
        Arc::new(Self {
            inner: Arc::clone(inner),
            calls: AtomicU64::new(0),
            stop_at,
            point,
            stopped: Semaphore::new(0),
            resumed: Semaphore::new(0),
        })
    }

    pub async fn wait_stopped(&self) {
        self.stopped.acquire().await.expect("semaphore").forget();
    }

    pub fn resume(&self) {
        self.resumed.add_permits(1);
    }

    async fn forward<T>(&self, call: impl Future<Output = T> + Send) -> T {
        let is_stop = self.calls.fetch_add(1, Ordering::SeqCst) + 1 == self.stop_at;
        if is_stop && self.point == StopPoint::BeforeEffect {
            self.stop().await;
        }
        let answer = call.await;
        if is_stop && self.point == StopPoint::AfterEffect {
            self.stop().await;
        }
        answer
    }

    async fn stop(&self) {
        self.stopped.add_permits(1);
        self.resumed.acquire().await.expect("semaphore").forget();
    }
}

#[async_trait]
impl ObjectStore for StoppingStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        self.forward(self.inner.read(key)).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        self.forward(self.inner.write(key, value, condition)).await
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        self.forward(self.inner.delete(key, version)).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        self.forward(self.inner.list(prefix)).await
    }

    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        self.inner.watch(key, known_version, wait).await
    }
}

pub async fn replay(store: &MemoryStore) -> ReplayedJournal {
    replay_journal(store, OWNER).await.expect("replay")
}

/// Returns the contents of the histories of all programs, sorted by program key.
pub fn histories(replayed: &ReplayedJournal) -> Vec<Vec<&str>> {
    replayed.state.programs().iter().map(contents).collect()
}
