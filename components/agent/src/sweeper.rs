//! Releases the engine's cache of ended programs and drops old rows of the call table.

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

/// Heartbeat intervals without a call after which a program counts as idle.
const IDLE_INTERVALS: u64 = 5;
/// Heartbeat intervals between two queries about a program with cache.
const CACHED_QUERY_INTERVALS: u64 = 5;
/// Heartbeat intervals between two queries about a program without cache.
const EMPTY_QUERY_INTERVALS: u64 = 120;
/// Heartbeat intervals between two listings of the engine's cache.
const LISTING_INTERVALS: u64 = 10;
/// Heartbeat intervals between two removals of old rows.
const DROP_INTERVALS: u64 = 16;
/// Largest number of programs queried in one round.
const QUERY_LIMIT: usize = 512;

/// Lists the cache, queries the entries and releases caches in rounds of one heartbeat interval, endlessly.
pub(crate) async fn sweep_programs(shared: Arc<AgentShared>) {
    let mut round = 0;
    let mut listed = false;
    let mut last_event = 0;
    loop {
        if shared.serves_model() {
            if !listed || round % LISTING_INTERVALS == 0 {
                listed = list_cache(&shared).await;
            } else {
                last_event = apply_cache_events(&shared, last_event).await;
            }
        }
        query_owners(&shared).await;
        release_caches(&shared).await;
        if round % DROP_INTERVALS == 0 {
            shared.call_table().drop_old(TimeMillis::now());
        }
        round += 1;
        // A finished call or an ended program may permit releases. They do not wait for the next round.
        let deadline = Instant::now() + shared.options.heartbeat_interval;
        while Instant::now() < deadline && timeout_at(deadline, shared.released.notified()).await.is_ok() {
            release_caches(&shared).await;
        }
    }
}

async fn list_cache(shared: &AgentShared) -> bool {
    let requested_at = TimeMillis::now();
    match shared.engine.list_cache().await {
        Ok(cached) => {
            let programs: Vec<_> = cached.iter().map(|cached| cached.program).collect();
            shared
                .call_table()
                .programs()
                .reconcile_listing(&programs, requested_at);
            true
        }
        Err(error) => {
            debug!(shared.options.log, "cache not listed"; "cause" => %error);
            false
        }
    }
}

/// Applies the engine's cache events after a number and returns the latest number.
///
/// The events are hints only: the next listing corrects for missing ones.
async fn apply_cache_events(shared: &AgentShared, after: u64) -> u64 {
    let Ok(events) = shared.engine.fetch_cache_events(after).await else {
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

async fn query_owners(shared: &AgentShared) {
    let interval = u64::try_from(shared.options.heartbeat_interval.as_millis()).unwrap_or(u64::MAX);
    let now = TimeMillis::now();
    let before = |intervals: u64| TimeMillis(now.0.saturating_sub(interval.saturating_mul(intervals)));
    let query = IdleQuery {
        latest_use: before(IDLE_INTERVALS),
        latest_cached_query: before(CACHED_QUERY_INTERVALS),
        latest_empty_query: before(EMPTY_QUERY_INTERVALS),
        limit: QUERY_LIMIT,
    };
    let entries = shared.live_entries();
    if entries.is_empty() {
        return;
    }
    let idle: Vec<_> = {
        let mut table = shared.call_table();
        let idle = table.programs().take_idle(query, now);
        idle.into_iter()
            .filter(|(program, _)| !table.is_busy(*program))
            .collect()
    };
    let queries = divide_programs(&entries, &idle);
    let answers = queries
        .iter()
        .map(|(entry, programs)| query_entry(shared, entry, programs));
    for ended in join_all(answers).await.into_iter().flatten().flatten() {
        info!(shared.options.log, "program ended"; "program" => %ended, "cause" => "reported by an entry");
        shared.call_table().programs().mark_reported_ended(ended);
    }
}

/// Divides the programs among the entries.
///
/// A program is assigned to the entry whose incarnation created it, or to every entry if that is not live.
fn divide_programs<'a>(
    entries: &'a [Heartbeat],
    programs: &[(ProgramKey, TenureNumber)],
) -> Vec<(&'a Heartbeat, Vec<(ProgramKey, TenureNumber)>)> {
    let is_creator = |program: ProgramKey, entry: &Heartbeat| entry.start == program.incarnation.0;
    let is_assigned = |program: ProgramKey, entry: &Heartbeat| {
        is_creator(program, entry) || !entries.iter().any(|other| is_creator(program, other))
    };
    let query = |entry: &'a Heartbeat| {
        let assigned = programs
            .iter()
            .filter(|(program, _)| is_assigned(*program, entry));
        (entry, assigned.copied().collect::<Vec<_>>())
    };
    entries
        .iter()
        .map(query)
        .filter(|(_, assigned)| !assigned.is_empty())
        .collect()
}

async fn query_entry(
    shared: &AgentShared,
    entry: &Heartbeat,
    programs: &[(ProgramKey, TenureNumber)],
) -> PortResult<Vec<ProgramKey>> {
    let client = connect_entry(shared, entry.address).await?;
    let answer = client
        .released_programs(call_context(shared), programs.to_vec())
        .await;
    let ended = answer.map_err(|error| unreachable(&error.to_string()))??;
    Ok(ended
        .into_iter()
        .filter(|program| programs.iter().any(|(queried, _)| queried == program))
        .collect())
}
