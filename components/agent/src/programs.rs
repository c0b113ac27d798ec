//! Programs that an agent knows: their fences and the cache that the engine holds for them.

use std::collections::BTreeMap;

use domain::{IncarnationId, ProgramKey, TenureNumber, TimeMillis};

/// What the engine holds for a program.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CacheHold {
    /// Nothing that the agent knows of.
    #[default]
    Empty,
    /// Cache.
    Held,
    /// Cache that the engine has to release.
    Releasing,
}

#[derive(Debug, Clone, Copy, Default)]
struct ProgramRow {
    tenure: TenureNumber,
    touched: TimeMillis,
    asked: TimeMillis,
    hold: CacheHold,
    /// Whether the owner has ended the program; it takes no calls any more.
    released: bool,
    /// Whether an entry answered that the program has ended and it was not used since.
    dismissed: bool,
}

/// Choice of the programs about which the owners are asked.
#[derive(Debug, Clone, Copy)]
pub struct QuietQuery {
    /// Latest use.
    pub touched: TimeMillis,
    /// Latest question about a program whose cache is held.
    pub held_asked: TimeMillis,
    /// Latest question about a program without cache.
    pub empty_asked: TimeMillis,
    /// Largest number of programs.
    pub limit: usize,
}

/// Table of programs: largest tenure, cache and release.
#[derive(Debug, Default)]
pub struct ProgramTable {
    rows: BTreeMap<ProgramKey, ProgramRow>,
    /// Programs whose cache the engine has to release, sorted.
    releasing: Vec<ProgramKey>,
    /// Largest sequence number among the forgotten programs of each incarnation, sorted.
    forgotten: Vec<(IncarnationId, u64)>,
}

