//! Object API with random faults, and a checker that the owners together never exceed the budget.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use async_trait::async_trait;
use budget::{BudgetManager, BudgetObject, BudgetReport, BudgetReservation};
use bytes::Bytes;
use domain::{IncarnationId, MicroUnits, TeamConfig, TeamName, TimeMillis};
use errors::CallError;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use store::{
    MemoryFaults, MemoryStore, ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject,
    WriteCondition,
};

const MAX_REFUSALS: u32 = 6;
pub const LIMIT: u64 = 1_000_000;
pub const OUTAGE: MemoryFaults = MemoryFaults {
    outage: true,
    lose_answers: 0,
    lose_requests: 0,
};
pub const WINDOW_S: u64 = 3_600;

pub fn team_name() -> TeamName {
    "clerks".parse().expect("the name is valid")
}

pub fn team(limit: u64) -> TeamConfig {
    TeamConfig {
        name: team_name(),
        key_sha256: "0".repeat(64),
        budget: MicroUnits(limit),
        window_s: WINDOW_S,
        weight: 1,
    }
}

pub fn manager(store: &Arc<impl ObjectStore + 'static>, incarnation: u64, owners: u32) -> BudgetManager {
    let store = Arc::clone(store);
    let manager = BudgetManager::new(store, IncarnationId(incarnation));
    manager.set_teams(&[team(LIMIT)], owners);
    manager
}

pub async fn reserve(manager: &BudgetManager, amount: u64) -> Result<BudgetReservation, CallError> {
    manager.reserve(&team_name(), MicroUnits(amount)).await
}

pub async fn report(manager: &BudgetManager) -> BudgetReport {
    let report = manager.report(&team_name()).await;
    report.expect("the object API answers")
}

type Write = (String, Bytes, WriteCondition);

/// Object store that loses write requests, loses answers and delays writes at random. A delayed write takes
/// effect after its caller has received [`PlatformError::NoAnswer`].
#[derive(Debug)]
pub struct FaultyStore {
    pub inner: MemoryStore,
    generator: Mutex<StdRng>,
    delayed: Mutex<Vec<Write>>,
    delay_next: AtomicBool,
    fault_percent: u32,
}

impl FaultyStore {
    pub fn new(seed: u64, fault_percent: u32) -> Arc<Self> {
        Arc::new(Self {
            inner: MemoryStore::new(),
            generator: Mutex::new(StdRng::seed_from_u64(seed)),
            delayed: Mutex::default(),
            delay_next: AtomicBool::new(false),
            fault_percent,
        })
    }

    fn draw(&self, below: u32) -> u32 {
        self.generator.lock().unwrap().random_range(0..below)
    }

    /// Delays the next write and starts an outage together with it.
    pub fn delay_next_write(&self) {
        self.delay_next.store(true, Ordering::SeqCst);
    }

    /// Executes the latest delayed write. It takes effect only if its condition still holds.
    pub async fn deliver_delayed(&self) {
        let delayed = self.delayed.lock().unwrap().pop();
        if let Some((key, value, condition)) = delayed {
            let _ = self.inner.write(&key, value, condition).await;
        }
    }

    /// Returns the number of open slices in the team's object.
    pub async fn open_slices(&self) -> usize {
        let read = self.inner.read("budgets/clerks").await.unwrap();
        let object: BudgetObject = serde_json::from_slice(&read.unwrap().value).unwrap();
        object.windows.iter().map(|account| account.slices.len()).sum()
    }

