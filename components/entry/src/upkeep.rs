//! Periodic maintenance by an owner: folding the journal, ending idle programs, archiving ended ones,
//! returning budget.

use std::sync::Arc;
use std::time::Duration;

use domain::{ProgramKey, ProgramPhase, TimeMillis};
use journal::JournalError;
use slog::{debug, info};
use tokio::time::{MissedTickBehavior, interval};

use crate::context::EntryContext;
use crate::owner::{OwnerCore, archive_program, release_cache, settle_unknown_calls};

const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
const MILLIS_PER_SECOND: u64 = 1000;

/// Number of segments since the last fold at which the journal is folded.
const SEGMENTS_PER_FOLD: u64 = 128;

/// Runs the periodic maintenance, except folding, until the entry stops.
pub(crate) async fn run_upkeep(context: Arc<EntryContext>) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let owner = context.owner();
        if owner.is_fenced() {
            continue;
        }
        end_idle_programs(&context, &owner).await;
        archive_ended_programs(&context, &owner).await;
        context.metrics().record_programs(owner.table.all().len());
        settle_unknown_calls(&context, &owner).await;
        if let Err(error) = owner.budget().flush().await {
            debug!(context.options.log, "budget not flushed"; "error" => %error);
        }
    }
}

/// Folds the journal each time it has grown by [`SEGMENTS_PER_FOLD`] segments, until the entry stops.
pub(crate) async fn fold_journals(context: Arc<EntryContext>) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let owner = context.owner();
        if !owner.is_fenced() {
            fold_journal(&context, &owner).await;
        }
    }
}

async fn fold_journal(context: &EntryContext, owner: &OwnerCore) {
    if owner.journal().segments_since_fold() < SEGMENTS_PER_FOLD {
        return;
    }
    match owner.fold().await {
        Ok(()) => info!(context.options.log, "journal folded"; "incarnation" => owner.incarnation().0),
        Err(JournalError::Sealed { .. }) => {}
        Err(error) => debug!(context.options.log, "journal not folded"; "error" => %error),
    }
}

/// Ends programs without an open call that exceed the largest idle time or program time of all services.
async fn end_idle_programs(context: &Arc<EntryContext>, owner: &Arc<OwnerCore>) {
    for program in idle_programs(context, owner) {
        info!(context.options.log, "idle program ended"; "program" => %program);
        if owner
            .end_program(None, program, ProgramPhase::Ended)
            .await
            .is_ok()
        {
            tokio::spawn(release_cache(Arc::clone(context), Arc::clone(owner), program));
        }
    }
}

fn idle_programs(context: &EntryContext, owner: &OwnerCore) -> Vec<ProgramKey> {
    let Some(applied) = context.cluster.configuration() else {
        return Vec::new();
    };
    let services = &applied.content.services;
    let Some(idle_s) = services.iter().map(|service| service.limits.idle_time_s).max() else {
        return Vec::new();
    };
    let Some(program_time_s) = services.iter().map(|service| service.limits.program_time_s).max() else {
        return Vec::new();
    };
    let now = TimeMillis::now();
    let cells = owner
        .table
        .all()
        .into_iter()
        .filter(|cell| cell.open_calls().is_empty());
    let idle = cells.filter(|cell| {
        cell.with_program(|program| {
            let is_idle = now.since(program.touched) > idle_s * MILLIS_PER_SECOND;
            let is_over = now.since(program.started) > program_time_s * MILLIS_PER_SECOND;
            program.phase == ProgramPhase::Running && (is_idle || is_over)
        })
    });
    idle.map(|cell| cell.key).collect()
}

/// Moves programs that ended longer ago than `EntryOptions::archive_delay` from memory to the archive.
async fn archive_ended_programs(context: &EntryContext, owner: &OwnerCore) {
    let now = TimeMillis::now();
    for cell in owner.table.all() {
        let is_over = cell.with_program(|program| {
            let is_retained =
                u128::from(now.since(program.touched)) <= context.options.archive_delay.as_millis();
            program.phase != ProgramPhase::Running && !is_retained
        });
        if !is_over {
            continue;
        }
        match archive_program(context.options.store.as_ref(), &cell.program()).await {
            Ok(()) => owner.table.remove(cell.key),
            Err(error) => {
                debug!(context.options.log, "program not archived"; "program" => %cell.key, "error" => format!("{error:#}"));
                return;
            }
        }
    }
}
