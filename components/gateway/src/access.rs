//! Who a caller is, by the API key of its request, and whether its request may be served.

use std::sync::Arc;

use errors::{CallError, ResultCode};
use hyper::http::request;
use routing::{AccessDecision, KeyDigest, KeyHolder, RouteTable};

use crate::dialect::CallerIdentity;
use crate::exchange::find_route;
use crate::state::EntryState;

/// Returns what backend servers are told of a caller.
pub(crate) fn caller_identity(holder: &KeyHolder) -> CallerIdentity<'_> {
    match holder {
        KeyHolder::Untold => CallerIdentity::Untold,
        KeyHolder::Anonymous | KeyHolder::Unknown | KeyHolder::Missing => CallerIdentity::Anonymous,
        KeyHolder::Member(workspace) => CallerIdentity::Workspace(&workspace.name),
    }
}

/// Returns the caller of a request that may be served, and the configuration that says so. Before it refuses a
/// request, the entry asks for a newer configuration.
///
/// # Errors
///
/// Fails when no route matches, when the route needs an API key and the request has none or an unknown one, or when the
/// known configuration is too old to tell.
pub(crate) async fn identify(
    entry: &EntryState,
    mut table: Arc<RouteTable>,
    head: &request::Parts,
) -> Result<(Arc<RouteTable>, KeyHolder), CallError> {
    let api_key = entry.dialect.api_key(&head.headers);
    let mut holder = KeyHolder::of_request(&table, find_route(&table, head)?, api_key);
    let mut age_ms = entry.configuration_age_ms();
    let mut decision = entry.access_bounds().decide(&holder, age_ms);
    if decision != AccessDecision::Granted
        && let Some(newer) = entry.refreshed_configuration().await
    {
        table = newer;
        holder = KeyHolder::of_request(&table, find_route(&table, head)?, api_key);
        age_ms = entry.configuration_age_ms();
        decision = entry.access_bounds().decide(&holder, age_ms);
    }
    let label = outcome_label(&holder, decision);
    entry.metrics.access.with_label_values(&[label]).inc();
    match decision {
        AccessDecision::Granted => Ok((table, holder)),
        AccessDecision::Refused => Err(unknown_key_error(&table, api_key)),
        AccessDecision::Undecided => Err(stale_error(&table, age_ms)),
    }
}

fn unknown_key_error(table: &RouteTable, api_key: Option<&[u8]>) -> CallError {
    let cause = api_key.map_or_else(
        || "the request does not have exactly one API key".to_owned(),
        |api_key| {
            let digest = KeyDigest::of_key(api_key).short();
            format!("the API key with the digest {digest}.. is unknown")
        },
    );
    let message = format!("{cause} in configuration {}", table.version());
    CallError::not_run(ResultCode::UnknownApiKey, message)
}

fn stale_error(table: &RouteTable, age_ms: Option<u64>) -> CallError {
    let version = table.version();
    let known = age_ms.map_or_else(
        || "has not been confirmed yet".to_owned(),
        |age_ms| format!("was last confirmed {age_ms} ms ago"),
    );
    let message = format!("the API key cannot be checked: configuration {version} {known}");
    CallError::not_run(ResultCode::ConfigurationStale, message)
}

const fn outcome_label(holder: &KeyHolder, decision: AccessDecision) -> &'static str {
    match (decision, holder) {
        (AccessDecision::Undecided, _) => "stale",
        (_, KeyHolder::Untold) => "untold",
        (_, KeyHolder::Anonymous) => "anonymous",
        (_, KeyHolder::Member(_)) => "member",
        (_, KeyHolder::Unknown) => "unknown",
        (_, KeyHolder::Missing) => "missing",
    }
}