    async fn pause(&self) {
        let millis = u64::from(self.draw(5));
        tokio::time::sleep(Duration::from_millis(millis)).await;
        if self.fault_percent > 0 && self.draw(2) == 0 {
            self.deliver_delayed().await;
        }
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        self.pause().await;
        self.inner.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        self.pause().await;
        if self.delay_next.swap(false, Ordering::SeqCst) {
            self.delayed
                .lock()
                .unwrap()
                .push((key.to_owned(), value, condition));
            self.inner.set_faults(OUTAGE);
            return Err(PlatformError::NoAnswer("delayed by the test".to_owned()));
        }
        if self.draw(100) >= self.fault_percent {
            return self.inner.write(key, value, condition).await;
        }
        match self.draw(3) {
            0 => {}
            1 => drop(self.inner.write(key, value, condition).await),
            _ => self
                .delayed
                .lock()
                .unwrap()
                .push((key.to_owned(), value, condition)),
        }
        Err(PlatformError::NoAnswer("fault injected by the test".to_owned()))
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

#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub open: u64,
    pub spent: u64,
}

/// Records what each owner has spent and reserved, and panics when the sum exceeds the budget.
#[derive(Debug, Default)]
pub struct SpendChecker {
    tallies: Mutex<BTreeMap<(u64, TimeMillis), Tally>>,
    /// Amount neither spent nor reserved when the first call was refused.
    pub free_at_first_refusal: OnceLock<u64>,
}

impl SpendChecker {
    pub fn reserve(&self, owner: u64, reservation: &BudgetReservation) {
        self.change(owner, reservation, |tally| tally.open += reservation.amount().0);
    }

    pub fn settle(&self, owner: u64, reservation: &BudgetReservation, charged: u64) {
        self.change(owner, reservation, |tally| {
            tally.open -= reservation.amount().0;
            tally.spent += charged;
        });
    }

    pub fn tally(&self, owner: u64, window_start: TimeMillis) -> Tally {
        let tallies = self.tallies.lock().unwrap();
        tallies.get(&(owner, window_start)).copied().unwrap_or_default()
    }

    pub fn total(&self, window_start: TimeMillis) -> Tally {
        let tallies = self.tallies.lock().unwrap();
        let of_window = tallies.iter().filter(|((_, window), _)| *window == window_start);
        of_window.fold(Tally::default(), |sum, (_, tally)| Tally {
            open: sum.open + tally.open,
            spent: sum.spent + tally.spent,
        })
    }

    fn change(&self, owner: u64, reservation: &BudgetReservation, change: impl FnOnce(&mut Tally)) {
        let key = (owner, reservation.window_start());
        change(self.tallies.lock().unwrap().entry(key).or_default());
        let total = self.total(reservation.window_start());
        assert!(
            total.open + total.spent <= LIMIT,
            "spent and reserved amounts exceed the budget: {total:?}"
        );
    }
}

/// Reserves and settles calls, with a flush every 16 calls, until the budget refuses more than six times in a
/// row. Returns the open reservation of the last call if `calls` are reached first.
pub async fn spend(
    owner: u64,
    manager: &BudgetManager,
    checker: &SpendChecker,
    seed: u64,
    calls: u64,
    max_price: u64,
) -> Option<BudgetReservation> {
    let mut generator = StdRng::seed_from_u64(seed ^ (owner << 32));
    let mut refusals = 0;
    for call in 0..calls {
        let worst_case = generator.random_range(1..=max_price);
        let reservation = match reserve(manager, worst_case).await {
            Ok(reservation) => reservation,
            Err(_) if refusals == MAX_REFUSALS => return None,
            Err(_) => {
                refusals += 1;
                let total = checker.total(TimeMillis(0));
                let free = || LIMIT - total.spent - total.open;
                checker.free_at_first_refusal.get_or_init(free);
                let _ = manager.flush().await;
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                continue;
            }
        };
        refusals = 0;
        checker.reserve(owner, &reservation);
        tokio::time::sleep(Duration::from_millis(generator.random_range(0..20))).await;
        if call + 1 == calls {
            return Some(reservation);
        }
        let charged = generator.random_range(0..=worst_case);
        manager.settle(&reservation, MicroUnits(charged));
        checker.settle(owner, &reservation, charged);
        if call % 16 == 0 {
            let _ = manager.flush().await;
        }
    }
    None
}
