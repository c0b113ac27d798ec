//! Backend servers that crash under a request, and requests that are refused because servers do.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use domain::{ContentKey, InstanceKey, RequestContent};
use errors::{CallError, ResultCode, RunState};
use ledger::{ContentScope, CrashReport, FactChange, FactReport, LossReport, PermitAnswer, SuspectNotice};
use routing::BackendServer;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::dispatch::Dispatcher;
use crate::state::{EntryState, lock};

/// Timeout for finding out whether a server still accepts connections. One that is only cut off does not refuse them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first lost run of a server in which the others are noticed: a crash ends all its connections at once.
const GATHERING_DELAY: Duration = Duration::from_millis(5);

/// Longest time over which callers return that were refused while another request is on trial, in milliseconds; and their
/// delay when no ledger host answers.
const TRIAL_RETURN_MS: u64 = 1_000;

/// Period after which the set of successes is renewed, in milliseconds. A success counts for one to two periods.
const SUCCESS_PERIOD_MS: u64 = 30_000;
/// Limit on the successes that are remembered in one period.
const MAX_SUCCESSES: usize = 20_000;

/// A request whose connection broke before its run was under way.
#[derive(Debug, Clone)]
pub(crate) struct LostRun {
    pub(crate) request: String,
    pub(crate) content: RequestContent,
    /// When it was handed to a connection.
    pub(crate) sent_at: Instant,
}

impl LostRun {
    /// Returns the reports about the request, of which a short one has a single key.
    fn reports(&self, instance: InstanceKey, lost_at: Instant) -> Vec<FactReport> {
        let lost_ms_ago = short_millis(lost_at.elapsed());
        let ran_ms = short_millis(lost_at.saturating_duration_since(self.sent_at));
        let RequestContent { whole, leading } = self.content;
        let scopes = [(whole, ContentScope::Whole), (leading, ContentScope::Leading)];
        let scopes = scopes.into_iter().take(if whole == leading { 1 } else { 2 });
        let reports = scopes.map(|(content, scope)| {
            FactReport::Loss(LossReport {
                crash: CrashReport {
                    content,
                    scope,
                    instance,
                },
                lost_ms_ago,
                ran_ms,
            })
        });
        reports.collect()
    }
}

/// The lost runs of one server.
#[derive(Debug)]
struct LostServer {
    instance: InstanceKey,
    runs: Vec<LostRun>,
    /// When the first of them was lost.
    lost_at: Instant,
}

/// Requests that servers have run to their end lately, in two sets: `newer` replaces `older` after a while.
#[derive(Debug, Default)]
struct SuccessSet {
    newer: HashSet<ContentKey>,
    older: HashSet<ContentKey>,
    began_at_ms: u64,
}

impl SuccessSet {
    fn add(&mut self, content: ContentKey, now_ms: u64) {
        self.expire(now_ms);
        if self.newer.len() < MAX_SUCCESSES {
            self.newer.insert(content);
        }
    }

    fn contains(&mut self, content: ContentKey, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.newer.contains(&content) || self.older.contains(&content)
    }

    fn expire(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.began_at_ms) >= SUCCESS_PERIOD_MS {
            self.older = std::mem::take(&mut self.newer);
            self.began_at_ms = now_ms;
        }
    }
}

/// What an entry knows of requests under which servers have crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashRegister {
    /// Notices of the ledger hosts, sorted by the content of the request.
    notices: ArcSwap<Vec<SuspectNotice>>,
    /// Requests that are sent to one server at a time, sorted.
    on_trial: ArcSwap<Vec<ContentKey>>,
    /// Whether a ledger host has sent its notices since the start of the entry.
    is_informed: AtomicBool,
    successes: Mutex<SuccessSet>,
    /// Servers that are being investigated, sorted.
    lost: Mutex<Vec<LostServer>>,
}

impl CrashRegister {
    /// Replaces the notices of the ledger hosts. Returns the requests among them that servers have run to their end
    /// lately.
    pub(crate) fn set_notices(
        &self,
        notices: &[SuspectNotice],
        on_trial: &[ContentKey],
        now_ms: u64,
    ) -> Vec<ContentKey> {
        self.notices.store(Arc::new(notices.to_vec()));
        self.on_trial.store(Arc::new(on_trial.to_vec()));
        self.is_informed.store(true, Ordering::Release);
        let mut successes = lock(&self.successes);
        let contents = notices.iter().map(|notice| notice.content);
        contents
            .filter(|content| successes.contains(*content, now_ms))
            .collect()
    }

