//! The configuration in force. At most three entries watch it in the object API, the others fetch it from
//! peers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::parse_configuration;
use domain::{AppliedConfiguration, Generation, HostRole};
use errors::{CallError, ResultCode};
use slog::{error, info, warn};
use store::{ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
use tokio::time::{sleep, timeout};

use crate::context::EntryContext;
use crate::owner::OwnerCore;
use crate::pool::{CALL_TIMEOUT, call_context};

const CONFIGURATION_KEY: &str = "config/text";
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const RANK_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Number of entries that watch the object. The others receive new generations in heartbeats of their peers.
const WATCHERS: usize = 3;

/// Watches the configuration in the object API and puts each later generation in force.
pub(crate) async fn watch_configuration(context: Arc<EntryContext>) {
    read_configuration(&context).await;
    loop {
        if !is_watcher(&context) {
            sleep(RANK_CHECK_INTERVAL).await;
            continue;
        }
        let known = Some(context.cluster.generation()).filter(|known| *known > Generation(0));
        let known = known.map(|known| ObjectVersion(known.0));
        match context
            .options
            .store
            .watch(CONFIGURATION_KEY, known, WATCH_TIMEOUT)
            .await
        {
            Ok(Some(object)) => activate_object(&context, &object),
            Ok(None) => {}
            Err(error) => {
                warn!(context.options.log, "configuration not watched"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_configuration(context: &EntryContext) {
    match context.options.store.read(CONFIGURATION_KEY).await {
        Ok(Some(object)) => activate_object(context, &object),
        Ok(None) => {}
        Err(error) => warn!(context.options.log, "configuration not read"; "error" => %error),
    }
}

fn is_watcher(context: &EntryContext) -> bool {
    let members = context.cluster.members();
    let own = context.incarnation();
    members
        .table
        .live()
        .iter()
        .take(WATCHERS)
        .any(|live| *live == own)
}

fn activate_object(context: &EntryContext, object: &VersionedObject) {
    let generation = Generation(object.version.0);
    let text = String::from_utf8_lossy(&object.value).into_owned();
    match parse_configuration(&text) {
        Ok(content) => activate(
            context,
            AppliedConfiguration {
                generation,
                text,
                content,
            },
        ),
        Err(faults) => error!(context.options.log, "configuration ignored"; "generation" => generation.0,
            "faults" => faults.len()),
    }
}

/// Puts a configuration in force and updates the teams' budgets, unless one of the same or a later generation
/// is in force.
fn activate(context: &EntryContext, applied: AppliedConfiguration) {
    let applied = Arc::new(applied);
    // Without the guard, the effects of an earlier generation could be applied after those of a later one.
    let _guard = context.lock_effects();
    if context.cluster.advance_configuration(&applied) {
        set_teams(context, &context.owner(), &applied);
        info!(context.options.log, "configuration in force"; "generation" => applied.generation.0);
    }
}

/// Replaces the owner of a sealed incarnation by that of a new one, with the teams of the configuration in
/// force.
pub(crate) fn install_owner(context: &EntryContext, owner: Arc<OwnerCore>) {
    let _guard = context.lock_effects();
    if let Some(applied) = context.cluster.configuration() {
        set_teams(context, &owner, &applied);
    }
    context.replace_owner(owner);
}

fn set_teams(context: &EntryContext, owner: &OwnerCore, applied: &AppliedConfiguration) {
    let owners = u32::try_from(context.cluster.members().table.live().len()).unwrap_or(u32::MAX);
    owner.budget().set_teams(&applied.content.teams, owners);
}

/// Fetches a later configuration from the peer whose heartbeat announced it.
pub(crate) async fn fetch_announced_configuration(context: Arc<EntryContext>) {
    let mut announced = context.watch_announced_configuration();
    while announced.changed().await.is_ok() {
        let Some((generation, address)) = *announced.borrow_and_update() else {
            continue;
        };
        if generation <= context.cluster.generation() {
            continue;
        }
        let Ok(client) = context.pool.owner(address).await else {
            continue;
        };
        match client.fetch_configuration(call_context(CALL_TIMEOUT)).await {
            Ok(Ok(Some(applied))) => activate(&context, applied),
            Ok(Ok(None) | Err(_)) => {}
            Err(_) => context.pool.drop_connections(address),
        }
    }
}

/// Returns the configuration in force in reply to the request of a peer.
///
/// # Errors
///
/// Returns 7007 while the heartbeat of an agent shows a later generation. A peer that has restarted may have
/// had that generation in force before and would go back to an earlier one.
pub(crate) fn configuration_for_peer(
    context: &EntryContext,
) -> Result<Option<AppliedConfiguration>, CallError> {
    let own = context.cluster.generation();
    let fleet = context.cluster.fleet();
    let agents = fleet
        .peers()
        .iter()
        .filter(|peer| peer.heartbeat.role == HostRole::Agent);
    let latest = agents.map(|peer| peer.heartbeat.generation).max();
    if let Some(latest) = latest.filter(|latest| *latest > own) {
        let message =
            format!("this entry has generation {own}, but an agent has the later generation {latest}");
        return Err(CallError::not_run(ResultCode::NoConfiguration, message));
    }
    Ok(context.cluster.configuration().map(|applied| (*applied).clone()))
}

/// Writes a valid text on the condition that generation `base` is in force, and puts it in force at this
/// entry.
///
/// # Errors
///
/// Returns 7006 when another generation is in force, an error of the object API when it refused the write,
/// and an unknown outcome when the write may have taken effect or may still do so.
pub(crate) async fn apply_configuration(
    context: &EntryContext,
    base: Generation,
    text: &str,
) -> Result<Generation, CallError> {
    match write_text(context, base, text).await {
        Ok(version) => activate_text(context, Generation(version.0), text),
        Err(PlatformError::NoAnswer(reason) | PlatformError::Protocol(reason)) => {
            resolve_lost_write(context, base, text, &reason).await
        }
        Err(PlatformError::Conflict) => Err(generation_conflict(context, base).await),
        Err(error) => Err(CallError::from(error).with_retry_after_ms(1000)),
    }
}

async fn write_text(context: &EntryContext, base: Generation, text: &str) -> StoreResult<ObjectVersion> {
    let condition = match base {
        Generation(0) => WriteCondition::Absent,
        Generation(version) => WriteCondition::Version(ObjectVersion(version)),
    };
    let value = Bytes::from(text.to_owned());
    let store = context.options.store.as_ref();
    store.write(CONFIGURATION_KEY, value, condition).await
}

/// Determines the outcome of a write whose answer was lost by repeating the same write.
///
/// Reading the object would not determine it, because the first write may still be in transit. Once a second
/// write over the same base has succeeded or met a conflict, the first one can no longer take effect.
async fn resolve_lost_write(
    context: &EntryContext,
    base: Generation,
    text: &str,
    reason: &str,
) -> Result<Generation, CallError> {
    const MAX_TRIES: u32 = 5;
    for _ in 0..MAX_TRIES {
        match timeout(CALL_TIMEOUT, write_text(context, base, text)).await {
            Ok(Ok(version)) => return activate_text(context, Generation(version.0), text),
            Ok(Err(PlatformError::Conflict)) => return resolve_conflict(context, text).await,
            Ok(Err(_)) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    Err(CallError::unknown(format!(
        "the object API did not answer the write of the configuration: {reason}"
    ))
    .with_retry_after_ms(1000))
}

/// Determines the outcome when the base has been replaced, by the lost write or by that of another operator.
async fn resolve_conflict(context: &EntryContext, text: &str) -> Result<Generation, CallError> {
    let current = context.options.store.read(CONFIGURATION_KEY).await;
    let Ok(Some(object)) = current else {
        let message = "the base is no longer in force, and the object API did not return the configuration that replaced it";
        return Err(CallError::unknown(message).with_retry_after_ms(1000));
    };
    let generation = Generation(object.version.0);
    if object.value == text.as_bytes() {
        return activate_text(context, generation, text);
    }
    activate_object(context, &object);
    Err(CallError::unknown(format!(
        "generation {generation} of another operator is in force; the submitted text may have been in force before it"
    )))
}

fn activate_text(
    context: &EntryContext,
    generation: Generation,
    text: &str,
) -> Result<Generation, CallError> {
    let content = parse_configuration(text).map_err(|faults| {
        let first = faults.first().map(ToString::to_string).unwrap_or_default();
        CallError::ran(
            ResultCode::Internal,
            format!("the configuration was written but not put in force: it has faults: {first}"),
        )
    })?;
    activate(
        context,
        AppliedConfiguration {
            generation,
            text: text.to_owned(),
            content,
        },
    );
    Ok(generation)
}

async fn generation_conflict(context: &EntryContext, base: Generation) -> CallError {
    let current = context.options.store.read(CONFIGURATION_KEY).await;
    if let Ok(Some(object)) = &current {
        activate_object(context, object);
    }
    let generation = current.ok().flatten().map_or(0, |object| object.version.0);
    CallError::not_run(
        ResultCode::GenerationConflict,
        format!("generation {generation} is in force, not {base}"),
    )
}
