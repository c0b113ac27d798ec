//! Damaged journals are reported with their result code. Replay never skips a damaged object.

mod support;

use std::sync::Arc;

use errors::{CallError, ResultCode};
use googletest::prelude::*;
use journal::{JournalError, decode_segment, replay_journal, seal_journal};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use store::{MemoryStore, ObjectStore, WriteCondition};
use support::*;

const SEED: u64 = 20_261_203;

/// Damage to one object of a journal; `None` deletes it.
type Damage = fn(&[u8]) -> Option<Vec<u8>>;

struct DamageCase {
    name: &'static str,
    damage: Damage,
}

const DAMAGES: &[DamageCase] = &[
    DamageCase {
        name: "one bit",
        damage: |value| {
            let (last, front) = value.split_last()?;
            Some([front, &[last ^ 1]].concat())
        },
    },
    DamageCase {
        name: "deleted",
        damage: |_| None,
    },
    DamageCase {
        name: "empty",
        damage: |_| Some(Vec::new()),
    },
    DamageCase {
        name: "header only",
        damage: |value| Some(value[..5].to_vec()),
    },
    DamageCase {
        name: "truncated",
        damage: |value| Some(value[..value.len() - 1].to_vec()),
    },
    DamageCase {
        name: "longer",
        damage: |value| Some([value, &[0]].concat()),
    },
    DamageCase {
        name: "other version",
        damage: |value| Some([&[9], &value[1..]].concat()),
    },
    DamageCase {
        name: "other object",
        damage: |_| Some(framed(&[7, 1, 0, 0, 0, 1, 0])),
    },
    DamageCase {
        name: "trailing bytes",
        damage: |value| Some(framed(&[&value[5..], &[0]].concat())),
    },
];

fn framed(payload: &[u8]) -> Vec<u8> {
    [&[1], crc32fast::hash(payload).to_le_bytes().as_slice(), payload].concat()
}

/// Writes a journal with a snapshot and three segments after it. Returns its store and the keys of its
/// objects.
async fn write_journal() -> (Arc<MemoryStore>, Vec<String>) {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer
        .append(vec![started(1), finished(1, 1)])
        .await
        .expect("append");
    writer.fold(&[], &[], &[]).await.expect("fold");
    for call in 2..=4 {
        writer.append(vec![finished(1, call)]).await.expect("append");
    }
    let keys = store.list("journal/").await.expect("list");
    (store, keys.into_iter().map(|(key, _)| key).collect())
}

async fn damage_object(store: &MemoryStore, key: &str, damage: Damage) {
    let object = store.read(key).await.expect("read").expect("object");
    store.delete(key, object.version).await.expect("delete");
    if let Some(value) = damage(&object.value) {
        store
            .write(key, value.into(), WriteCondition::Absent)
            .await
            .expect("write");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn damage_to_any_object_is_reported() {
    let (_, keys) = write_journal().await;
    expect_that!(keys.len(), eq(5));
    for key in &keys {
        for DamageCase { name, damage } in DAMAGES {
            let (store, _) = write_journal().await;
            damage_object(&store, key, *damage).await;
            if *name == "deleted" && Some(key) == keys.last() {
                // The loss of the last segment cannot be detected unless a seal follows it.
                continue;
            }
            let result = replay_journal(store.as_ref(), OWNER).await;
            let Err(error @ JournalError::Corrupt { .. }) = result else {
                panic!("{name} {key}: {result:?}");
            };
            expect_that!(CallError::from(error).code, eq(ResultCode::CorruptSegment));
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn misplaced_segments_are_reported() {
    let (intact, keys) = write_journal().await;
    // A segment stored under the key of another one, and a segment from a second copy of the journal stored
    // after the seal.
    for (from, to, is_sealed) in [(2, 3, false), (4, 4, true)] {
        let (store, _) = write_journal().await;
        damage_object(&store, &keys[to], |_| None).await;
        if is_sealed {
            damage_object(&store, &keys[to - 1], |_| None).await;
            seal_journal(store.as_ref(), OWNER, SUCCESSOR, vec![SUCCESSOR])
                .await
                .expect("seal");
        }
        let object = intact.read(&keys[from]).await.expect("read").expect("object");
        store
            .write(&keys[to], object.value, WriteCondition::Absent)
            .await
            .expect("write");
        let result = replay_journal(store.as_ref(), OWNER).await;
        let Err(JournalError::Corrupt { segment, reason }) = result else {
            panic!("{result:?}");
        };
        expect_that!(segment, eq(&keys[to]));
        expect_that!(reason, not(eq("the object is missing")));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn sealing_reports_a_damaged_last_segment() {
    let (store, keys) = write_journal().await;
    damage_object(&store, &keys[4], |value| Some(value[1..].to_vec())).await;
    let result = seal_journal(store.as_ref(), OWNER, SUCCESSOR, vec![SUCCESSOR]).await;
    expect_that!(
        result,
        err(matches_pattern!(JournalError::Corrupt {
            segment: eq(&keys[4]),
            ..
        }))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_owner_stops_when_another_writer_uses_its_journal() {
    let store = Arc::new(MemoryStore::new());
    let writers = [open(&store), open(&store)];
    writers[0].append(vec![started(1)]).await.expect("append");
    for _ in 0..2 {
        let result = writers[1].append(vec![started(2)]).await;
        expect_that!(result, err(matches_pattern!(JournalError::Corrupt { .. })));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn decodes_random_bytes_without_a_panic(payload in any::<Vec<u8>>(), is_framed in any::<bool>()) {
        let value = if is_framed { framed(&payload) } else { payload };
        let decoded = decode_segment(OWNER, 1, &value);
        assert!(matches!(decoded, Err(JournalError::Corrupt { .. })), "{decoded:?}");
    }
}
