//! Requests under which backend servers crash.
//!
//! Load pattern: one request crashes each server that begins to run it, and comes again and again at any entry. A server that
//! crashes takes tens of other requests with it, which come again, too, and may be lost a second and a third time.
//! Each crash is shared evenly among the requests that were lost with the server. The one with the largest shares is
//! convicted first, and the servers that it has crashed count against nobody else.

use domain::{ContentKey, InstanceKey};
use serde::{Deserialize, Serialize};

use crate::notice::NoticeVersion;

/// Servers that must crash under a request before it is convicted.
const CONVICTION_CRASHES: usize = 3;
/// Servers that must crash under a request before entries report its success.
const SUSPICION_CRASHES: usize = 2;
/// Shares into which a crash is divided.
const CRASH_SHARES: u64 = 1_000_000;
/// Time after the latest crash for which a request is remembered, in milliseconds.
pub const CRASH_RETENTION_MS: u64 = 600_000;
/// Limit on the requests that are remembered; those whose latest crash is longest ago are forgotten first.
const MAX_SUSPECTS: usize = 4_096;
/// Limit on the servers that are remembered for one request.
const MAX_CRASHES: usize = 64;

/// Which part of a request a content key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContentScope {
    /// The whole request.
    Whole,
    /// The request up to the beginning of its body. Blamed before the whole one, since requests that differ only at
    /// their end crash servers, too.
    Leading,
}

/// A server that crashed under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashReport {
    /// Content of the request.
    pub content: ContentKey,
    /// What the content stands for.
    pub scope: ContentScope,
    /// Start of the server that has crashed.
    pub instance: InstanceKey,
}

/// A request under which servers have crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashSuspect {
    content: ContentKey,
    scope: ContentScope,
    /// Servers that crashed, sorted.
    instances: Vec<InstanceKey>,
    latest_ms: u64,
}

/// Releases those for whose crashes the other convicted ones account, the one with the fewest crashes first.
fn release_explained(convicted: &mut Vec<&CrashSuspect>) {
    convicted.sort_by_key(|suspect| (suspect.instances.len(), suspect.scope));
    let mut index = 0;
    while index < convicted.len() {
        let accounts_for = |instance: &InstanceKey| {
            let others = convicted.iter().enumerate().filter(|(other, _)| *other != index);
            let mut others = others.map(|(_, other)| other);
            others.any(|other| other.instances.binary_search(instance).is_ok())
        };
        let instances = convicted[index].instances.iter();
        if instances.filter(|instance| !accounts_for(instance)).count() < CONVICTION_CRASHES {
            convicted.remove(index);
        } else {
            index += 1;
        }
    }
}

/// How much of the crashes for which nobody else accounts falls to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Blame {
    /// Sum of the request's shares.
    share: u64,
    scope: ContentScope,
    /// Number of the crashes.
    crashes: usize,
}

impl Blame {
    fn of(suspect: &CrashSuspect, shares: &[(InstanceKey, u64)]) -> Self {
        let found = suspect.instances.iter().filter_map(|instance| {
            let index = shares.binary_search_by_key(instance, |(instance, _)| *instance);
            index.ok().map(|index| shares[index].1)
        });
        let (share, crashes) = found.fold((0, 0), |(sum, crashes), share| (sum + share, crashes + 1));
        Self {
            share,
            scope: suspect.scope,
            crashes,
        }
    }
}

/// What entries are told of a request under which servers have crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectNotice {
    /// Content of the request.
    pub content: ContentKey,
    /// What the content stands for.
    pub scope: ContentScope,
    /// Servers that crashed under it, sorted.
    pub instances: Vec<InstanceKey>,
    /// Whether it may not be sent to any server.
    pub is_convicted: bool,
}

/// All notices of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoticePage {
    /// State of the notices.
    pub version: NoticeVersion,
    /// The notices, sorted by the content of the request.
    pub notices: Vec<SuspectNotice>,
}

/// The requests under which servers have crashed, sorted by their content.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    suspects: Vec<CrashSuspect>,
    notices: Vec<SuspectNotice>,
    changes: u64,
}

