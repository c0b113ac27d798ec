//! Release of engine memory that ended programs hold.

use std::sync::Arc;

use domain::{HostName, ProgramKey, TenureNumber};
use journal::JournalRecord;
use slog::debug;

use crate::context::EntryContext;
use crate::owner::core::OwnerCore;
use crate::pool::{CALL_TIMEOUT, call_context};

/// Tells every agent that may hold cache of an ended program to release it.
///
/// An agent that does not answer finds out by itself when it asks about quiet programs.
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
        debug!(context.options.log, "release not recorded"; "program" => %program, "error" => %error);
    }
}

async fn release_at(
    context: &EntryContext,
    host: &HostName,
    program: ProgramKey,
    tenure: TenureNumber,
) -> bool {
    let fleet = context.board.fleet();
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
