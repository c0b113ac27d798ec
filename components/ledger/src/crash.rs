//! Requests under which backend servers crash.
//!
//! Load pattern: one request crashes each server that begins to run it, and comes again and again at any entry. A server that
//! crashes takes tens of other requests with it, which come again, too, and may be lost a second and a third time.
//! Other causes, such as the loss of a failure domain, crash many servers at one moment, with all that they run.
//!
//! Crashes under a request at one moment may have one cause, and count as one, unless the request was sent to the later
//! server after the earlier one had crashed. Each crash is shared evenly among the requests that were lost with the server.
//! The one with the largest shares is convicted first, and the servers that it has crashed count against nobody else. A
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
/// Shortest time between two crashes of one moment of which the later one may come from sending the request again, in
/// milliseconds: longer than servers that crash together take for it.
const SEQUENCE_GAP_MS: u64 = 20;
/// Largest difference between the delays of two reports, in milliseconds.
const REPORT_SKEW_MS: u64 = 10;
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
    pub lost_ms_ago: u32,
    /// Time from the sending of the request to its loss, in milliseconds.
    pub ran_ms: u32,
}

impl LossReport {
    /// Returns the report of a crash that has just been noticed, under a request of which it is not known when it was sent.
    pub const fn just_now(crash: CrashReport) -> Self {
        Self {
            crash,
            lost_ms_ago: 0,
            ran_ms: u32::MAX,
        }
    }
}

/// A server that has crashed, with the earliest time of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerCrash {
    instance: InstanceKey,
    at_ms: u64,
}

/// A run that was lost with its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LostRun {
    instance: InstanceKey,
    /// When the request was sent to the server, the earliest one if it was several times.
    began_ms: u64,
}

/// A request under which servers have crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashSuspect {
    content: ContentKey,
    scope: ContentScope,
    /// Runs by the server that crashed, sorted.
    runs: Vec<LostRun>,
    /// Time of the latest crash.
    latest_ms: u64,
    trial: TrialPace,
}

impl CrashSuspect {
    fn instances(&self) -> impl Iterator<Item = InstanceKey> {
        self.runs.iter().map(|run| run.instance)
    }

    fn has_crashed(&self, instance: InstanceKey) -> bool {
        self.runs
            .binary_search_by_key(&instance, |run| run.instance)
            .is_ok()
    }
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

/// Crashes of servers that nobody accounts for yet, sorted by the server, each with its time and with the part of it that
/// falls to each request that was lost with the server.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OpenCrashes(Vec<(ServerCrash, u64)>);

impl OpenCrashes {
    fn find(&self, instance: InstanceKey) -> Option<(ServerCrash, u64)> {
        let found = self
            .0
            .binary_search_by_key(&instance, |(crash, _)| crash.instance);
        found.ok().map(|index| self.0[index])
    }

    /// Removes the crashes for which a request accounts.
    fn remove(&mut self, suspect: &CrashSuspect) {
        self.0.retain(|(crash, _)| !suspect.has_crashed(crash.instance));
    }

    /// Returns the number of open crashes under a request.
    fn count(&self, suspect: &CrashSuspect) -> usize {
        let found = suspect
            .instances()
            .filter(|instance| self.find(*instance).is_some());
        found.count()
    }

