//! Whether a request may be served, by its API key and by the age of the configuration that the entry knows.
//!
//! Load pattern: API keys are added and taken away while some entries cannot reach the object store, and callers with
//! unknown keys send as fast as they can. A key that is unknown to a configuration that may be out of date is not refused
//! as unknown; asking for a newer configuration costs the same under a flood as without one.

use std::sync::Arc;

use crate::route::{RouteAccess, RouteTable, ServiceRoute};
use crate::workspace::Workspace;

/// Shortest interval between two requests for a newer configuration because of unknown API keys.
const REFRESH_INTERVAL_MS: u64 = 500;
/// Longest time for which requests wait for the newer configuration.
const REFRESH_TIMEOUT_MS: u64 = 150;

/// The caller of a request on a route, by its API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyHolder {
    /// The configuration does not tell callers apart.
    Untold,
    /// The route is public; the caller's API key, if any, does not matter.
    Anonymous,
    /// The API key belongs to a workspace.
    Member(Arc<Workspace>),
    /// The API key belongs to no workspace.
    Unknown,
    /// The request has no API key, or several.
    Missing,
}

impl KeyHolder {
    /// Returns the caller of a request on a route of the table.
    pub fn of_request(table: &RouteTable, route: &ServiceRoute, api_key: Option<&[u8]>) -> Self {
        let Some(workspaces) = table.workspaces() else {
            return Self::Untold;
        };
        match (route.access, api_key) {
            (RouteAccess::Public, _) => Self::Anonymous,
            (RouteAccess::Workspaces, None) => Self::Missing,
            (RouteAccess::Workspaces, Some(api_key)) => match workspaces.find(api_key) {
                Some(workspace) => Self::Member(Arc::clone(workspace)),
                None => Self::Unknown,
            },
        }
    }

    /// Returns the priority of the caller's requests on a route: that of the workspace goes before that of the route; 0 is
    /// the most urgent.
    pub fn priority(&self, route: &ServiceRoute) -> u32 {
        let of_workspace = self.workspace().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(route.priority)
    }

    /// Returns the caller's workspace; `None` if the caller belongs to none.
    pub fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Member(workspace) => Some(workspace),
            Self::Untold | Self::Anonymous | Self::Unknown | Self::Missing => None,
        }
    }
}

/// Ages of the known configuration up to which it decides on API keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessBounds {
    /// Age in milliseconds up to which a key that is not in the configuration is refused as unknown.
    pub refusal_age_ms: u64,
    /// Age in milliseconds up to which a key that is in the configuration is accepted; `None` for any age.
    pub grant_age_ms: Option<u64>,
}

/// Whether a request may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessDecision {
    /// It may be served.
    Granted,
    /// Its API key is missing or unknown.
    Refused,
    /// The known configuration is too old to tell.
    Undecided,
}

impl AccessBounds {
    /// Decides on a request. `age_ms` is the time since the configuration was known to be the newest one; `None` if it
    /// never was.
    pub fn decide(self, holder: &KeyHolder, age_ms: Option<u64>) -> AccessDecision {
        let is_within = |bound_ms: u64| age_ms.is_some_and(|age_ms| age_ms <= bound_ms);
        match holder {
            KeyHolder::Untold | KeyHolder::Anonymous => AccessDecision::Granted,
            KeyHolder::Member(_) if self.grant_age_ms.is_none_or(is_within) => AccessDecision::Granted,
            KeyHolder::Unknown | KeyHolder::Missing if is_within(self.refusal_age_ms) => {
                AccessDecision::Refused
            }
            KeyHolder::Member(_) | KeyHolder::Unknown | KeyHolder::Missing => AccessDecision::Undecided,
        }
    }
}

/// What a request with an unknown API key does before it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefreshStep {
    /// It asks for a newer configuration, and waits until this time in milliseconds at the latest.
    Ask(u64),
    /// It waits for the answer to another request's question, until this time in milliseconds at the latest.
    Join(u64),
    /// It is decided by the known configuration.
    Skip,
}

/// Limits how often unknown API keys make an entry ask for a newer configuration, and how long requests wait for that.
#[derive(Debug, Default)]
pub struct RefreshGate {
    asked_ms: Option<u64>,
    is_answered: bool,
}

impl RefreshGate {
    /// Returns what a request does that arrives now. `now_ms` must not decrease.
    pub fn step(&mut self, now_ms: u64) -> RefreshStep {
        match self.asked_ms {
            Some(asked_ms) if !self.is_answered && now_ms < asked_ms + REFRESH_TIMEOUT_MS => {
                RefreshStep::Join(asked_ms + REFRESH_TIMEOUT_MS)
            }
            Some(asked_ms) if now_ms < asked_ms + REFRESH_INTERVAL_MS => RefreshStep::Skip,
            _ => {
                self.asked_ms = Some(now_ms);
                self.is_answered = false;
                RefreshStep::Ask(now_ms + REFRESH_TIMEOUT_MS)
            }
        }
    }

    /// Records that the question has been answered, or cannot be.
    pub const fn finish(&mut self) {
        self.is_answered = true;
    }
}
