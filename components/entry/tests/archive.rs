//! Guards against the loss of programs that are moved from memory to the archive after they ended.

mod support;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use store::{MemoryFaults, MemoryStore, ObjectStore};
use support::{RunningEntry, free_address, new_program, open_journal, program_key, turn};

const SUSPECT_AFTER: Duration = Duration::from_mins(10);

async fn wait_archived(store: &dyn ObjectStore, key: &str) {
    while store.read(key).await.ok().flatten().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
#[tokio::test]
async fn history_of_a_program_that_ended_long_ago_is_read_from_the_archive() {
    let memory = Arc::new(MemoryStore::new());
    let store: Arc<dyn ObjectStore> = Arc::<MemoryStore>::clone(&memory);
    let key = program_key(1, 1);
    let process = free_address();
    support::write_members(
        store.as_ref(),
        2,
        vec![support::member(1, process, domain::MemberState::Live)],
    )
    .await;
    let journal = open_journal(&store, 1);
    let records = vec![journal::JournalRecord::Started(new_program(key)), turn(key, 1)];
    journal.append(records).await.expect("appended");
    let entry = RunningEntry::start(store, process, SUSPECT_AFTER).await;
    entry.apply_configuration().await;
    let before = loop {
        match entry.history(key).await {
            Ok(history) => break history,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    expect_that!(before.is_empty(), eq(false));
    entry.end_program(&key.to_string()).await;
    memory.set_faults(MemoryFaults {
        lose_answers: 1,
        ..MemoryFaults::default()
    });
    wait_archived(memory.as_ref(), &format!("archive/{key}/0000")).await;
    expect_that!(entry.history(key).await, ok(eq(&before)));
    // The program has been removed from the owner's memory, so this answer is read from the archive.
    while entry.lists(key).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(entry.history(key).await, ok(eq(&before)));
}
