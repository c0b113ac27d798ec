//! Requests under which backend servers crash.
//!
//! Load pattern: one request crashes each server that begins to run it, and comes again and again at any entry. A server that
//! crashes takes tens of other requests with it, which come again, too, and may be lost a second and a third time.
//! Other causes, such as the loss of a failure domain, crash many servers at one moment, with all that they run.
//!
//! Crashes at one moment have one cause, and count as one. Each is shared evenly among the requests that were lost in it.
//! The one with the largest shares is convicted first, and the crashes that it accounts for count against nobody else. A
//! request that was lost with as many servers, but at fewer moments, is on trial: it is sent to one server at a time until
//! one has run it to its end, or crashes.

use domain::{ContentKey, InstanceKey};
use serde::{Deserialize, Serialize};

use crate::notice::NoticeVersion;
use crate::permit::PermitAnswer;

/// Moments at which servers must crash under a request before it is convicted, and servers that must crash under it before
/// it is on trial.
const CONVICTION_CRASHES: usize = 3;
/// Length of a moment, in milliseconds: several times the difference with which entries notice that servers have crashed
/// together.
const MOMENT_MS: u64 = 250;
/// Time from the latest crash under a request that is on trial to its next attempt, in milliseconds: longer than a moment
/// and the time in which a crash is noticed and reported.
const TRIAL_INTERVAL_MS: u64 = 500;
/// Attempts after which the interval is not halved any more.
const MAX_TRIAL_HALVINGS: u32 = 10;
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

/// A [`CrashReport`] with the time of the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LossReport {
    /// The request and the server.
    pub crash: CrashReport,
    /// Time since the first run was lost with the server, in milliseconds.
    pub lost_ms_ago: u64,
}

impl LossReport {
    /// Returns the report of a crash that has just been noticed.
    pub const fn just_now(crash: CrashReport) -> Self {
        Self {
            crash,
            lost_ms_ago: 0,
        }
    }
}

/// A server that has crashed, with the earliest time of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerCrash {
    instance: InstanceKey,
    at_ms: u64,
}

/// Number of a moment at which servers crashed, in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MomentKey(usize);

/// A request under which servers have crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashSuspect {
    content: ContentKey,
    scope: ContentScope,
    /// Servers that crashed, sorted.
    instances: Vec<InstanceKey>,
    /// Time of the latest crash.
    latest_ms: u64,
    trial: TrialPace,
}

/// When a request that is on trial may be sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TrialPace {
    next_ms: u64,
    /// Attempts since the latest crash.
    attempts: u32,
}

impl TrialPace {
    /// Decides on an attempt. Each one after which no server crashes halves the time to the next one, since runs may last
    /// long.
    fn decide(&mut self, now_ms: u64) -> PermitAnswer {
        if self.next_ms > now_ms {
            return PermitAnswer::Refused {
                wait_ms: self.next_ms - now_ms,
            };
        }
        let next_wait_ms = TRIAL_INTERVAL_MS >> self.attempts.min(MAX_TRIAL_HALVINGS);
        self.next_ms = now_ms + next_wait_ms;
        self.attempts += 1;
        PermitAnswer::Granted {
            wait_ms: 0,
            next_wait_ms,
        }
    }
}

/// A request with the moments at which servers crashed under it, sorted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SuspectMoments<'a> {
    suspect: &'a CrashSuspect,
    moments: Vec<MomentKey>,
}

/// Releases those for whose crashes the other convicted ones account, the one with the fewest crashes first.
fn release_explained(convicted: &mut Vec<SuspectMoments<'_>>) {
    convicted.sort_by_key(|judged| (judged.moments.len(), judged.suspect.scope));
    let mut index = 0;
    while index < convicted.len() {
        let accounts_for = |moment: &MomentKey| {
            let others = convicted.iter().enumerate().filter(|(other, _)| *other != index);
            let mut others = others.map(|(_, other)| other);
            others.any(|other| other.moments.binary_search(moment).is_ok())
        };
        let moments = convicted[index].moments.iter();
        if moments.filter(|moment| !accounts_for(moment)).count() < CONVICTION_CRASHES {
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
    /// Number of the moments.
    crashes: usize,
}

impl Blame {
    fn of(judged: &SuspectMoments<'_>, shares: &[(MomentKey, u64)]) -> Self {
        let found = judged.moments.iter().filter_map(|moment| {
            let index = shares.binary_search_by_key(moment, |(moment, _)| *moment);
            index.ok().map(|index| shares[index].1)
        });
        let (share, crashes) = found.fold((0, 0), |(sum, crashes), share| (sum + share, crashes + 1));
        Self {
            share,
            scope: judged.suspect.scope,
            crashes,
        }
    }
}

/// Verdicts on all requests, each list sorted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct CrashVerdicts {
    convicted: Vec<ContentKey>,
    on_trial: Vec<ContentKey>,
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

/// How long ago a server has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashAge {
    /// Start of the server.
    pub instance: InstanceKey,
    /// Time since the crash, in milliseconds.
    pub ms_ago: u64,
}

/// What entries are told beside the notices of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashDetails {
    /// Requests that are sent to one server at a time, sorted.
    pub on_trial: Vec<ContentKey>,
    /// Crashes of the servers that the notices name, sorted by the server.
    pub crashes: Vec<CrashAge>,
}

