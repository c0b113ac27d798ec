//! Release of the cache that engines hold for ended programs.

use std::sync::Arc;

use domain::{HostName, ProgramKey, TenureNumber};
use journal::JournalRecord;
use slog::debug;

use crate::context::EntryContext;
use crate::owner::core::OwnerCore;
use crate::pool::{CALL_TIMEOUT, call_context};

/// Requests every agent that may hold cache of an ended program to release it, and records the released
/// hosts.
///
/// An agent that does not answer releases the cache later, when it queries the owners about its idle
/// programs.
pub(crate) async fn release_cache(context: Arc<EntryContext>, owner: Arc<OwnerCore>, program: ProgramKey) {
    let Some(cell) = owner.table.find(program) else {
        return;
    };
    let (hosts, tenure) = cell.with_program(|program| (program.held_by.clone(), program.tenure));
    let mut released = Vec::new();
    for host in hosts {
        if release_at(&context, &host, program, tenure).await {
            released.push(JournalRecord::Released { program, host });
        }
    }
    if !released.is_empty()
        && let Ok(Err(error)) = owner.commit(released).await
    {
        debug!(context.options.log, "cache release not recorded"; "program" => %program, "error" => %error);
    }
}

async fn release_at(
    context: &EntryContext,
    host: &HostName,
    program: ProgramKey,
    tenure: TenureNumber,
) -> bool {
    let fleet = context.cluster.fleet();
    let Some(peer) = fleet.peer(host) else {
        return false;
    };
    let Ok(client) = context.pool.agent(peer.heartbeat.address).await else {
        return false;
    };
    let released = client
        .release_program(call_context(CALL_TIMEOUT), program, tenure)
        .await;
    matches!(released, Ok(Ok(())))
}
