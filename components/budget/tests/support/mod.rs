//! An object API with random faults, and a judge of what was spent.

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

const PATIENCE: u32 = 6;
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

pub fn keeper(store: &Arc<impl ObjectStore + 'static>, incarnation: u64, owners: u32) -> BudgetManager {
    let store = Arc::clone(store);
    let keeper = BudgetManager::new(store, IncarnationId(incarnation));
    keeper.set_teams(&[team(LIMIT)], owners);
    keeper
}

pub async fn reserve(keeper: &BudgetManager, amount: u64) -> Result<BudgetReservation, CallError> {
    keeper.reserve(&team_name(), MicroUnits(amount)).await
}

pub async fn report(keeper: &BudgetManager) -> BudgetReport {
    let report = keeper.report(&team_name()).await;
    report.expect("the object API answers")
}

type Write = (String, Bytes, WriteCondition);

/// Loses, doubles the wait for, and delays writes at random; a late write takes effect after it was given up.
#[derive(Debug)]
pub struct FaultyStore {
    pub inner: MemoryStore,
    generator: Mutex<StdRng>,
    late: Mutex<Vec<Write>>,
    hold_next: AtomicBool,
    fault_percent: u32,
}

impl FaultyStore {
    pub fn new(seed: u64, fault_percent: u32) -> Arc<Self> {
        Arc::new(Self {
            inner: MemoryStore::new(),
            generator: Mutex::new(StdRng::seed_from_u64(seed)),
            late: Mutex::default(),
            hold_next: AtomicBool::new(false),
            fault_percent,
        })
    }

    fn draw(&self, below: u32) -> u32 {
        self.generator.lock().unwrap().random_range(0..below)
    }

    /// Keeps the next write back and begins an outage at once.
    pub fn hold_next_write(&self) {
        self.hold_next.store(true, Ordering::SeqCst);
    }

    /// Lets the latest write that was kept back take effect, if its condition still holds.
    pub async fn deliver_late(&self) {
        let late = self.late.lock().unwrap().pop();
        if let Some((key, value, condition)) = late {
            let _ = self.inner.write(&key, value, condition).await;
        }
    }

    /// Returns the number of slices that are open in the team's object.
    pub async fn open_slices(&self) -> usize {
        let read = self.inner.read("budgets/clerks").await.unwrap();
        let object: BudgetObject = serde_json::from_slice(&read.unwrap().value).unwrap();
        object.windows.iter().map(|account| account.slices.len()).sum()
    }

    async fn pause(&self) {
        let millis = u64::from(self.draw(5));
        tokio::time::sleep(Duration::from_millis(millis)).await;
        if self.fault_percent > 0 && self.draw(2) == 0 {
            self.deliver_late().await;
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
        if self.hold_next.swap(false, Ordering::SeqCst) {
            self.late.lock().unwrap().push((key.to_owned(), value, condition));
            self.inner.set_faults(OUTAGE);
            return Err(PlatformError::NoAnswer("held by the test".to_owned()));
        }
        if self.draw(100) >= self.fault_percent {
            return self.inner.write(key, value, condition).await;
        }
        match self.draw(3) {
            0 => {}
            1 => drop(self.inner.write(key, value, condition).await),
            _ => self.late.lock().unwrap().push((key.to_owned(), value, condition)),
        }
        Err(PlatformError::NoAnswer("fault of the test".to_owned()))
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
        seen: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        self.inner.watch(key, seen, wait).await
    }
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub open: u64,
    pub spent: u64,
}

/// Knows what every owner has spent and still holds open.
#[derive(Debug, Default)]
pub struct SpendJudge {
    tallies: Mutex<BTreeMap<(u64, TimeMillis), Tally>>,
    /// Neither spent nor reserved when the first call was refused.
    pub free_at_first_refusal: OnceLock<u64>,
}

impl SpendJudge {
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
        assert!(total.open + total.spent <= LIMIT, "over the budget: {total:?}");
    }
}

/// Calls until the budget refuses six times in a row, flushing now and then; returns what is open when
/// `calls` ran out.
pub async fn spend(
    owner: u64,
    keeper: &BudgetManager,
    judge: &SpendJudge,
    seed: u64,
    calls: u64,
    dearest: u64,
) -> Option<BudgetReservation> {
    let mut generator = StdRng::seed_from_u64(seed ^ (owner << 32));
    let mut refusals = 0;
    for call in 0..calls {
        let worst = generator.random_range(1..=dearest);
        let reservation = match reserve(keeper, worst).await {
            Ok(reservation) => reservation,
            Err(_) if refusals == PATIENCE => return None,
            Err(_) => {
                refusals += 1;
                let total = judge.total(TimeMillis(0));
                let free = || LIMIT - total.spent - total.open;
                judge.free_at_first_refusal.get_or_init(free);
                let _ = keeper.flush().await;
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                continue;
            }
        };
        refusals = 0;
        judge.reserve(owner, &reservation);
        tokio::time::sleep(Duration::from_millis(generator.random_range(0..20))).await;
        if call + 1 == calls {
            return Some(reservation);
        }
        let charged = generator.random_range(0..=worst);
        keeper.settle(&reservation, MicroUnits(charged));
        judge.settle(owner, &reservation, charged);
        if call % 16 == 0 {
            let _ = keeper.flush().await;
        }
    }
    None
}
