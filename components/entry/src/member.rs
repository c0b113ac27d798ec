//! The member table: joining it, suspecting members of failure, and sealing them.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use domain::{Generation, HostRole, IncarnationId, MemberRecord, MemberState, MemberTable, TimeMillis};
use futures::future::join_all;
use journal::seal_journal;
use slog::{debug, info, warn};
use store::{ObjectStore, PlatformError, VersionedObject, WriteCondition};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::audit::AuditEvent;
use crate::cluster::{ClusterView, MemberView};
use crate::context::EntryContext;
use crate::options::EntryOptions;
use crate::pool::{CALL_TIMEOUT, call_context};

const MEMBERS_KEY: &str = "members";
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the member table.
///
/// # Errors
///
/// Fails when the object API does not answer or the table cannot be decoded.
pub(crate) async fn read_members(store: &dyn ObjectStore) -> Result<MemberView> {
    match store.read(MEMBERS_KEY).await? {
        Some(object) => decode_members(&object),
        None => Ok(MemberView {
            version: Generation(0),
            table: MemberTable {
                next: IncarnationId(1),
                members: vec![],
            },
        }),
    }
}

fn decode_members(object: &VersionedObject) -> Result<MemberView> {
    let table = serde_json::from_slice(&object.value).context("the member table cannot be decoded")?;
    Ok(MemberView {
        version: Generation(object.version.0),
        table,
    })
}

