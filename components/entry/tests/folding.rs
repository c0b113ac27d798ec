//! Guards against requests that wait for a fold of the journal.

mod support;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use googletest::prelude::*;
use store::{MemoryStore, ObjectStore, ObjectVersion, StoreResult, VersionedObject, WriteCondition};
use support::*;
use tokio::sync::Notify;

/// More programs than the segments after which an entry folds its journal. Each started program appends a
/// segment.
const PROGRAMS: usize = 140;

/// Store that never answers a deletion, so that a fold never ends.
#[derive(Debug, Default)]
struct StuckStore {
    inner: MemoryStore,
    deleting: Notify,
}

#[async_trait]
impl ObjectStore for StuckStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        self.inner.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        self.inner.write(key, value, condition).await
    }

    async fn delete(&self, _key: &str, _version: ObjectVersion) -> StoreResult<()> {
        self.deleting.notify_one();
        std::future::pending().await
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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_start_while_a_fold_hangs() {
    let store = Arc::new(StuckStore::default());
    let shared: Arc<dyn ObjectStore> = Arc::<StuckStore>::clone(&store);
    let entry = RunningEntry::start(shared, any_address(), Duration::from_mins(10)).await;
    entry.apply_configuration().await;
    for _ in 0..PROGRAMS {
        entry.start_program().await.expect("program");
    }
    store.deleting.notified().await;
    expect_that!(entry.start_program().await, ok(anything()));
}
