//! Who a caller is, by the API key of its request, and whether its request may be served.

use std::sync::Arc;

use errors::{CallError, ResultCode};
use routing::{RouteAccess, RouteTable, ServiceRoute, Workspace};

use crate::dialect::CallerIdentity;

/// The caller of a request that may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The configuration does not tell callers apart.
    Untold,
    /// The route is public; the caller's API key, if any, does not matter.
    Anonymous,
    /// The caller belongs to a workspace.
    Member(Arc<Workspace>),
}

impl Caller {
    /// Returns the caller's workspace; `None` if the caller belongs to none.
    pub(crate) fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Untold | Self::Anonymous => None,
            Self::Member(workspace) => Some(workspace),
        }
    }

    /// Returns what backend servers are told of the caller.
    pub(crate) fn identity(&self) -> CallerIdentity<'_> {
        match self {
            Self::Untold => CallerIdentity::Untold,
            Self::Anonymous => CallerIdentity::Anonymous,
            Self::Member(workspace) => CallerIdentity::Workspace(&workspace.name),
        }
    }
}

/// Returns the caller of a request on a route, by its API key.
///
/// # Errors
///
/// Fails when the route needs an API key and the request has none or an unknown one.
pub(crate) fn identify(
    table: &RouteTable,
    route: &ServiceRoute,
    api_key: Option<&[u8]>,
) -> Result<Caller, CallError> {
    let Some(workspaces) = table.workspaces() else {
        return Ok(Caller::Untold);
    };
    if route.access == RouteAccess::Public {
        return Ok(Caller::Anonymous);
    }
    let found = api_key.and_then(|api_key| workspaces.find(api_key));
    if let Some(workspace) = found {
        return Ok(Caller::Member(Arc::clone(workspace)));
    }
    let cause = if api_key.is_some() {
        "the API key is unknown"
    } else {
        "the request has no API key"
    };
    let message = format!("{cause} in configuration {}", table.version());
    Err(CallError::not_run(ResultCode::UnknownApiKey, message))
}
