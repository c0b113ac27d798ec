//! Keys of teams and operators, compared in constant time.

use domain::TeamName;
use errors::{CallError, ResultCode};
use hyper::HeaderMap;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::context::EntryContext;
use crate::http::request::header_text;

/// Returns the team whose key the request carries.
///
/// # Errors
///
/// Returns 2001 when the key is missing or belongs to no team, 3021 without a configuration.
pub(crate) fn authenticate_team(context: &EntryContext, headers: &HeaderMap) -> Result<TeamName, CallError> {
    let digest = bearer_digest(headers)?;
    let applied = context.cluster.require_configuration()?;
    let mut found = None;
    for team in &applied.content.teams {
        if bool::from(
            team.key_sha256
                .to_ascii_lowercase()
                .as_bytes()
                .ct_eq(digest.as_bytes()),
        ) {
            found = Some(team.name.clone());
        }
    }
    found.ok_or_else(unauthorized)
}

/// Checks that the request carries the operators' key.
///
/// # Errors
///
/// Returns 2001 when the key is missing or wrong.
pub(crate) fn authenticate_operator(context: &EntryContext, headers: &HeaderMap) -> Result<(), CallError> {
    let digest = bearer_digest(headers)?;
    let expected = context.options.operator_key_sha256.as_bytes();
    if bool::from(digest.as_bytes().ct_eq(expected)) {
        Ok(())
    } else {
        Err(unauthorized())
    }
}

fn bearer_digest(headers: &HeaderMap) -> Result<String, CallError> {
    let key = header_text(headers, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(unauthorized)?;
    Ok(hex::encode(Sha256::digest(key.as_bytes())))
}

fn unauthorized() -> CallError {
    CallError::not_run(ResultCode::Unauthorized, "the bearer key is missing or unknown")
}