    /// Returns the notices whose verdicts differ from those that are in force.
    pub(crate) fn changed_verdicts<'a>(&self, notices: &'a [SuspectNotice]) -> Vec<&'a SuspectNotice> {
        let present = self.notices.load();
        let was_convicted = |content| find(&present, content).is_some_and(|notice| notice.is_convicted);
        let changed = notices
            .iter()
            .filter(|notice| notice.is_convicted != was_convicted(notice.content));
        changed.collect()
    }

    /// Returns whether a ledger host has sent its notices since the start of the entry.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::Acquire)
    }

    /// Returns whether servers crash under the request, and none has run one like it to its end lately.
    pub(crate) fn is_convicted(&self, content: RequestContent, now_ms: u64) -> bool {
        let notices = self.notices.load();
        if notices.is_empty() {
            return false;
        }
        let is_convicted = |content: &ContentKey| {
            let notice = find(&notices, *content);
            notice.is_some_and(|notice| notice.is_convicted)
                && !lock(&self.successes).contains(*content, now_ms)
        };
        content.keys().iter().any(is_convicted)
    }

    /// Returns the key under which a request is on trial; `None` if it is not, or if a server has run one like it to its end
    /// lately.
    fn trial(&self, content: RequestContent, now_ms: u64) -> Option<ContentKey> {
        let on_trial = self.on_trial.load();
        if on_trial.is_empty() {
            return None;
        }
        let is_on_trial = |content: &ContentKey| {
            on_trial.binary_search(content).is_ok() && !lock(&self.successes).contains(*content, now_ms)
        };
        content.keys().into_iter().find(is_on_trial)
    }

    /// Records that a server has run a request to its end. Returns its keys under which others have crashed.
    pub(crate) fn record_success(&self, content: RequestContent, now_ms: u64) -> Vec<ContentKey> {
        let mut successes = lock(&self.successes);
        for key in content.keys() {
            successes.add(key, now_ms);
        }
        let notices = self.notices.load();
        let keys = content.keys().into_iter();
        keys.filter(|key| find(&notices, *key).is_some()).collect()
    }

    /// Adds a lost run. Returns whether it is the first one of its server.
    fn add(&self, instance: InstanceKey, run: LostRun) -> bool {
        let mut lost = lock(&self.lost);
        match lost.binary_search_by_key(&instance, |server| server.instance) {
            Ok(index) => {
                lost[index].runs.push(run);
                false
            }
            Err(index) => {
                let server = LostServer {
                    instance,
                    runs: vec![run],
                    lost_at: Instant::now(),
                };
                lost.insert(index, server);
                true
            }
        }
    }

    fn take(&self, instance: InstanceKey) -> Option<LostServer> {
        let mut lost = lock(&self.lost);
        let found = lost.binary_search_by_key(&instance, |server| server.instance);
        found.ok().map(|index| lost.remove(index))
    }
}

fn find(notices: &[SuspectNotice], content: ContentKey) -> Option<&SuspectNotice> {
    let found = notices.binary_search_by_key(&content, |notice| notice.content);
    found.ok().map(|index| &notices[index])
}

impl EntryState {
    /// Returns whether servers crash under a request, so that no other one may get it.
    pub(crate) fn is_convicted(&self, content: RequestContent) -> bool {
        self.crashes.is_convicted(content, self.now_ms())
    }

    /// Records that a server has run a request to its end.
    pub(crate) fn record_success(&self, content: RequestContent) {
        let acquitted = self.crashes.record_success(content, self.now_ms());
        self.acquit(acquitted);
    }

    /// Reports requests that servers have run to their end, although others have crashed under them.
    fn acquit(&self, contents: Vec<ContentKey>) {
        if contents.is_empty() {
            return;
        }
        for content in &contents {
            info!(self.log, "request under which servers crashed has been run to its end"; "content" => %content);
        }
        let ledger = self.ledger.clone();
        let reports = contents.into_iter().map(FactReport::Acquittal).collect();
        tokio::spawn(async move { ledger.report_facts(reports).await });
    }