/// The requests under which servers have crashed, sorted by their content.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    suspects: Vec<CrashSuspect>,
    /// The servers, sorted.
    crashes: Vec<ServerCrash>,
    notices: Vec<SuspectNotice>,
    on_trial: Vec<ContentKey>,
    changes: u64,
}

impl CrashTable {
    /// Records servers that have crashed under requests. `now_ms` is the time in milliseconds of a monotonic clock which
    /// began at least [`CRASH_RETENTION_MS`] ago.
    pub fn record(&mut self, reports: &[LossReport], now_ms: u64) {
        for report in reports {
            self.add(report.crash, now_ms.saturating_sub(report.lost_ms_ago));
        }
        self.prune(now_ms);
    }

    fn add(&mut self, report: CrashReport, at_ms: u64) {
        let CrashReport {
            content,
            scope,
            instance,
        } = report;
        match self
            .crashes
            .binary_search_by_key(&instance, |crash| crash.instance)
        {
            Ok(index) => self.crashes[index].at_ms = self.crashes[index].at_ms.min(at_ms),
            Err(index) => self.crashes.insert(index, ServerCrash { instance, at_ms }),
        }
        let index = self.position_of(content).unwrap_or_else(|index| {
            let suspect = CrashSuspect {
                content,
                scope,
                instances: Vec::new(),
                latest_ms: at_ms,
                trial: TrialPace::default(),
            };
            self.suspects.insert(index, suspect);
            index
        });
        let suspect = &mut self.suspects[index];
        suspect.latest_ms = suspect.latest_ms.max(at_ms);
        if let Err(position) = suspect.instances.binary_search(&instance)
            && suspect.instances.len() < MAX_CRASHES
        {
            suspect.instances.insert(position, instance);
            suspect.trial = TrialPace {
                next_ms: suspect.latest_ms + TRIAL_INTERVAL_MS,
                attempts: 0,
            };
        }
    }

    /// Decides on an attempt with a request that is on trial. One that is not may be sent.
    pub fn decide_trial(&mut self, content: ContentKey, now_ms: u64) -> PermitAnswer {
        if self.on_trial.binary_search(&content).is_err() {
            return PermitAnswer::Lifted;
        }
        let Ok(index) = self.position_of(content) else {
            return PermitAnswer::Lifted;
        };
        self.suspects[index].trial.decide(now_ms)
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
        let mut lost: Vec<InstanceKey> = self.lost_instances().collect();
        lost.sort_unstable();
        self.crashes
            .retain(|crash| lost.binary_search(&crash.instance).is_ok());
        self.judge();
    }

