//! Adoption: guards against programs or acknowledged turns that are lost, or are continued by two owners,
//! when an entry restarts, is suspected falsely, fails while it adopts, or is sealed at the same time as
//! another.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::{IncarnationId, MemberState, ProgramKey, TenureNumber, successor_of};
use googletest::prelude::*;
use journal::{JournalError, JournalRecord, apply_to_program, replay_journal, seal_journal};
use store::{MemoryStore, ObjectStore, ObjectVersion, StoreResult, VersionedObject, WriteCondition};
use support::*;
use tokio::sync::Semaphore;

/// Suspicion time that is longer than any of these tests.
const NO_SUSPICION: Duration = Duration::from_mins(10);
/// More turns than an owner finishes before it is sealed.
const MAX_TURNS: u64 = 5000;

fn memory_store() -> Arc<dyn ObjectStore> {
    Arc::new(MemoryStore::new())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_takes_over_from_an_earlier_incarnation_of_its_address() {
    let store = memory_store();
    let own_address = free_address();
    write_members(store.as_ref(), 2, vec![member(1, own_address, MemberState::Live)]).await;
    let earlier = open_journal(&store, 1);
    let program = program_key(1, 1);
    let records = vec![JournalRecord::Started(new_program(program)), turn(program, 1)];
    earlier.append(records).await.expect("append");
    let entry = RunningEntry::start(Arc::clone(&store), own_address, NO_SUSPICION).await;
    expect_that!(entry.history(program).await, ok(elements_are![eq("1")]));
    // The earlier process had only been paused and now resumes.
    let late = earlier.append(vec![turn(program, 2)]).await;
    expect_that!(
        late,
        err(eq(&JournalError::Sealed {
            successors: vec![IncarnationId(2)]
        }))
    );
    expect_that!(entry.history(program).await, ok(elements_are![eq("1")]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn falsely_suspected_owner_loses_no_acknowledged_turn() {
    let store = memory_store();
    write_members(
        store.as_ref(),
        2,
        vec![member(1, unreachable_address(), MemberState::Live)],
    )
    .await;
    let owner = open_journal(&store, 1);
    let program = program_key(1, 1);
    owner
        .append(vec![JournalRecord::Started(new_program(program))])
        .await
        .expect("append");
    let entry = RunningEntry::start(Arc::clone(&store), any_address(), Duration::from_millis(200)).await;
    let mut acknowledged = Vec::new();
    let mut fenced = None;
    for call in 1..=MAX_TURNS {
        match owner.append(vec![turn(program, call)]).await {
            Ok(()) => acknowledged.push(call.to_string()),
            Err(error) => {
                fenced = Some(error);
                break;
            }
        }
    }
    let successors = vec![IncarnationId(2)];
    expect_that!(fenced, some(eq(&JournalError::Sealed { successors })));
    expect_that!(entry.history(program).await, ok(eq(&acknowledged)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn successor_seals_a_journal_whose_sealer_failed_before_sealing_it() {
    let store = memory_store();
    write_members(
        store.as_ref(),
        2,
        vec![member(1, unreachable_address(), sealed_for(&[2]))],
    )
    .await;
    let owner = open_journal(&store, 1);
    let program = program_key(1, 1);
    let records = vec![JournalRecord::Started(new_program(program)), turn(program, 1)];
    owner.append(records).await.expect("append");
    let entry = RunningEntry::start(Arc::clone(&store), any_address(), NO_SUSPICION).await;
    expect_that!(entry.history(program).await, ok(elements_are![eq("1")]));
    let late = owner.append(vec![turn(program, 2)]).await;
    expect_that!(late, err(matches_pattern!(JournalError::Sealed { .. })));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn successor_reuses_no_call_number_that_the_earlier_owner_may_have_dispatched() {
    let store = memory_store();
    write_members(
        store.as_ref(),
        2,
        vec![member(1, unreachable_address(), sealed_for(&[2]))],
    )
    .await;
    let owner = open_journal(&store, 1);
    let program = program_key(1, 1);
    owner
        .append(vec![
            JournalRecord::Started(new_program(program)),
            turn(program, 1),
        ])
        .await
        .expect("append");
    // Call 2 may have reached an agent although the owner was fenced before its intent was in the journal.
    let entry = RunningEntry::start(Arc::clone(&store), any_address(), NO_SUSPICION).await;
    expect_that!(entry.history(program).await, ok(elements_are![eq("1")]));
    let adopted = replay_journal(store.as_ref(), IncarnationId(2))
        .await
        .expect("replay")
        .state;
    expect_that!(
        adopted.program(program).map(|program| program.next_call),
        some(gt(2))
    );
}

/// Records that the first successor appended before it failed.
struct AdoptionCase {
    name: &'static str,
    adopts_program: bool,
    runs_turn: bool,
    finishes_adoption: bool,
    expected: &'static [&'static str],
}

const ADOPTIONS: &[AdoptionCase] = &[
    AdoptionCase {
        name: "nothing",
        adopts_program: false,
        runs_turn: false,
        finishes_adoption: false,
        expected: &["1"],
    },
    AdoptionCase {
        name: "program",
        adopts_program: true,
        runs_turn: false,
        finishes_adoption: false,
        expected: &["1"],
    },
    AdoptionCase {
        name: "turn",
        adopts_program: true,
        runs_turn: true,
        finishes_adoption: false,
        expected: &["1", "2"],
    },
    AdoptionCase {
        name: "all",
        adopts_program: true,
        runs_turn: true,
        finishes_adoption: true,
        expected: &["1", "2"],
    },
];

/// Returns a program of incarnation 1 that is assigned to `wanted` among the successors.
fn program_of_successor(successors: &[u64], wanted: u64) -> ProgramKey {
    let successors: Vec<_> = successors.iter().copied().map(IncarnationId).collect();
    let mut keys = (1..).map(|sequence| program_key(1, sequence));
    let found = keys.find(|key| successor_of(*key, &successors) == Some(IncarnationId(wanted)));
    found.expect("a program is assigned to each successor")
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_of_a_successor_that_failed_while_adopting_keep_their_latest_state() {
    for case in ADOPTIONS {
        let store = memory_store();
        let (inherited, own) = (program_of_successor(&[2, 4], 2), program_of_successor(&[2, 4], 4));
        let first = open_journal(&store, 1);
        let mut state = new_program(inherited);
        let starts = [state.clone(), new_program(own)].map(JournalRecord::Started);
        first
            .append([&starts[..], &[turn(inherited, 1), turn(own, 1)]].concat())
            .await
            .expect("append");
        apply_to_program(&mut state, &turn(inherited, 1));
        first
            .seal_own([2, 4].map(IncarnationId).to_vec())
            .await
            .expect("seal");
        let successor = open_journal(&store, 2);
        state.tenure = TenureNumber(2);
        let steps = [
            (case.adopts_program, JournalRecord::Started(state)),
            (case.runs_turn, turn(inherited, 2)),
            (
                case.finishes_adoption,
                JournalRecord::Adopted {
                    from: IncarnationId(1),
                },
            ),
        ];
        for (_, record) in steps.into_iter().filter(|(is_taken, _)| *is_taken) {
            successor.append(vec![record]).await.expect("append");
        }
        successor.seal_own(vec![IncarnationId(4)]).await.expect("seal");
        let members = vec![
            member(1, unreachable_address(), sealed_for(&[2, 4])),
            member(2, unreachable_address(), sealed_for(&[4])),
        ];
        write_members(store.as_ref(), 4, members).await;
        let entry = RunningEntry::start(Arc::clone(&store), any_address(), NO_SUSPICION).await;
        expect_that!(
            entry.history(inherited).await,
            ok(eq(&case.expected)),
            "{}",
            case.name
        );
        expect_that!(
            entry.history(own).await,
            ok(elements_are![eq("1")]),
            "{}",
            case.name
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_have_an_owner_when_two_members_are_sealed_at_once() {
    let store = memory_store();
    let own_address = free_address();
    let members = vec![
        member(1, own_address, MemberState::Live),
        member(2, unreachable_address(), MemberState::Live),
    ];
    write_members(store.as_ref(), 3, members).await;
    let first = open_journal(&store, 1);
    let program = program_of_successor(&[2, 3], 2);
    let records = vec![JournalRecord::Started(new_program(program)), turn(program, 1)];
    first.append(records).await.expect("append");
    let hosts = publish_member(member(2, unreachable_address(), MemberState::Live)).await;
    let racing = Arc::new(RacingStore::new(Arc::clone(&store)));
    let shared: Arc<dyn ObjectStore> = Arc::<RacingStore>::clone(&racing);
    let entry = RunningEntry::start_with_hosts(shared, own_address, NO_SUSPICION, hosts).await;
    while !entry.has_received_heartbeat("entry-2").await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Another entry seals 2 while its table still shows 1 as live. At the same time this entry, which
    // receives heartbeats of 2, is about to seal 1.
    racing.sealing.add_permits(Semaphore::MAX_PERMITS);
    expect_that!(entry.history(program).await, ok(elements_are![eq("1")]));
}

/// Store in which another entry seals member 2 just before the first write after the join.
#[derive(Debug)]
struct RacingStore {
    inner: Arc<dyn ObjectStore>,
    reads: AtomicU32,
    writes: AtomicU32,
    /// Reads after those of the join wait for a permit.
    sealing: Semaphore,
}

impl RacingStore {
    const READS_OF_A_JOIN: u32 = 2;

    fn new(inner: Arc<dyn ObjectStore>) -> Self {
        Self {
            inner,
            reads: AtomicU32::new(0),
            writes: AtomicU32::new(0),
            sealing: Semaphore::new(0),
        }
    }

    async fn seal_second(&self) {
        let store = self.inner.as_ref();
        let successors = [1, 3].map(IncarnationId).to_vec();
        seal_journal(store, IncarnationId(2), IncarnationId(1), successors)
            .await
            .expect("seal");
        let mut table = read_members(store).await;
        table.members[1].state = sealed_for(&[1, 3]);
        write_members(store, table.next.0, table.members).await;
    }
}

#[async_trait]
impl ObjectStore for RacingStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        if key == "members" && self.reads.fetch_add(1, Ordering::SeqCst) >= Self::READS_OF_A_JOIN {
            self.sealing.acquire().await.expect("semaphore").forget();
        }
        self.inner.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        if self.writes.fetch_add(1, Ordering::SeqCst) == 1 {
            self.seal_second().await;
        }
        self.inner.write(key, value, condition).await
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        self.inner.list(prefix).await
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