    /// Follows the facts that entries tell one another; never returns.
    pub async fn follow_facts(&self) {
        let apply = |change: FactChange<'_>| match change {
            FactChange::Suspects { notices, on_trial } => self.apply_suspects(notices, on_trial),
            FactChange::Limits(reports) => self.apply_limits(reports),
        };
        self.ledger.follow_facts(apply).await;
    }

    fn apply_suspects(&self, notices: &[SuspectNotice], on_trial: &[ContentKey]) {
        for notice in self.crashes.changed_verdicts(notices) {
            info!(self.log, "verdict on a request under which backend servers crash"; "content" => %notice.content,
                "scope" => ?notice.scope, "crashes" => notice.instances.len(), "refused" => notice.is_convicted);
        }
        let begins = on_trial
            .iter()
            .filter(|content| self.crashes.on_trial.load().binary_search(content).is_err());
        for content in begins {
            let crashes = find(notices, *content).map(|notice| notice.instances.len());
            info!(self.log, "request on trial, backend servers crashed under it together"; "content" => %content,
                "crashes" => crashes);
        }
        let acquitted = self.crashes.set_notices(notices, on_trial, self.now_ms());
        self.acquit(acquitted);
    }
}

impl Dispatcher {
    /// Obtains the permit to send a request that is on trial, unless it has one that no attempt has used.
    ///
    /// # Errors
    ///
    /// Fails when another one like it is being tried, or no ledger host that judges the crashes answers.
    pub(crate) async fn stand_trial(&mut self) -> Result<(), CallError> {
        let Some(content) = self.entry.crashes.trial(self.plan.content, self.entry.now_ms()) else {
            return Ok(());
        };
        if self.may_stand_trial {
            return Ok(());
        }
        let answer = self.entry.ledger.request_trial(content).await;
        let (label, wait_ms) = match answer {
            Some(PermitAnswer::Granted { .. }) => ("granted", None),
            Some(PermitAnswer::Lifted) => ("lifted", None),
            Some(PermitAnswer::Refused { wait_ms }) => ("refused", Some(wait_ms)),
            Some(PermitAnswer::Unavailable) | None => ("unanswered", Some(TRIAL_RETURN_MS)),
        };
        self.entry.metrics.trials.with_label_values(&[label]).inc();
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "permit for a request on trial"; "request" => &self.plan.attempt_id,
                "content" => %content, "outcome" => label, "wait_ms" => wait_ms);
        }
        let Some(wait_ms) = wait_ms else {
            self.may_stand_trial = true;
            return Ok(());
        };
        let error = self
            .give_up("backend servers crashed under requests like this one, and another one is tried first");
        if error.run != RunState::NotRun {
            return Err(error);
        }
        // Callers that were refused together do not return together.
        let retry_after_ms = wait_ms + rand::random_range(0..=TRIAL_RETURN_MS);
        Err(CallError::not_run(ResultCode::ServersCrash, error.message).with_retry_after_ms(retry_after_ms))
    }
}

/// Finds out in the background whether a server has crashed, and reports the runs that were lost with it.
pub(crate) fn investigate(entry: &Arc<EntryState>, server: &BackendServer, run: LostRun) {
    let (instance, address) = (server.instance(), server.address);
    if !entry.crashes.add(instance, run) {
        return;
    }
    let name = server.name.clone();
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        sleep(GATHERING_DELAY).await;
        let has_crashed = is_crashed(address).await;
        let lost = entry.crashes.take(instance).filter(|_| has_crashed);
        let Some(LostServer { runs, lost_at, .. }) = lost else {
            return;
        };
        for run in &runs {
            if entry.line_limiter.try_acquire() {
                info!(entry.log, "backend server crashed under a request"; "request" => &run.request,
                    "content" => %run.content.whole, "leading" => %run.content.leading, "server" => &name, "address" => %address,
                    "lost" => runs.len(), "ran_ms" => lost_at.saturating_duration_since(run.sent_at).as_millis());
            }
        }
        let reports = runs.iter().flat_map(|run| run.reports(instance, lost_at));
        entry.ledger.report_facts(reports.collect()).await;
    });
}

/// Returns whether the host of a server refuses connections to it, as it does when the process has ended.
async fn is_crashed(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(failure)) if failure.kind() == ErrorKind::ConnectionRefused)
}

/// Returns a time in milliseconds as crash reports state it.
fn short_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