impl ProgramTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a tenure in.
    ///
    /// # Errors
    ///
    /// Returns the largest tenure seen when the given one is smaller.
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
        row.touched = now;
        row.dismissed = false;
        Ok(())
    }

    /// Notes that the program was in use.
    pub fn touch(&mut self, program: ProgramKey, now: TimeMillis) {
        if let Some(row) = self.rows.get_mut(&program) {
            row.touched = now;
        }
    }

    /// Notes that the engine will hold cache of the program.
    pub fn hold(&mut self, program: ProgramKey, now: TimeMillis) {
        self.note_held(program);
        self.touch(program, now);
    }

    /// Notes that the program has ended; its cache is to be released.
    pub fn release(&mut self, program: ProgramKey, now: TimeMillis) {
        let row = self.rows.entry(program).or_default();
        row.touched = now;
        row.released = true;
        if row.hold == CacheHold::Held {
            self.set_hold(program, CacheHold::Releasing);
        }
    }

    /// Takes in that an entry, asked about the program, said that it has ended.
    ///
    /// Its cache is to be released; calls are still taken, so that a wrong answer costs time only.
    pub fn dismiss(&mut self, program: ProgramKey) {
        let Some(row) = self.rows.get_mut(&program) else {
            return;
        };
        row.dismissed = true;
        if row.hold == CacheHold::Held {
            self.set_hold(program, CacheHold::Releasing);
        }
    }

    /// Tells whether the owner has ended the program.
    pub fn is_released(&self, program: ProgramKey) -> bool {
        self.rows.get(&program).is_some_and(|row| row.released)
    }

    /// Tells whether the program may have been known and dropped since.
    pub fn is_forgotten(&self, program: ProgramKey) -> bool {
        let found = self
            .forgotten
            .binary_search_by_key(&program.incarnation, |(incarnation, _)| *incarnation);
        found.is_ok_and(|index| self.forgotten[index].1 >= program.sequence)
    }

    /// Returns what the engine holds for the program.
    pub fn hold_of(&self, program: ProgramKey) -> CacheHold {
        self.rows.get(&program).map_or(CacheHold::Empty, |row| row.hold)
    }

    /// Returns the programs whose cache the engine has to release.
    pub fn pending_releases(&self) -> &[ProgramKey] {
        &self.releasing
    }

    /// Notes that the engine has released the cache.
    pub fn confirm_release(&mut self, program: ProgramKey) {
        if self.hold_of(program) == CacheHold::Releasing {
            self.set_hold(program, CacheHold::Empty);
        }
    }

    /// Takes a program in that the engine reports to hold; an unknown one counts as quiet for long.
    pub fn note_held(&mut self, program: ProgramKey) {
        let released = self.is_released(program);
        self.set_hold(
            program,
            if released {
                CacheHold::Releasing
            } else {
                CacheHold::Held
            },
        );
    }

    /// Takes a whole listing in that was asked for at `asked`: what it lacks and was not used since is not held.
    pub fn note_listing(&mut self, listed: &[ProgramKey], asked: TimeMillis) {
        let mut sorted = listed.to_vec();
        sorted.sort_unstable();
        let lost = |program: &ProgramKey, row: &ProgramRow| {
            row.hold != CacheHold::Empty && row.touched < asked && sorted.binary_search(program).is_err()
        };
        let lost: Vec<_> = self
            .rows
            .iter()
            .filter(|(program, row)| lost(program, row))
            .map(|(program, _)| *program)
            .collect();
        for program in lost {
            self.set_hold(program, CacheHold::Empty);
        }
        for program in sorted {
            self.note_held(program);
        }
    }

    /// Returns quiet programs about which the owners are to be asked, and marks them asked.
    ///
    /// Programs whose cache is held come first.
    pub fn take_quiet(&mut self, query: QuietQuery, now: TimeMillis) -> Vec<(ProgramKey, TenureNumber)> {
        let due = |row: &ProgramRow| {
            let asked_until = if row.hold == CacheHold::Held {
                query.held_asked
            } else {
                query.empty_asked
            };
            let ended = row.released || (row.dismissed && row.hold == CacheHold::Empty);
            !ended && row.touched <= query.touched && row.asked <= asked_until
        };
        let mut quiet: Vec<_> = self.rows.iter_mut().filter(|(_, row)| due(row)).collect();
        quiet.sort_by_key(|(_, row)| (row.hold != CacheHold::Held, row.asked));
        quiet.truncate(query.limit);
        let mark = |(program, row): (&ProgramKey, &mut ProgramRow)| {
            row.asked = now;
            (*program, row.tenure)
        };
        quiet.into_iter().map(mark).collect()
    }

    /// Drops ended programs that were not mentioned since `idle_since`, and returns them.
    pub fn forget_idle(&mut self, idle_since: TimeMillis) -> Vec<ProgramKey> {
        let ended = |row: &ProgramRow| row.released || row.dismissed;
        let idle = |row: &ProgramRow| ended(row) && row.hold == CacheHold::Empty && row.touched < idle_since;
        let dropped: Vec<_> = self
            .rows
            .extract_if(.., |_, row| idle(row))
            .map(|(program, _)| program)
            .collect();
        for program in &dropped {
            self.note_forgotten(*program);
        }
        dropped
    }

    fn set_hold(&mut self, program: ProgramKey, hold: CacheHold) {
        self.rows.entry(program).or_default().hold = hold;
        match (self.releasing.binary_search(&program), hold) {
            (Err(index), CacheHold::Releasing) => self.releasing.insert(index, program),
            (Ok(index), CacheHold::Empty | CacheHold::Held) => {
                self.releasing.remove(index);
            }
            _ => {}
        }
    }

    fn note_forgotten(&mut self, program: ProgramKey) {
        let key = program.incarnation;
        match self
            .forgotten
            .binary_search_by_key(&key, |(incarnation, _)| *incarnation)
        {
            Ok(index) => {
                let largest = &mut self.forgotten[index].1;
                *largest = program.sequence.max(*largest);
            }
            Err(index) => self.forgotten.insert(index, (key, program.sequence)),
        }
    }
}
