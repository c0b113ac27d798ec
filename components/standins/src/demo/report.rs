//! Results of the demo, from the records of the callers and of the stand-ins.

use std::time::Duration;

use comfy_table::{Table, presets};
use serde_json::Value;

use crate::service::ServiceCall;
use crate::session::SessionTally;
use crate::testbed::Testbed;

/// Prices and budgets in the demo's configuration text, in micro-units.
const PROMPT_TOKEN_PRICE: u64 = 1;
const COMPLETION_TOKEN_PRICE: u64 = 3;
const CALL_PRICE: u64 = 10;
const TEAM_BUDGET: u64 = 300_000;

/// Kinds of programs and the engines that they use. Each kind belongs to one team, and no other team uses its
/// engines.
const TEAM_ENGINES: [(&str, [&str; 2]); 2] = [
    ("match", ["matcher-1", "matcher-2"]),
    ("survey", ["surveyor-1", "surveyor-2"]),
];
const SERVICES: [&str; 2] = ["ledger-1", "notices-1"];

/// Result of one program of the demo.
#[derive(Debug)]
pub(super) struct ProgramRow {
    pub(super) name: String,
    pub(super) program: String,
    pub(super) tally: SessionTally,
    pub(super) notices: Vec<Value>,
    pub(super) fault: Option<String>,
    kind: &'static str,
    finished: bool,
    latency: Duration,
}

impl ProgramRow {
    /// Creates the row of a program that has just started.
    pub(super) fn new(name: String, kind: &'static str, program: &str) -> Self {
        Self {
            name,
            program: program.to_owned(),
            tally: SessionTally::default(),
            notices: Vec::new(),
            fault: None,
            kind,
            finished: false,
            latency: Duration::ZERO,
        }
    }

    /// Records how the program ended.
    pub(super) fn close(&mut self, result: anyhow::Result<SessionTally>, latency: Duration) {
        self.latency = latency;
        match result {
            Ok(tally) => {
                self.finished = true;
                self.tally = tally;
            }
            Err(error) => self.fault = Some(format!("{error:#}")),
        }
    }

    /// Returns a text that describes how the program ended.
    pub(super) fn outcome_text(&self) -> String {
        match &self.fault {
            Some(fault) => format!("FAILED: {fault}"),
            None => format!(
                "finished after {} calls, {} retried",
                self.tally.calls, self.tally.retried
            ),
        }
    }
}

/// Results of all programs of the demo.
///
/// `repeated` counts surplus runs of notices, `unsent` the notices that no service ran, and `over_budget` the
/// teams that spent more than their budget.
#[derive(Debug)]
pub(super) struct DemoReport {
    rows: Vec<ProgramRow>,
    repeated: u64,
    unsent: u64,
    over_budget: u64,
}

impl DemoReport {
    /// Fetches the records of the engines and services and counts their faults.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in does not answer.
    pub(super) async fn collect(testbed: &Testbed, rows: Vec<ProgramRow>) -> anyhow::Result<Self> {
        let mut calls = Vec::new();
        for service in SERVICES {
            calls.extend(testbed.service_calls(service).await?);
        }
        let mut over_budget = 0;
        for (kind, engines) in TEAM_ENGINES {
            let spent = engine_price(testbed, engines).await? + call_price(&rows, &calls, kind);
            over_budget += u64::from(spent > TEAM_BUDGET);
        }
        let notices = rows.iter().flat_map(|row| &row.notices);
        let runs = notices.map(|note| calls.iter().filter(|call| call.body == *note).count() as u64);
        let runs: Vec<_> = runs.collect();
        Ok(Self {
            repeated: runs.iter().map(|runs| runs.saturating_sub(1)).sum(),
            unsent: runs.iter().filter(|runs| **runs == 0).count() as u64,
            over_budget,
            rows,
        })
    }

    /// Returns the table of programs, with one row for each program.
    pub(super) fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(presets::UTF8_FULL_CONDENSED);
        table.set_header([
            "program",
            "id",
            "calls",
            "retried",
            "latency ms",
            "charged",
            "outcome",
        ]);
        for row in &self.rows {
            table.add_row([
                row.name.clone(),
                row.program.clone(),
                row.tally.calls.to_string(),
                row.tally.retried.to_string(),
                row.latency.as_millis().to_string(),
                row.tally.charged.to_string(),
                if row.finished { "finished" } else { "failed" }.to_owned(),
            ]);
        }
        table
    }

    /// Returns the line that sums the programs, calls and faults up.
    pub(super) fn summary_line(&self) -> String {
        let finished = self.rows.iter().filter(|row| row.finished).count();
        let calls: u64 = self.rows.iter().map(|row| row.tally.calls).sum();
        format!(
            "demo: programs={} finished={finished} calls={calls} lost={} repeated={} mixed={} over_budget={}",
            self.rows.len(),
            self.lost(),
            self.repeated,
            self.mixed(),
            self.over_budget
        )
    }

    /// Returns whether no call was lost, repeated or mixed up and no team spent more than its budget.
    pub(super) fn is_clean(&self) -> bool {
        self.lost() + self.repeated + self.mixed() + self.over_budget == 0
    }

    fn lost(&self) -> u64 {
        let reported: u64 = self.rows.iter().map(|row| row.tally.lost).sum();
        reported + self.unsent
    }

    fn mixed(&self) -> u64 {
        self.rows.iter().map(|row| row.tally.mixed).sum()
    }
}

/// Returns the price of the tokens that the engines processed.
async fn engine_price(testbed: &Testbed, engines: [&str; 2]) -> anyhow::Result<u64> {
    let mut price = 0;
    for engine in engines {
        let records = testbed.engine_records(engine).await?;
        let prices = records.iter().map(|record| {
            record.prompt_tokens * PROMPT_TOKEN_PRICE + record.completion_tokens * COMPLETION_TOKEN_PRICE
        });
        price += prices.sum::<u64>();
    }
    Ok(price)
}

/// Returns the price of the service calls of a kind of program.
///
/// A call of a program that is in no row counts for every kind.
fn call_price(rows: &[ProgramRow], calls: &[ServiceCall], kind: &str) -> u64 {
    let is_other = |call: &&ServiceCall| {
        let mut others = rows.iter().filter(|row| row.kind != kind);
        others.any(|row| row.program == call.program)
    };
    calls.iter().filter(|call| !is_other(call)).count() as u64 * CALL_PRICE
}
