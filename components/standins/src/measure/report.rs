//! Figures of the runs of the measurement and their table.

use std::collections::BTreeMap;

use anyhow::Context as _;
use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

use super::cost::ProcessCost;
use super::player::ProgramResult;
use super::workload::WorkloadKind;
use crate::engine::RequestRecord;
use crate::object::ObjectCounts;

/// Highest latency in milliseconds that the histogram distinguishes; higher ones count as this one.
const MAX_LATENCY_MS: u64 = 600_000;

/// Parameters of one run.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct RunCase {
    /// Workload of the run.
    pub(super) workload: WorkloadKind,
    /// Load in percent of the engines' capacity.
    pub(super) load_percent: u64,
    /// Whether an entry and an agent are killed after half of the arrival period.
    pub(super) with_faults: bool,
    /// Seed from which the programs are generated.
    pub(super) seed: u64,
}

/// Programs of one urgency class that had a deadline, and how many of them met it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct DeadlineTally {
    programs: u64,
    in_time: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RunReport {
    #[serde(flatten)]
    case: RunCase,
    policy: &'static str,
    programs: u64,
    finished: u64,
    p50_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
    deadlines: BTreeMap<&'static str, DeadlineTally>,
    /// Programs that finished in time per second of the run.
    goodput_per_s: f64,
    refusals: BTreeMap<u64, u64>,
    calls: u64,
    prompt_tokens: u64,
    /// Prompt tokens that an engine computed although an engine had already computed them for the same
    /// program.
    recomputed_tokens: u64,
    object_writes: u64,
    object_reads: u64,
    object_watches: u64,
    seconds: f64,
    load_average: String,
    costs: Vec<ProcessCost>,
}

impl RunReport {
    /// Computes the figures of the programs; those of the engines and of the object API are added later.
    ///
    /// # Errors
    ///
    /// Fails when the histogram of the latencies cannot be created.
    pub(super) fn new(case: RunCase, results: &[ProgramResult], seconds: f64) -> anyhow::Result<Self> {
        let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MS, 3)
            .context("creating the histogram of the latencies")?;
        let mut deadlines = BTreeMap::<_, DeadlineTally>::new();
        let mut refusals = BTreeMap::new();
        for result in results {
            if let Some(latency_ms) = result.latency_ms {
                latencies.saturating_record(latency_ms);
            }
            if result.has_deadline {
                let tally = deadlines.entry(result.urgency).or_default();
                tally.programs += 1;
                tally.in_time += u64::from(result.in_time);
            }
            for (code, count) in &result.refusals {
                *refusals.entry(*code).or_default() += count;
            }
        }
        let in_time = results.iter().filter(|result| result.in_time).count();
        Ok(Self {
            case,
            policy: "predicted-finish",
            programs: results.len() as u64,
            finished: latencies.len(),
            p50_ms: latencies.value_at_quantile(0.50),
            p95_ms: latencies.value_at_quantile(0.95),
            p99_ms: latencies.value_at_quantile(0.99),
            deadlines,
            goodput_per_s: f64::from(u32::try_from(in_time).unwrap_or(u32::MAX)) / seconds,
            refusals,
            calls: 0,
            prompt_tokens: 0,
            recomputed_tokens: 0,
            object_writes: 0,
            object_reads: 0,
            object_watches: 0,
            seconds,
            load_average: load_average(),
            costs: super::cost::read_costs(),
        })
    }

    /// Adds the figures of the engines. `records` holds the records of all engines, because a prefix that
    /// another engine computed counts as computed before.
    pub(super) fn add_records(&mut self, records: &[RequestRecord]) {
        let mut computed_by_program = BTreeMap::<&str, u64>::new();
        let mut ordered: Vec<&RequestRecord> = records.iter().collect();
        ordered.sort_by_key(|record| (&record.program, record.prompt_tokens));
        for record in ordered {
            let computed = computed_by_program.entry(&record.program).or_default();
            let reusable = (*computed).min(record.prompt_tokens);
            self.recomputed_tokens += reusable.saturating_sub(record.cached_tokens);
            *computed = record.prompt_tokens + record.completion_tokens;
            self.prompt_tokens += record.prompt_tokens;
        }
        self.calls = records.len() as u64;
    }

    /// Adds the calls of the object API during the run, as the difference of its counts.
    pub(super) const fn add_object_calls(&mut self, before: ObjectCounts, after: ObjectCounts) {
        self.object_writes = after.writes - before.writes;
        self.object_reads = after.reads - before.reads;
        self.object_watches = after.watches - before.watches;
    }

    fn deadline_texts(&self) -> String {
        let texts = self.deadlines.iter().map(|(urgency, tally)| {
            let initial = urgency.get(..1).unwrap_or_default();
            format!("{initial} {}/{}", tally.in_time, tally.programs)
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    fn refusal_texts(&self) -> String {
        let texts = self
            .refusals
            .iter()
            .map(|(code, count)| format!("{code}: {count}"));
        texts.collect::<Vec<_>>().join(", ")
    }
}

/// Returns the table of the runs, with one row for each.
pub(super) fn run_table(reports: &[RunReport]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "workload",
        "load",
        "faults",
        "seed",
        "finished",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "in time",
        "goodput/s",
        "recomputed",
        "refusals",
        "writes/call",
    ]);
    for report in reports {
        let workload = Value::from(format!("{:?}", report.case.workload));
        table.add_row([
            workload.as_str().unwrap_or_default().to_owned(),
            format!("{} %", report.case.load_percent),
            report.case.with_faults.to_string(),
            report.case.seed.to_string(),
            format!("{}/{}", report.finished, report.programs),
            report.p50_ms.to_string(),
            report.p95_ms.to_string(),
            report.p99_ms.to_string(),
            report.deadline_texts(),
            format!("{:.1}", report.goodput_per_s),
            format!("{}/{}", report.recomputed_tokens, report.prompt_tokens),
            report.refusal_texts(),
            format!("{}/{}", report.object_writes, report.calls),
        ]);
    }
    table
}

/// Returns the load averages of this host over 1, 5 and 15 minutes. Other work on the host increases the
/// latencies.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