    /// Returns the largest share of each moment at which servers crashed under a request.
    fn moments(&self, suspect: &CrashSuspect) -> Vec<u64> {
        let found = suspect.runs.iter().filter_map(|run| {
            let (crash, share) = self.find(run.instance)?;
            Some((crash.at_ms, run.began_ms, share))
        });
        let mut found: Vec<(u64, u64, u64)> = found.collect();
        found.sort_unstable();
        let mut moments: Vec<u64> = Vec::new();
        let (mut moment_ms, mut before_ms) = (0, 0);
        for (at_ms, began_ms, share) in found {
            let is_sent_again =
                began_ms + REPORT_SKEW_MS >= before_ms && at_ms >= before_ms + SEQUENCE_GAP_MS;
            before_ms = at_ms;
            match moments.last_mut() {
                Some(latest) if at_ms < moment_ms + MOMENT_MS && !is_sent_again => {
                    *latest = share.max(*latest);
                }
                _ => {
                    moments.push(share);
                    moment_ms = at_ms;
                }
            }
        }
        moments
    }
}

/// Releases those for whose crashes the other convicted ones account, the one with the fewest crashes first.
fn release_explained(convicted: &mut Vec<&CrashSuspect>, crashes: &OpenCrashes) {
    convicted.sort_by_key(|suspect| (suspect.runs.len(), suspect.scope));
    let mut index = 0;
    while index < convicted.len() {
        let mut open = crashes.clone();
        for (other, suspect) in convicted.iter().enumerate() {
            if other != index {
                open.remove(suspect);
            }
        }
        if open.moments(convicted[index]).len() < CONVICTION_CRASHES {
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
    fn of(suspect: &CrashSuspect, open: &OpenCrashes) -> Self {
        let moments = open.moments(suspect);
        Self {
            share: moments.iter().sum(),
            scope: suspect.scope,
            crashes: moments.len(),
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

/// What entries are told beside the notices of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashDetails {
    /// Requests that are sent to one server at a time, sorted.
    pub on_trial: Vec<ContentKey>,
    /// The crashes that the notices name, sorted by the content and the server.
    pub losses: Vec<LossReport>,
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
            self.add(*report, now_ms.saturating_sub(u64::from(report.lost_ms_ago)));
        }
        self.prune(now_ms);
    }

    fn add(&mut self, report: LossReport, at_ms: u64) {
        let CrashReport {
            content,
            scope,
            instance,
        } = report.crash;
        let began_ms = at_ms.saturating_sub(u64::from(report.ran_ms));
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
                runs: Vec::new(),
                latest_ms: at_ms,
                trial: TrialPace::default(),
            };
            self.suspects.insert(index, suspect);
            index
        });
        let suspect = &mut self.suspects[index];
        suspect.latest_ms = suspect.latest_ms.max(at_ms);
        match suspect.runs.binary_search_by_key(&instance, |run| run.instance) {
            Ok(position) => {
                let run = &mut suspect.runs[position];
                run.began_ms = run.began_ms.min(began_ms);
            }
            Err(position) if suspect.runs.len() < MAX_CRASHES => {
                suspect.runs.insert(position, LostRun { instance, began_ms });
                suspect.trial = TrialPace {
                    next_ms: suspect.latest_ms + TRIAL_INTERVAL_MS,
                    attempts: 0,
                };
            }
            Err(_) => {}
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
        let notified = self.suspects.iter();
        let notified = notified.filter(|suspect| suspect.runs.len() >= SUSPICION_CRASHES);
        let losses = notified.flat_map(|suspect| {
            suspect.runs.iter().map(move |run| {
                let at_ms = self.crash_of(run.instance).map_or(now_ms, |crash| crash.at_ms);
                LossReport {
                    crash: CrashReport {
                        content: suspect.content,
                        scope: suspect.scope,
                        instance: run.instance,
                    },
                    lost_ms_ago: short_millis(now_ms.saturating_sub(at_ms)),
                    ran_ms: short_millis(at_ms.saturating_sub(run.began_ms)),
                }
            })
        });
        CrashDetails {
            on_trial: self.on_trial.clone(),
            losses: losses.collect(),
        }
    }

    fn crash_of(&self, instance: InstanceKey) -> Option<ServerCrash> {
        let found = self
            .crashes
            .binary_search_by_key(&instance, |crash| crash.instance);
        found.ok().map(|index| self.crashes[index])
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
        self.suspects.iter().flat_map(CrashSuspect::instances)
    }

    /// Judges all requests anew.
    fn judge(&mut self) {
        let CrashVerdicts { convicted, on_trial } = self.verdicts();
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|suspect| suspect.runs.len() >= SUSPICION_CRASHES);
        let notices: Vec<SuspectNotice> = suspects
            .map(|suspect| SuspectNotice {
                content: suspect.content,
                scope: suspect.scope,
                instances: suspect.instances().collect(),
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
        let is_candidate = |suspect: &&CrashSuspect| suspect.runs.len() >= CONVICTION_CRASHES;
        let all: Vec<&CrashSuspect> = self.suspects.iter().filter(is_candidate).collect();
        if all.is_empty() {
            return CrashVerdicts::default();
        }
        let crashes = self.open_crashes();
        let mut open = crashes.clone();
        let mut candidates = all.clone();
        let mut convicted: Vec<&CrashSuspect> = Vec::new();
        loop {
            let blames = candidates.iter().map(|suspect| Blame::of(suspect, &open));
            let guilty = blames
                .enumerate()
                .filter(|(_, blame)| blame.crashes >= CONVICTION_CRASHES);
            let Some((index, _)) = guilty.max_by_key(|(_, blame)| *blame) else {
                break;
            };
            let most = candidates.remove(index);
            open.remove(most);
            convicted.push(most);
        }
        release_explained(&mut convicted, &crashes);
        let mut open = crashes;
        for suspect in &convicted {
            open.remove(suspect);
        }
        let on_trial = all
            .into_iter()
            .filter(|suspect| open.count(suspect) >= CONVICTION_CRASHES);
        let on_trial = on_trial.map(|suspect| suspect.content).collect();
        let mut convicted: Vec<ContentKey> = convicted.iter().map(|suspect| suspect.content).collect();
        convicted.sort_unstable();
        CrashVerdicts { convicted, on_trial }
    }

    /// Returns all crashes with the part that falls to each of the requests that were lost with the server.
    fn open_crashes(&self) -> OpenCrashes {
        let mut lost: Vec<InstanceKey> = self.lost_instances().collect();
        lost.sort_unstable();
        let crashes = lost.chunk_by(|left, right| left == right);
        let crashes = crashes.filter_map(|crash| {
            let found = self.crash_of(crash[0])?;
            Some((found, CRASH_SHARES / crash.len() as u64))
        });
        OpenCrashes(crashes.collect())
    }

    fn position_of(&self, content: ContentKey) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&content, |suspect| suspect.content)
    }
}

/// Returns a time in milliseconds as the reports state it.
fn short_millis(time_ms: u64) -> u32 {
    u32::try_from(time_ms).unwrap_or(u32::MAX)
}