impl CrashTable {
    /// Records servers that have crashed under requests. `now_ms` is the time in milliseconds of a monotonic clock.
    pub fn record(&mut self, reports: &[CrashReport], now_ms: u64) {
        for report in reports {
            self.add(*report, now_ms);
        }
        self.prune(now_ms);
    }

    fn add(&mut self, report: CrashReport, now_ms: u64) {
        let CrashReport {
            content,
            scope,
            instance,
        } = report;
        let index = self.position_of(content).unwrap_or_else(|index| {
            let suspect = CrashSuspect {
                content,
                scope,
                instances: Vec::new(),
                latest_ms: now_ms,
            };
            self.suspects.insert(index, suspect);
            index
        });
        let suspect = &mut self.suspects[index];
        suspect.latest_ms = now_ms;
        if let Err(position) = suspect.instances.binary_search(&instance)
            && suspect.instances.len() < MAX_CRASHES
        {
            suspect.instances.insert(position, instance);
        }
    }

    /// Forgets the crashes under requests that servers have run to their end.
    pub fn acquit(&mut self, contents: &[ContentKey]) {
        self.suspects
            .retain(|suspect| !contents.contains(&suspect.content));
        self.judge();
    }

    /// Forgets requests whose latest crash is too long ago.
    pub fn prune(&mut self, now_ms: u64) {
        self.suspects
            .retain(|suspect| suspect.latest_ms + CRASH_RETENTION_MS > now_ms);
        if self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().map(|suspect| suspect.latest_ms).min();
            self.suspects.retain(|suspect| Some(suspect.latest_ms) != oldest);
        }
        self.judge();
    }

    /// Returns the requests under which several servers have crashed, sorted by their content.
    pub fn notices(&self) -> &[SuspectNotice] {
        &self.notices
    }

    /// Returns the number of changes of the notices.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Judges all requests anew.
    fn judge(&mut self) {
        let convicted = self.convicted();
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|suspect| suspect.instances.len() >= SUSPICION_CRASHES);
        let notices: Vec<SuspectNotice> = suspects
            .map(|suspect| SuspectNotice {
                content: suspect.content,
                scope: suspect.scope,
                instances: suspect.instances.clone(),
                is_convicted: convicted.contains(&suspect.content),
            })
            .collect();
        if notices != self.notices {
            self.notices = notices;
            self.changes += 1;
        }
    }

    fn convicted(&self) -> Vec<ContentKey> {
        let is_candidate = |suspect: &&CrashSuspect| suspect.instances.len() >= CONVICTION_CRASHES;
        let mut candidates: Vec<&CrashSuspect> = self.suspects.iter().filter(is_candidate).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let mut shares = self.shares();
        let mut convicted: Vec<&CrashSuspect> = Vec::new();
        loop {
            let blames: Vec<Blame> = candidates
                .iter()
                .map(|suspect| Blame::of(suspect, &shares))
                .collect();
            let paired = candidates.iter().zip(&blames);
            let guilty = paired.filter(|(_, blame)| blame.crashes >= CONVICTION_CRASHES);
            let Some((most, _)) = guilty.max_by_key(|(_, blame)| **blame) else {
                break;
            };
            let most = *most;
            convicted.push(most);
            candidates.retain(|suspect| suspect.content != most.content);
            shares.retain(|(instance, _)| most.instances.binary_search(instance).is_err());
        }
        release_explained(&mut convicted);
        convicted.iter().map(|suspect| suspect.content).collect()
    }

    /// Returns the part of each crash that falls to one of the requests that were lost with the server, sorted by the
    /// server.
    fn shares(&self) -> Vec<(InstanceKey, u64)> {
        let lost = self.suspects.iter().flat_map(|suspect| &suspect.instances);
        let mut lost: Vec<InstanceKey> = lost.copied().collect();
        lost.sort_unstable();
        let crashes = lost.chunk_by(|left, right| left == right);
        crashes
            .map(|crash| (crash[0], CRASH_SHARES / crash.len() as u64))
            .collect()
    }

    fn position_of(&self, content: ContentKey) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&content, |suspect| suspect.content)
    }
}
