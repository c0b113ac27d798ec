//! Backend servers that crash under a request, and requests that are refused because servers do.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use domain::{ContentKey, InstanceKey, RequestContent};
use ledger::{ContentScope, CrashReport, FactChange, FactReport, SuspectNotice};
use routing::BackendServer;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::state::{EntryState, lock};

/// Timeout for finding out whether a server still accepts connections. One that is only cut off does not refuse them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first lost run of a server in which the others are noticed: a crash ends all its connections at once.
const GATHERING_DELAY: Duration = Duration::from_millis(5);

/// Period after which the set of successes is renewed, in milliseconds. A success counts for one to two periods.
const SUCCESS_PERIOD_MS: u64 = 30_000;
/// Limit on the successes that are remembered in one period.
const MAX_SUCCESSES: usize = 20_000;

/// A request whose connection broke before its run was under way.
#[derive(Debug, Clone)]
pub(crate) struct LostRun {
    pub(crate) request: String,
    pub(crate) content: RequestContent,
}

impl LostRun {
    /// Returns the reports about the request, of which a short one has a single key.
    fn reports(&self, instance: InstanceKey) -> Vec<CrashReport> {
        let RequestContent { whole, leading } = self.content;
        let scopes = [(whole, ContentScope::Whole), (leading, ContentScope::Leading)];
        let scopes = scopes.into_iter().take(if whole == leading { 1 } else { 2 });
        let reports = scopes.map(|(content, scope)| CrashReport {
            content,
            scope,
            instance,
        });
        reports.collect()
    }
}

/// The lost runs of one server.
#[derive(Debug)]
struct LostServer {
    instance: InstanceKey,
    runs: Vec<LostRun>,
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
    /// Whether a ledger host has sent its notices since the start of the entry.
    is_informed: AtomicBool,
    successes: Mutex<SuccessSet>,
    /// Servers that are being investigated, sorted.
    lost: Mutex<Vec<LostServer>>,
}

impl CrashRegister {
    /// Replaces the notices of the ledger hosts. Returns the requests among them that servers have run to their end
    /// lately.
    pub(crate) fn set_notices(&self, notices: &[SuspectNotice], now_ms: u64) -> Vec<ContentKey> {
        self.notices.store(Arc::new(notices.to_vec()));
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
                let runs = vec![run];
                lost.insert(index, LostServer { instance, runs });
                true
            }
        }
    }

    fn take(&self, instance: InstanceKey) -> Vec<LostRun> {
        let mut lost = lock(&self.lost);
        let found = lost.binary_search_by_key(&instance, |server| server.instance);
        found.map_or_else(|_| Vec::new(), |index| lost.remove(index).runs)
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
            FactChange::Suspects(notices) => self.apply_suspects(notices),
            FactChange::Limits(reports) => self.apply_limits(reports),
        };
        self.ledger.follow_facts(apply).await;
    }

    fn apply_suspects(&self, notices: &[SuspectNotice]) {
        for notice in self.crashes.changed_verdicts(notices) {
            info!(self.log, "verdict on a request under which backend servers crash"; "content" => %notice.content,
                "scope" => ?notice.scope, "crashes" => notice.instances.len(), "refused" => notice.is_convicted);
        }
        let acquitted = self.crashes.set_notices(notices, self.now_ms());
        self.acquit(acquitted);
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
        let runs = entry.crashes.take(instance);
        if !has_crashed {
            return;
        }
        for run in &runs {
            if entry.line_limiter.try_acquire() {
                info!(entry.log, "backend server crashed under a request"; "request" => &run.request,
                    "content" => %run.content.whole, "leading" => %run.content.leading, "server" => &name, "address" => %address, "lost" => runs.len());
            }
        }
        let reports = runs.iter().flat_map(|run| run.reports(instance));
        let reports = reports.map(FactReport::Crash).collect();
        entry.ledger.report_facts(reports).await;
    });
}

/// Returns whether the host of a server refuses connections to it, as it does when the process has ended.
async fn is_crashed(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(failure)) if failure.kind() == ErrorKind::ConnectionRefused)
}