/// Writes the table on the condition that its version is still the one read. Returns `false` when another
/// entry has written a later version.
async fn write_members(store: &dyn ObjectStore, read: &MemberView, table: &MemberTable) -> Result<bool> {
    let value = Bytes::from(serde_json::to_vec(table)?);
    let condition = match read.version {
        Generation(0) => WriteCondition::Absent,
        Generation(version) => WriteCondition::Version(store::ObjectVersion(version)),
    };
    match store.write(MEMBERS_KEY, value, condition).await {
        Ok(_) => Ok(true),
        Err(PlatformError::Conflict) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

/// Joins the member table as a new incarnation and retries until the object API answers.
///
/// After a lost answer, the table is read back to check whether it holds the record. At worst, an incarnation
/// stays unused.
pub(crate) async fn join_members(
    options: &EntryOptions,
    address: std::net::SocketAddr,
    cluster: &ClusterView,
) -> IncarnationId {
    loop {
        match try_join(options, address).await {
            Ok(Some((incarnation, view))) => {
                cluster.advance_members(view);
                info!(options.log, "joined"; "incarnation" => incarnation.0);
                return incarnation;
            }
            Ok(None) => {}
            Err(error) => {
                warn!(options.log, "join failed"; "error" => format!("{error:#}"));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_join(
    options: &EntryOptions,
    address: std::net::SocketAddr,
) -> Result<Option<(IncarnationId, MemberView)>> {
    let store = options.store.as_ref();
    let read = read_members(store).await?;
    let incarnation = read.table.next;
    let record = MemberRecord {
        incarnation,
        host: options.host.clone(),
        failure_domain: options.failure_domain.clone(),
        address,
        joined: TimeMillis::now(),
        state: MemberState::Live,
    };
    let mut table = read.table.clone();
    table.next = incarnation.next();
    table.members.push(record.clone());
    let written = write_members(store, &read, &table).await;
    if !matches!(written, Ok(true)) {
        let current = read_members(store).await?;
        return Ok((current.table.member(incarnation) == Some(&record)).then_some((incarnation, current)));
    }
    let view = read_members(store).await?;
    Ok(Some((incarnation, view)))
}

/// Records the successors of a member in the member table, then seals its journal.
///
/// The table is written first, because its conditional update puts the seals of all members in one order, so
/// that no two members are successors of each other.
///
/// # Errors
///
/// Fails when the object API does not answer. The successors seal a journal that is still open before they
/// read it.
pub(crate) async fn seal_member(context: &EntryContext, incarnation: IncarnationId) -> Result<()> {
    let store = context.options.store.as_ref();
    let own = context.incarnation();
    let successors = record_seal(context, incarnation, |table| {
        preferred_successors(context, table, incarnation)
    })
    .await?;
    let seal = seal_journal(store, incarnation, own, successors).await?;
    announce_seal(context, incarnation, &seal.successors).await;
    info!(context.options.log, "member sealed"; "incarnation" => incarnation.0, "heirs" => format!("{:?}", seal.successors));
    let event = AuditEvent::system(
        &context.options.host,
        "seal",
        incarnation.to_string(),
        format!("{:?}", seal.successors),
    );
    event.write_logged(context).await;
    Ok(())
}

/// Returns the live members that can take over the programs of an incarnation.
pub(crate) fn successors_of(table: &MemberTable, incarnation: IncarnationId) -> Vec<IncarnationId> {
    table
        .live()
        .into_iter()
        .filter(|live| *live != incarnation)
        .collect()
}

/// Records the successors of a member in the member table and returns the recorded ones, which another entry
/// may have chosen before.
///
/// # Errors
///
/// Fails when the object API does not answer, the incarnation is not in the table or there is no successor.
pub(crate) async fn record_seal(
    context: &EntryContext,
    incarnation: IncarnationId,
    choose_successors: impl Fn(&MemberTable) -> Vec<IncarnationId>,
) -> Result<Vec<IncarnationId>> {
    let store = context.options.store.as_ref();
    loop {
        let read = read_members(store).await?;
        let mut table = read.table.clone();
        let Ok(index) = table
            .members
            .binary_search_by_key(&incarnation, |member| member.incarnation)
        else {
            bail!("cannot record a seal: incarnation {incarnation} is not in the member table");
        };
        if let MemberState::Sealed { successors } = &table.members[index].state {
            let successors = successors.clone();
            context.cluster.advance_members(read);
            return Ok(successors);
        }
        let successors = choose_successors(&table);
        if successors.is_empty() {
            bail!("cannot record the seal of incarnation {incarnation}: it has no live successor");
        }
        table.members[index].state = MemberState::Sealed {
            successors: successors.clone(),
        };
        if write_members(store, &read, &table).await? {
            context.cluster.advance_members(read_members(store).await?);
            return Ok(successors);
        }
    }
}

/// Returns the successors that are reachable and not leaving, or all successors when there are none such.
fn preferred_successors(
    context: &EntryContext,
    table: &MemberTable,
    incarnation: IncarnationId,
) -> Vec<IncarnationId> {
    let available = available_successors(context, table, incarnation);
    if available.is_empty() {
        successors_of(table, incarnation)
    } else {
        available
    }
}

/// Returns the successors that are reachable and not leaving.
pub(crate) fn available_successors(
    context: &EntryContext,
    table: &MemberTable,
    incarnation: IncarnationId,
) -> Vec<IncarnationId> {
    let fleet = context.cluster.fleet();
    let is_available = |successor: &IncarnationId| {
        if *successor == context.incarnation() {
            return !context.cluster.is_leaving();
        }
        let peer = fleet.entry(successor.0);
        peer.is_some_and(|peer| {
            !peer.heartbeat.leaving && peer.received_at.elapsed() <= context.options.suspect_after
        })
    };
    successors_of(table, incarnation)
        .into_iter()
        .filter(is_available)
        .collect()
}

/// Notifies the successors of a seal and waits until each has adopted the programs or its call has timed out.
pub(crate) async fn announce_seal(context: &EntryContext, from: IncarnationId, successors: &[IncarnationId]) {
    let members = context.cluster.members();
    let others = successors
        .iter()
        .filter(|successor| **successor != context.incarnation());
    let calls = others.filter_map(|successor| members.table.member(*successor)).map(|successor| async {
        let Ok(client) = context.pool.owner(successor.address).await else {
            return;
        };
        let answered = client.await_adoption(call_context(CALL_TIMEOUT), members.version, from).await;
        if !matches!(answered, Ok(Ok(true))) {
            debug!(context.options.log, "successor did not confirm the adoption"; "heir" => successor.incarnation.0, "from" => from.0);
        }
    });
    join_all(calls).await;
}

/// Reads the member table whenever a peer announces a later version.
pub(crate) async fn follow_members(context: Arc<EntryContext>) {
    let mut announced = context.watch_announced_members();
    while announced.changed().await.is_ok() {
        let wanted = *announced.borrow_and_update();
        while context.cluster.members().version < wanted {
            match read_members(context.options.store.as_ref()).await {
                Ok(view) => context.cluster.advance_members(view),
                Err(error) => {
                    warn!(context.options.log, "member table not read"; "error" => format!("{error:#}"));
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Seals members whose heartbeats have stopped, and earlier incarnations with the address of this entry.
pub(crate) async fn suspect_members(context: Arc<EntryContext>) {
    let mut resumed_at = Instant::now();
    let mut last = resumed_at;
    let mut ticks = interval(context.options.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        if now.duration_since(last) > context.options.suspect_after / 2 {
            // This process was paused, so the missing heartbeats do not show that the other members failed.
            resumed_at = now;
        }
        for incarnation in members_to_seal(&context, resumed_at) {
            if let Err(error) = seal_member(&context, incarnation).await {
                warn!(context.options.log, "seal failed"; "incarnation" => incarnation.0, "error" => format!("{error:#}"));
            }
        }
        last = Instant::now();
    }
}

/// Returns the live members that this entry should seal now.
fn members_to_seal(context: &EntryContext, resumed_at: Instant) -> Vec<IncarnationId> {
    let members = context.cluster.members();
    let own = context.incarnation();
    let live: Vec<&MemberRecord> = members
        .table
        .members
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .collect();
    let superseded = live
        .iter()
        .filter(|member| member.incarnation < own && is_own_address(context, member));
    let mut members_to_seal: Vec<_> = superseded.map(|member| member.incarnation).collect();
    if context.cluster.is_leaving() {
        return members_to_seal;
    }
    let others: Vec<_> = live.iter().filter(|member| member.incarnation != own).collect();
    let is_suspect =
        |member: &MemberRecord| heartbeat_age(context, member.incarnation, resumed_at) > seal_after(context);
    let suspects: Vec<_> = others.iter().filter(|member| is_suspect(member)).collect();
    if may_seal_suspects(context, &others, &suspects, resumed_at) {
        members_to_seal.extend(suspects.iter().map(|member| member.incarnation));
    }
    members_to_seal.sort_unstable();
    members_to_seal.dedup();
    members_to_seal
}

fn is_own_address(context: &EntryContext, member: &MemberRecord) -> bool {
    member.address == context.process_address
}

/// Returns the time since the last heartbeat of an incarnation, counted from `resumed_at` at the earliest.
fn heartbeat_age(context: &EntryContext, incarnation: IncarnationId, resumed_at: Instant) -> Duration {
    let fleet = context.cluster.fleet();
    let received_at = fleet
        .entry(incarnation.0)
        .map_or(resumed_at, |peer| peer.received_at.max(resumed_at));
    Instant::now().duration_since(received_at)
}

/// Returns the time without a heartbeat after which this entry seals a member. It grows by two heartbeat
/// intervals for each reachable member with a smaller incarnation, so that one entry seals before the others
/// do.
fn seal_after(context: &EntryContext) -> Duration {
    let own = context.incarnation();
    let members = context.cluster.members();
    let fleet = context.cluster.fleet();
    let now = Instant::now();
    let live = members.table.live();
    let earlier = live.iter().filter(|live| **live < own);
    let reachable = earlier.filter(|live| {
        let peer = fleet.entry(live.0);
        peer.is_some_and(|peer| now.duration_since(peer.received_at) <= context.options.suspect_after)
    });
    let rank = u32::try_from(reachable.count()).unwrap_or(u32::MAX);
    context.options.suspect_after + context.options.heartbeat_interval * rank.saturating_mul(2)
}

/// Returns whether the suspects may be sealed. An entry that is itself disconnected must not seal the others,
/// so it needs recent heartbeats of most of the others in the host list, at most one other in that list, or
/// suspects that have all been unreachable for so long that further waiting does not help.
fn may_seal_suspects(
    context: &EntryContext,
    others: &[&&MemberRecord],
    suspects: &[&&&MemberRecord],
    resumed_at: Instant,
) -> bool {
    const FORCED_SEAL_FACTOR: u32 = 6;
    let listed = context.cluster.listed();
    let is_listed = |member: &MemberRecord| {
        listed
            .iter()
            .any(|row| row.role == HostRole::Entry && row.name == member.host)
    };
    let listed_others = others.iter().filter(|member| is_listed(member)).count();
    let listed_suspects = suspects.iter().filter(|member| is_listed(member)).count();
    let single = listed_others <= 1;
    let majority = listed_suspects * 2 < listed_others;
    let forced_seal_after = context.options.suspect_after * FORCED_SEAL_FACTOR;
    let is_overdue = !suspects.is_empty()
        && suspects
            .iter()
            .all(|member| heartbeat_age(context, member.incarnation, resumed_at) > forced_seal_after);
    single || majority || is_overdue
}
