//! Short-lived facts that entries tell one another through ledger hosts: limits of backend servers, and requests under which
//! servers crash.
//!
//! Load pattern: hundreds of entries that each learn something now and then which all of them need within a second. An entry
//! reports what it learns to the first hosts in one call, and waits at one of them for changes of every kind in one other
//! call. Each kind decides for itself what it keeps and for how long. A host that starts anew knows nothing until entries
//! report again.

use domain::ContentKey;
use serde::{Deserialize, Serialize};

use crate::crash::{CrashReport, LossReport, NoticePage, SuspectNotice};
use crate::limit::LimitReport;
use crate::notice::NoticeVersion;

/// What an entry has learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FactReport {
    /// A backend server has just crashed under a request; entries of earlier versions report it.
    Crash(CrashReport),
    /// A backend server has run a request to its end, although others have crashed under it.
    Acquittal(ContentKey),
    /// A backend server has named or lifted its limit.
    Limit(LimitReport),
    /// A backend server has crashed under a request some time ago.
    Loss(LossReport),
}

/// How far an entry knows the facts of a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KnownFacts {
    /// Requests under which servers crash.
    pub suspects: Option<NoticeVersion>,
    /// Limits of servers.
    pub limits: Option<NoticeVersion>,
}

/// All limits of a host, each with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitPage {
    /// State of the limits.
    pub version: NoticeVersion,
    /// The limits, sorted by the server.
    pub reports: Vec<LimitReport>,
}

/// The kinds of facts that differ from what an entry knows, each as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FactPage {
    /// Requests under which servers crash, if they have changed.
    pub suspects: Option<NoticePage>,
    /// Limits of servers, if they have changed.
    pub limits: Option<LimitPage>,
}

/// Facts of one kind that have changed.
#[derive(Debug, Clone, Copy)]
pub enum FactChange<'a> {
    /// Requests under which servers crash.
    Suspects {
        /// What the host knows of them, sorted by their content.
        notices: &'a [SuspectNotice],
        /// Those that are sent to one server at a time, sorted.
        on_trial: &'a [ContentKey],
    },
    /// Limits of servers, sorted by the server.
    Limits(&'a [LimitReport]),
}

/// Numbers of changes of the facts of a host since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FactChanges {
    pub(crate) suspects: u64,
    pub(crate) limits: u64,
}
