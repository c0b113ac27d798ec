//! Keeps the engine's cache free of ended programs.

use std::sync::Arc;

use domain::{Heartbeat, ProgramKey, TenureNumber, TimeMillis};
use engine::CacheEventKind;
use futures::future::join_all;
use slog::{debug, info, warn};
use tokio::time::{Instant, timeout_at};
use wire::PortResult;

use crate::configuration::{call_context, connect_entry, unreachable};
use crate::programs::IdleQuery;
use crate::shared::AgentShared;

/// Heartbeat intervals without a call after which a program counts as quiet.
const QUIET_INTERVALS: u64 = 5;
/// Heartbeat intervals between two questions about a program whose cache is held.
const ASK_INTERVALS: u64 = 5;
/// Heartbeat intervals between two questions about a program without cache.
const EMPTY_ASK_INTERVALS: u64 = 120;
/// Heartbeat intervals between two listings of the engine's cache.
const LIST_INTERVALS: u64 = 10;
/// Heartbeat intervals between two searches for rows to drop.
const DROP_INTERVALS: u64 = 16;
/// Programs in one question.
const ASK_LIMIT: usize = 512;

/// Releases, asks and lists at the heartbeat's interval for ever.
pub(crate) async fn sweep_programs(shared: Arc<AgentShared>) {
    let mut round = 0;
    let mut listed = false;
    let mut last_event = 0;
    loop {
        if shared.serves_model() {
            if !listed || round % LIST_INTERVALS == 0 {
                listed = list_cache(&shared).await;
            } else {
                last_event = follow_events(&shared, last_event).await;
            }
        }
        ask_owners(&shared).await;
        release_caches(&shared).await;
        if round % DROP_INTERVALS == 0 {
            shared.call_table().drop_old(TimeMillis::now());
        }
        round += 1;
        // The releases that a finished call or an ended program makes possible do not wait for the round.
        let deadline = Instant::now() + shared.options.heartbeat_interval;
        while Instant::now() < deadline && timeout_at(deadline, shared.released.notified()).await.is_ok() {
            release_caches(&shared).await;
        }
    }
}

async fn list_cache(shared: &AgentShared) -> bool {
    let asked = TimeMillis::now();
    match shared.engine.list_cache().await {
        Ok(cached) => {
            let programs: Vec<_> = cached.iter().map(|cached| cached.program).collect();
            shared.call_table().programs().reconcile_listing(&programs, asked);
            true
        }
        Err(error) => {
            debug!(shared.options.log, "cache not listed"; "cause" => %error);
            false
        }
    }
}

/// Takes the engine's events as hints; gaps are closed by the next listing.
async fn follow_events(shared: &AgentShared, after: u64) -> u64 {
    let Ok(events) = shared.engine.cache_events(after).await else {
        return after;
    };
    let mut table = shared.call_table();
    for event in &events {
        if event.kind == CacheEventKind::Stored {
            table.programs().mark_cached(event.program);
        }
    }
    events.iter().map(|event| event.number).max().unwrap_or(after)
}

async fn release_caches(shared: &AgentShared) {
    let pending: Vec<_> = {
        let mut table = shared.call_table();
        let pending = table.programs().pending_releases().to_vec();
        pending
            .into_iter()
            .filter(|program| !table.is_busy(*program))
            .collect()
    };
    for program in pending {
        match shared.engine.release_cache(program).await {
            Ok(()) => {
                info!(shared.options.log, "cache released"; "program" => %program);
                shared.call_table().programs().confirm_release(program);
            }
            Err(error) => {
                warn!(shared.options.log, "cache not released"; "program" => %program, "cause" => %error);
                return;
            }
        }
    }
}

async fn ask_owners(shared: &AgentShared) {
    let interval = u64::try_from(shared.options.heartbeat_interval.as_millis()).unwrap_or(u64::MAX);
    let now = TimeMillis::now();
    let before = |intervals: u64| TimeMillis(now.0.saturating_sub(interval.saturating_mul(intervals)));
    let query = IdleQuery {
        latest_use: before(QUIET_INTERVALS),
        latest_cached_query: before(ASK_INTERVALS),
        latest_empty_query: before(EMPTY_ASK_INTERVALS),
        limit: ASK_LIMIT,
    };
    let entries = shared.live_entries();
    if entries.is_empty() {
        return;
    }
    let quiet: Vec<_> = {
        let mut table = shared.call_table();
        let quiet = table.programs().take_idle(query, now);
        quiet
            .into_iter()
            .filter(|(program, _)| !table.is_busy(*program))
            .collect()
    };
    let questions = questions(&entries, &quiet);
    let answers = questions
        .iter()
        .map(|(entry, held)| ask_entry(shared, entry, held));
    for ended in join_all(answers).await.into_iter().flatten().flatten() {
        info!(shared.options.log, "program ended"; "program" => %ended, "cause" => "owner asked");
        shared.call_table().programs().mark_reported_ended(ended);
    }
}

/// Divides the programs among the entries: the birth incarnation answers for its own, any may answer for the rest.
fn questions<'a>(
    entries: &'a [Heartbeat],
    held: &[(ProgramKey, TenureNumber)],
) -> Vec<(&'a Heartbeat, Vec<(ProgramKey, TenureNumber)>)> {
    let born_at = |program: ProgramKey, entry: &Heartbeat| entry.start == program.incarnation.0;
    let asked = |program: ProgramKey, entry: &Heartbeat| {
        born_at(program, entry) || !entries.iter().any(|other| born_at(program, other))
    };
    let question = |entry: &'a Heartbeat| {
        let own = held.iter().filter(|(program, _)| asked(*program, entry));
        (entry, own.copied().collect::<Vec<_>>())
    };
    entries
        .iter()
        .map(question)
        .filter(|(_, own)| !own.is_empty())
        .collect()
}

async fn ask_entry(
    shared: &AgentShared,
    entry: &Heartbeat,
    held: &[(ProgramKey, TenureNumber)],
) -> PortResult<Vec<ProgramKey>> {
    let client = connect_entry(shared, entry.address).await?;
    let answer = client
        .released_programs(call_context(shared), held.to_vec())
        .await;
    let ended = answer.map_err(|error| unreachable(&error.to_string()))??;
    Ok(ended
        .into_iter()
        .filter(|program| held.iter().any(|(own, _)| own == program))
        .collect())
}