    /// Returns what entries are told beside the notices.
    pub fn details(&self, now_ms: u64) -> CrashDetails {
        let notified = self.notices.iter().flat_map(|notice| &notice.instances);
        let mut notified: Vec<InstanceKey> = notified.copied().collect();
        notified.sort_unstable();
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| notified.binary_search(&crash.instance).is_ok());
        CrashDetails {
            on_trial: self.on_trial.clone(),
            crashes: crashes
                .map(|crash| CrashAge {
                    instance: crash.instance,
                    ms_ago: now_ms.saturating_sub(crash.at_ms),
                })
                .collect(),
        }
    }

    /// Returns the requests under which several servers have crashed, sorted by their content.
    pub fn notices(&self) -> &[SuspectNotice] {
        &self.notices
    }

    /// Returns the number of changes of the notices.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    fn lost_instances(&self) -> impl Iterator<Item = InstanceKey> {
        self.suspects
            .iter()
            .flat_map(|suspect| &suspect.instances)
            .copied()
    }

    /// Judges all requests anew.
    fn judge(&mut self) {
        let CrashVerdicts { convicted, on_trial } = self.verdicts();
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|suspect| suspect.instances.len() >= SUSPICION_CRASHES);
        let notices: Vec<SuspectNotice> = suspects
            .map(|suspect| SuspectNotice {
                content: suspect.content,
                scope: suspect.scope,
                instances: suspect.instances.clone(),
                is_convicted: convicted.binary_search(&suspect.content).is_ok(),
            })
            .collect();
        if notices != self.notices || on_trial != self.on_trial {
            self.notices = notices;
            self.on_trial = on_trial;
            self.changes += 1;
        }
    }

    fn verdicts(&self) -> CrashVerdicts {
        let is_candidate = |suspect: &&CrashSuspect| suspect.instances.len() >= CONVICTION_CRASHES;
        if !self.suspects.iter().any(|suspect| is_candidate(&suspect)) {
            return CrashVerdicts::default();
        }
        let moments = self.moments();
        let judged = self.suspects.iter().map(|suspect| SuspectMoments {
            suspect,
            moments: moments_of(suspect, &moments),
        });
        let judged: Vec<SuspectMoments<'_>> = judged.collect();
        let mut shares = shares(&judged);
        let mut candidates: Vec<SuspectMoments<'_>> = judged
            .into_iter()
            .filter(|judged| is_candidate(&judged.suspect))
            .collect();
        let all = candidates.clone();
        let mut convicted: Vec<SuspectMoments<'_>> = Vec::new();
        loop {
            let blames = candidates.iter().map(|judged| Blame::of(judged, &shares));
            let guilty = blames
                .enumerate()
                .filter(|(_, blame)| blame.crashes >= CONVICTION_CRASHES);
            // The last one of equals, as the order by content is the same at every host.
            let Some((index, _)) = guilty.max_by_key(|(_, blame)| *blame) else {
                break;
            };
            let most = candidates.remove(index);
            shares.retain(|(moment, _)| most.moments.binary_search(moment).is_err());
            convicted.push(most);
        }
        release_explained(&mut convicted);
        let is_accounted_for = |moment: MomentKey| {
            let mut convicted = convicted.iter();
            convicted.any(|judged| judged.moments.binary_search(&moment).is_ok())
        };
        let on_trial = all.iter().filter(|judged| {
            let instances = judged.suspect.instances.iter();
            let open = instances.filter(|instance| {
                let moment = moment_of(**instance, &moments);
                moment.is_none_or(|moment| !is_accounted_for(moment))
            });
            open.count() >= CONVICTION_CRASHES
        });
        let on_trial = on_trial.map(|judged| judged.suspect.content).collect();
        let mut convicted: Vec<ContentKey> = convicted.iter().map(|judged| judged.suspect.content).collect();
        convicted.sort_unstable();
        CrashVerdicts { convicted, on_trial }
    }

    /// Returns the moments of all crashes, sorted by the server. A moment begins with the first crash after the one before.
    fn moments(&self) -> Vec<(InstanceKey, MomentKey)> {
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable_by_key(|crash| (crash.at_ms, crash.instance));
        let mut latest: Option<(u64, MomentKey)> = None;
        let moments = crashes.into_iter().map(|ServerCrash { instance, at_ms }| {
            let moment = match latest {
                Some((began_at_ms, moment)) if at_ms < began_at_ms + MOMENT_MS => moment,
                Some((_, MomentKey(number))) => MomentKey(number + 1),
                None => MomentKey(0),
            };
            if latest.is_none_or(|(_, before)| before != moment) {
                latest = Some((at_ms, moment));
            }
            (instance, moment)
        });
        let mut moments: Vec<(InstanceKey, MomentKey)> = moments.collect();
        moments.sort_unstable_by_key(|(instance, _)| *instance);
        moments
    }

    fn position_of(&self, content: ContentKey) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&content, |suspect| suspect.content)
    }
}

fn moment_of(instance: InstanceKey, moments: &[(InstanceKey, MomentKey)]) -> Option<MomentKey> {
    let found = moments.binary_search_by_key(&instance, |(instance, _)| *instance);
    found.ok().map(|index| moments[index].1)
}

/// Returns the moments at which servers crashed under a request, sorted.
fn moments_of(suspect: &CrashSuspect, moments: &[(InstanceKey, MomentKey)]) -> Vec<MomentKey> {
    let instances = suspect.instances.iter();
    let mut found: Vec<MomentKey> = instances
        .filter_map(|instance| moment_of(*instance, moments))
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

/// Returns the part of each moment that falls to one of the requests that were lost in it, sorted by the moment.
fn shares(judged: &[SuspectMoments<'_>]) -> Vec<(MomentKey, u64)> {
    let lost = judged.iter().flat_map(|judged| &judged.moments);
    let mut lost: Vec<MomentKey> = lost.copied().collect();
    lost.sort_unstable();
    let moments = lost.chunk_by(|left, right| left == right);
    moments
        .map(|moment| (moment[0], CRASH_SHARES / moment.len() as u64))
        .collect()
}
