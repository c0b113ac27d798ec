//! The programs of an agent: their fences and the state of their cache at the engine.

use std::collections::BTreeMap;

use domain::{IncarnationId, ProgramKey, TenureNumber, TimeMillis};

/// State of a program's cache at the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CacheState {
    /// The agent has no record of cache at the engine.
    #[default]
    Empty,
    /// The engine holds cache.
    Cached,
    /// The engine holds cache and has to release it.
    Releasing,
}

#[derive(Debug, Clone, Copy, Default)]
struct ProgramRow {
    /// Largest tenure received, the fence against former owners.
    tenure: TenureNumber,
    last_used_at: TimeMillis,
    /// Time of the last query to an entry whether the program has ended.
    last_queried_at: TimeMillis,
    cache: CacheState,
    /// Whether the owner has ended the program; its calls are refused.
    released: bool,
    /// Whether an entry answered that the program has ended, and the program was not used after that.
    reported_ended: bool,
}

/// Selects the programs for which the entries are queried whether they have ended.
#[derive(Debug, Clone, Copy)]
pub struct IdleQuery {
    /// Only programs last used at this time or earlier are selected.
    pub latest_use: TimeMillis,
    /// Programs with cache are selected if last queried at this time or earlier.
    pub latest_cached_query: TimeMillis,
    /// Programs without cache are selected if last queried at this time or earlier.
    pub latest_empty_query: TimeMillis,
    /// Largest number of programs selected.
    pub limit: usize,
}

/// Table of programs with their largest tenure, cache state and release.
#[derive(Debug, Default)]
pub struct ProgramTable {
    rows: BTreeMap<ProgramKey, ProgramRow>,
    /// Programs whose cache the engine has to release, sorted.
    releasing: Vec<ProgramKey>,
    /// Largest sequence number among the dropped programs of each incarnation, sorted by incarnation.
    largest_dropped: Vec<(IncarnationId, u64)>,
}

