//! Tests of the controller's lease with an in-memory store. The tests pass the time in.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use controller::{ControllerLease, LeaseOptions, LeaseRecord};
use googletest::prelude::*;
use store::{
    MemoryFaults, MemoryStore, ObjectStore, ObjectVersion, StoreResult, VersionedObject, WriteCondition,
};
use tokio::task::yield_now;
use tokio::time::Instant;

const RENEW_INTERVAL: Duration = Duration::from_secs(5);
const LEASE_TIMEOUT: Duration = Duration::from_secs(15);
const STEP: Duration = Duration::from_millis(500);

fn lease(store: &Arc<impl ObjectStore + 'static>, holder: u64) -> ControllerLease {
    let store = Arc::clone(store) as Arc<dyn ObjectStore>;
    let options = LeaseOptions::builder()
        .store(store)
        .host(format!("entry-{holder}").parse().unwrap())
        .holder(holder)
        .renew_interval(RENEW_INTERVAL)
        .lease_timeout(LEASE_TIMEOUT)
        .build();
    ControllerLease::new(options)
}

/// Steps the leases every `STEP` for `length` and returns the time at the end.
async fn run(leases: &mut [&mut ControllerLease], from: Instant, length: Duration) -> Instant {
    let mut now = from;
    while now < from + length {
        now += STEP;
        for lease in leases.iter_mut() {
            // Steps fail during the outages that the tests inject.
            let _ = lease.step(now).await;
        }
    }
    now
}

async fn record(store: &MemoryStore) -> LeaseRecord {
    let object = store.read("controller").await.unwrap().unwrap();
    serde_json::from_slice(&object.value).unwrap()
}

fn outage(on: bool) -> MemoryFaults {
    MemoryFaults {
        outage: on,
        ..MemoryFaults::default()
    }
}

/// Store that yields before each call, so that two candidates both read before either of them writes.
#[derive(Debug, Default)]
struct YieldingStore(MemoryStore);

#[async_trait]
impl ObjectStore for YieldingStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        yield_now().await;
        self.0.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        yield_now().await;
        self.0.write(key, value, condition).await
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        self.0.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        self.0.list(prefix).await
    }

    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        self.0.watch(key, known_version, wait).await
    }
}

#[gtest]
#[tokio::test]
async fn one_of_two_simultaneous_candidates_holds_the_lease() {
    let store = Arc::new(YieldingStore::default());
    let mut now = Instant::now();
    // The lease is absent in the first round. Each later round starts after the previous holder has stopped
    // renewing.
    for term in 1..=3 {
        let mut left = lease(&store, term * 10);
        let mut right = lease(&store, term * 10 + 1);
        let until = now + LEASE_TIMEOUT * 2;
        while now < until {
            now += STEP;
            let (first, second) = tokio::join!(left.step(now), right.step(now));
            first.unwrap();
            second.unwrap();
            expect_false!(left.term(now).is_some() && right.term(now).is_some());
        }
        expect_that!(left.term(now).or(right.term(now)), some(eq(term)));
    }
}

#[gtest]
#[tokio::test]
async fn a_frozen_holder_is_replaced_and_steps_down_when_it_resumes() {
    let store = Arc::new(MemoryStore::new());
    let (mut frozen, mut candidate) = (lease(&store, 1), lease(&store, 2));
    let start = run(&mut [&mut frozen, &mut candidate], Instant::now(), LEASE_TIMEOUT).await;
    expect_that!(frozen.term(start), some(eq(1)));
    let resumed = run(&mut [&mut candidate], start, LEASE_TIMEOUT * 2).await;
    expect_that!(candidate.term(resumed), some(eq(2)));
    expect_that!(frozen.term(resumed), none());
    let later = run(&mut [&mut frozen, &mut candidate], resumed, LEASE_TIMEOUT * 2).await;
    expect_that!([frozen.term(later), candidate.term(later)], eq([None, Some(2)]));
}

#[gtest]
#[tokio::test]
async fn an_outage_of_the_object_api_changes_no_holder() {
    let store = Arc::new(MemoryStore::new());
    let (mut holder, mut candidate) = (lease(&store, 1), lease(&store, 2));
    let start = run(&mut [&mut holder, &mut candidate], Instant::now(), LEASE_TIMEOUT).await;
    store.set_faults(outage(true));
    let now = run(&mut [&mut holder, &mut candidate], start, RENEW_INTERVAL).await;
    expect_that!(holder.term(now), some(eq(1)));
    let now = run(&mut [&mut holder, &mut candidate], now, LEASE_TIMEOUT * 10).await;
    expect_that!([holder.term(now), candidate.term(now)], eq([None, None]));
    store.set_faults(outage(false));
    // The candidate steps first. It must not mistake the outage for a holder that has stopped renewing.
    let now = run(&mut [&mut candidate, &mut holder], now, LEASE_TIMEOUT).await;
    expect_that!([holder.term(now), candidate.term(now)], eq([Some(1), None]));
}

#[gtest]
#[tokio::test]
async fn lost_answers_are_resolved_by_reading_back() {
    for (lose_answers, lose_requests) in [(1, 0), (0, 1), (2, 0)] {
        println!("answers {lose_answers} requests {lose_requests}");
        let store = Arc::new(MemoryStore::new());
        let faults = MemoryFaults {
            outage: false,
            lose_answers,
            lose_requests,
        };
        store.set_faults(faults);
        let mut holder = lease(&store, 1);
        let now = run(&mut [&mut holder], Instant::now(), RENEW_INTERVAL * 4).await;
        expect_that!(holder.term(now), some(eq(1)));
        store.set_faults(faults);
        let now = run(&mut [&mut holder], now, RENEW_INTERVAL * 2).await;
        expect_that!(holder.term(now), some(eq(1)));
        expect_that!(record(&store).await.term, eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_released_lease_is_taken_at_the_next_read() {
    let store = Arc::new(MemoryStore::new());
    let (mut holder, mut candidate) = (lease(&store, 1), lease(&store, 2));
    let now = run(&mut [&mut holder, &mut candidate], Instant::now(), RENEW_INTERVAL).await;
    holder.release().await.unwrap();
    let now = run(&mut [&mut candidate], now, RENEW_INTERVAL).await;
    expect_that!([holder.term(now), candidate.term(now)], eq([None, Some(2)]));
}

#[gtest]
#[tokio::test]
async fn an_hour_costs_one_write_and_two_reads_every_five_seconds() {
    let store = Arc::new(MemoryStore::new());
    let (mut holder, mut left, mut right) = (lease(&store, 1), lease(&store, 2), lease(&store, 3));
    let hour = Duration::from_hours(1);
    run(&mut [&mut holder, &mut left, &mut right], Instant::now(), hour).await;
    let (reads, writes) = store.call_counts();
    println!("reads {reads} writes {writes}");
    expect_that!(writes, le(hour.as_secs() / RENEW_INTERVAL.as_secs() + 1));
    expect_that!(reads, le(2 * hour.as_secs() / RENEW_INTERVAL.as_secs() + 3));
}
