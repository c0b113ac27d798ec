//! Random records, faults, snapshots and kills: the journal contains all acknowledged records, in order.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use domain::{CallKey, ProgramPhase, ProgramState, TenureNumber};
use googletest::prelude::*;
use journal::{JournalRecord, JournalState, JournalWriter, seal_journal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::{MemoryFaults, MemoryStore};
use support::*;

const SEEDS: std::ops::Range<u64> = 0..300;
const PROGRAMS: u64 = 3;

/// State of an owner: the acknowledged calls, and the state that results from their records.
#[derive(Debug, Default)]
struct OwnerState {
    acknowledged: Vec<u64>,
    journal_state: JournalState,
}

fn record_of(call: u64) -> JournalRecord {
    if call <= PROGRAMS {
        started(call)
    } else {
        finished(call % PROGRAMS + 1, call)
    }
}

fn random_faults(random: &mut StdRng) -> MemoryFaults {
    MemoryFaults {
        outage: random.random_ratio(1, 8),
        lose_answers: random.random_range(0..2),
        lose_requests: random.random_range(0..2),
    }
}

async fn append_call(writer: JournalWriter, state: Arc<Mutex<OwnerState>>, call: u64) {
    if writer.append(vec![record_of(call)]).await.is_ok() {
        let mut state = state.lock().expect("state");
        state.acknowledged.push(call);
        state.journal_state.apply(&record_of(call));
    }
}

/// Runs an owner through 60 appends with random faults and snapshots. If `stopping` has blocked one of its
/// calls, the tasks that wait for the call remain pending.
async fn run_owner(random: &mut StdRng, store: &Arc<MemoryStore>, stopping: &Arc<StoppingStore>) -> OwnerRun {
    let writer = open(stopping);
    let state = Arc::new(Mutex::new(OwnerState::default()));
    let mut tasks = Vec::new();
    for call in 1..=60 {
        tasks.push(tokio::spawn(append_call(
            writer.clone(),
            Arc::clone(&state),
            call,
        )));
        tokio::task::yield_now().await;
        match random.random_range(0..10) {
            0 => store.set_faults(random_faults(random)),
            1 => {
                let (writer, states) = (writer.clone(), current_states(&state));
                tasks.push(tokio::spawn(
                    async move { drop(writer.fold(&states, &[], &[]).await) },
                ));
            }
            2..6 => tokio::time::sleep(Duration::from_millis(random.random_range(0..200))).await,
            _ => {}
        }
    }
    store.set_faults(MemoryFaults::default());
    tokio::time::sleep(Duration::from_secs(random.random_range(0..10))).await;
    OwnerRun { state, tasks }
}

struct OwnerRun {
    state: Arc<Mutex<OwnerState>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

fn current_states(state: &Mutex<OwnerState>) -> Vec<ProgramState> {
    state.lock().expect("state").journal_state.programs().to_vec()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn replay_yields_a_prefix_of_the_records_with_all_acknowledged_ones() {
    let mut stopped = 0;
    for seed in SEEDS {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let point = if random.random() {
            StopPoint::BeforeEffect
        } else {
            StopPoint::AfterEffect
        };
        let store = Arc::new(MemoryStore::new());
        let stopping = StoppingStore::new(&store, random.random_range(1..150), point);
        let run = run_owner(&mut random, &store, &stopping).await;
        let acknowledged = run.state.lock().expect("state").acknowledged.clone();
        seal_journal(store.as_ref(), OWNER, SUCCESSOR, vec![SUCCESSOR])
            .await
            .expect("seal");
        let adopted = replay(&store).await.state;
        // Records are stored in the order of their appends, so the journal contains a prefix of them.
        let durable = (0..=60).find(|durable| expected(*durable) == adopted);
        let durable = durable.unwrap_or_else(|| panic!("seed {seed}: no prefix of the records: {adopted:?}"));
        assert!(
            acknowledged.iter().all(|call| *call <= durable),
            "seed {seed}: {durable} of {acknowledged:?}"
        );
        // The paused owner resumes. It may acknowledge only records that the successor has read.
        stopping.resume();
        stopped += u32::from(acknowledged.len() < 60);
        for task in run.tasks {
            task.await.expect("task");
        }
        let acknowledged = run.state.lock().expect("state").acknowledged.clone();
        assert!(
            acknowledged.iter().all(|call| *call <= durable),
            "seed {seed}: late {acknowledged:?}"
        );
        assert_eq!(replay(&store).await.state, adopted, "seed {seed}");
    }
    expect_that!(stopped, ge(50));
}

fn expected(durable: u64) -> JournalState {
    let mut journal_state = JournalState::default();
    for call in 1..=durable {
        journal_state.apply(&record_of(call));
    }
    journal_state
}

/// Returns a random record that an owner may write next.
fn random_record(random: &mut StdRng, journal_state: &JournalState, step: u64) -> JournalRecord {
    let Some(state) = journal_state.program(program_key(1)) else {
        return started(1);
    };
    let open = state.intents.first().map(|intent| intent.attempt.call);
    let open: CallKey = open.unwrap_or(call_key(1, step));
    match random.random_range(0..12) {
        0 => JournalRecord::Started(ProgramState {
            tenure: TenureNumber(state.tenure.0 + 1),
            ..state.clone()
        }),
        1 => JournalRecord::Ended {
            program: state.key,
            phase: ProgramPhase::Ended,
            at: domain::TimeMillis(step),
        },
        2..4 => JournalRecord::Released {
            program: state.key,
            host: host(),
        },
        4..6 => JournalRecord::Dropped(open),
        6..9 => intent(1, state.next_call),
        _ => finished(1, open.sequence),
    }
}

#[gtest]
fn applying_a_journal_again_changes_nothing() {
    for seed in SEEDS {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut records: Vec<JournalRecord> = Vec::new();
        let mut stages = vec![JournalState::default()];
        for step in 1..40 {
            let mut journal_state = stages.last().expect("stage").clone();
            let record = random_record(&mut random, &journal_state, step);
            journal_state.apply(&record);
            records.push(record);
            stages.push(journal_state);
        }
        let end = stages.last().expect("stage").clone();
        for mut stage in stages {
            for record in &records {
                stage.apply(record);
            }
            assert_eq!(stage, end, "seed {seed}");
        }
    }
}

#[gtest]
fn only_a_start_of_a_larger_tenure_replaces_a_program() {
    for (tenure, is_replaced) in [(1, false), (2, false), (3, true)] {
        let start = |tenure| {
            let tenure = TenureNumber(tenure);
            JournalRecord::Started(ProgramState {
                tenure,
                ..new_program(1)
            })
        };
        let mut journal_state = JournalState::default();
        for record in [start(2), finished(1, 1), start(tenure)] {
            journal_state.apply(&record);
        }
        expect_that!(journal_state.programs()[0].history.is_empty(), eq(is_replaced));
    }
}