impl ProgramTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the tenure of a request and the use of the program.
    ///
    /// # Errors
    ///
    /// Returns the largest tenure received when the given one is smaller.
    pub fn fence(
        &mut self,
        program: ProgramKey,
        tenure: TenureNumber,
        now: TimeMillis,
    ) -> Result<(), TenureNumber> {
        let row = self.rows.entry(program).or_default();
        if tenure < row.tenure {
            return Err(row.tenure);
        }
        row.tenure = tenure;
        row.last_used_at = now;
        row.reported_ended = false;
        Ok(())
    }

    /// Records a use of the program, if the table holds it.
    pub fn touch(&mut self, program: ProgramKey, now: TimeMillis) {
        if let Some(row) = self.rows.get_mut(&program) {
            row.last_used_at = now;
        }
    }

    /// Records a use of the program that fills its cache at the engine.
    pub fn touch_cached(&mut self, program: ProgramKey, now: TimeMillis) {
        self.mark_cached(program);
        self.touch(program, now);
    }

    /// Records that the owner has ended the program, and schedules the release of its cache.
    pub fn release(&mut self, program: ProgramKey, now: TimeMillis) {
        let row = self.rows.entry(program).or_default();
        row.last_used_at = now;
        row.released = true;
        if row.cache == CacheState::Cached {
            self.set_cache_state(program, CacheState::Releasing);
        }
    }

    /// Records that an entry answered a query with the end of the program.
    ///
    /// Schedules the release of the cache. Calls are still accepted, so that a wrong answer only costs time.
    pub fn mark_reported_ended(&mut self, program: ProgramKey) {
        let Some(row) = self.rows.get_mut(&program) else {
            return;
        };
        row.reported_ended = true;
        if row.cache == CacheState::Cached {
            self.set_cache_state(program, CacheState::Releasing);
        }
    }

    /// Returns whether the owner has ended the program.
    pub fn is_released(&self, program: ProgramKey) -> bool {
        self.rows.get(&program).is_some_and(|row| row.released)
    }

    /// Returns whether the program may have been in the table and dropped.
    ///
    /// True for each sequence number up to the largest dropped one of the incarnation.
    pub fn may_have_been_dropped(&self, program: ProgramKey) -> bool {
        let found = self
            .largest_dropped
            .binary_search_by_key(&program.incarnation, |(incarnation, _)| *incarnation);
        found.is_ok_and(|index| self.largest_dropped[index].1 >= program.sequence)
    }

    /// Returns the state of the program's cache at the engine.
    pub fn cache_state(&self, program: ProgramKey) -> CacheState {
        self.rows.get(&program).map_or(CacheState::Empty, |row| row.cache)
    }

    /// Returns the programs whose cache the engine has to release.
    pub fn pending_releases(&self) -> &[ProgramKey] {
        &self.releasing
    }

    /// Records that the engine has released the cache.
    pub fn confirm_release(&mut self, program: ProgramKey) {
        if self.cache_state(program) == CacheState::Releasing {
            self.set_cache_state(program, CacheState::Empty);
        }
    }

    /// Records that the engine holds cache of the program.
    ///
    /// Schedules the release when the owner has ended the program. A program that the table lacks gets the
    /// earliest possible time of last use, so that it counts as idle.
    pub fn mark_cached(&mut self, program: ProgramKey) {
        let released = self.is_released(program);
        self.set_cache_state(
            program,
            if released {
                CacheState::Releasing
            } else {
                CacheState::Cached
            },
        );
    }

    /// Reconciles the cache states with a complete listing that was requested at `requested_at`.
    ///
    /// A program that the listing lacks has no cache, unless it was used at `requested_at` or later.
    pub fn reconcile_listing(&mut self, listed: &[ProgramKey], requested_at: TimeMillis) {
        let mut sorted = listed.to_vec();
        sorted.sort_unstable();
        let is_stale = |program: &ProgramKey, row: &ProgramRow| {
            row.cache != CacheState::Empty
                && row.last_used_at < requested_at
                && sorted.binary_search(program).is_err()
        };
        let lost: Vec<_> = self
            .rows
            .iter()
            .filter(|(program, row)| is_stale(program, row))
            .map(|(program, _)| *program)
            .collect();
        for program in lost {
            self.set_cache_state(program, CacheState::Empty);
        }
        for program in sorted {
            self.mark_cached(program);
        }
    }

    /// Returns idle programs to query the entries for, and records `now` as the time of the query.
    ///
    /// Programs with cache come first.
    pub fn take_idle(&mut self, query: IdleQuery, now: TimeMillis) -> Vec<(ProgramKey, TenureNumber)> {
        let due = |row: &ProgramRow| {
            let latest_query = if row.cache == CacheState::Cached {
                query.latest_cached_query
            } else {
                query.latest_empty_query
            };
            let ended = row.released || (row.reported_ended && row.cache == CacheState::Empty);
            !ended && row.last_used_at <= query.latest_use && row.last_queried_at <= latest_query
        };
        let mut idle: Vec<_> = self.rows.iter_mut().filter(|(_, row)| due(row)).collect();
        idle.sort_by_key(|(_, row)| (row.cache != CacheState::Cached, row.last_queried_at));
        idle.truncate(query.limit);
        let mark = |(program, row): (&ProgramKey, &mut ProgramRow)| {
            row.last_queried_at = now;
            (*program, row.tenure)
        };
        idle.into_iter().map(mark).collect()
    }

    /// Drops ended programs without cache that were last used before `idle_since`, and returns them.
    pub fn drop_ended(&mut self, idle_since: TimeMillis) -> Vec<ProgramKey> {
        let ended = |row: &ProgramRow| row.released || row.reported_ended;
        let idle =
            |row: &ProgramRow| ended(row) && row.cache == CacheState::Empty && row.last_used_at < idle_since;
        let dropped: Vec<_> = self
            .rows
            .extract_if(.., |_, row| idle(row))
            .map(|(program, _)| program)
            .collect();
        for program in &dropped {
            self.record_dropped(*program);
        }
        dropped
    }

    fn set_cache_state(&mut self, program: ProgramKey, cache: CacheState) {
        self.rows.entry(program).or_default().cache = cache;
        match (self.releasing.binary_search(&program), cache) {
            (Err(index), CacheState::Releasing) => self.releasing.insert(index, program),
            (Ok(index), CacheState::Empty | CacheState::Cached) => {
                self.releasing.remove(index);
            }
            _ => {}
        }
    }

    fn record_dropped(&mut self, program: ProgramKey) {
        let key = program.incarnation;
        match self
            .largest_dropped
            .binary_search_by_key(&key, |(incarnation, _)| *incarnation)
        {
            Ok(index) => {
                let largest = &mut self.largest_dropped[index].1;
                *largest = program.sequence.max(*largest);
            }
            Err(index) => self.largest_dropped.insert(index, (key, program.sequence)),
        }
    }
}
