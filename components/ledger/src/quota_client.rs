//! An entry's calls for the permits of workspaces.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use domain::{RequestQuota, WorkspaceKey};
use tokio::time::Instant;

use crate::client::LedgerClient;
use crate::link::HostLink;
use crate::permit::{PermitAnswer, PermitAsk, PermitKey};
use crate::quota::{PERMIT_VALIDITY_MS, PermitTerms, QuotaClass, QuotaRequest, QuotaShares};

/// Limit on the hosts whose next permits are remembered for all workspaces together; beyond it those in the past go.
const MAX_BOOK_ROWS: usize = 4_096;

/// A request that needs the permit of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaDemand {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Its quota.
    pub quota: RequestQuota,
    /// Version of the configuration that has the quota.
    pub version: u64,
    /// Class of the request.
    pub class: QuotaClass,
    /// Longest time for which it waits for its permit, in milliseconds.
    pub max_wait_ms: u64,
}

/// Answer to a [`QuotaDemand`].
#[derive(Debug)]
pub enum QuotaAnswer {
    /// The request may be sent.
    Granted(HeldPermit),
    /// The quota is used up.
    Refused {
        /// Time until the first host has a permit again, in milliseconds.
        wait_ms: u64,
        /// The host that named it.
        host: String,
    },
    /// No host that hands out the workspace's permits answers.
    Unreachable,
}

/// A permit, shared by those that may use it. It goes back to its host when all of them have dropped it unused.
#[derive(Debug)]
struct PermitState {
    workspace: WorkspaceKey,
    host: Arc<HostLink>,
    client: LedgerClient,
    is_used: AtomicBool,
}

impl Drop for PermitState {
    fn drop(&mut self) {
        if *self.is_used.get_mut() {
            return;
        }
        let (workspace, host, client) = (self.workspace, Arc::clone(&self.host), self.client.clone());
        // Without a runtime the process is about to end.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                host.give_back(PermitKey::Workspace(workspace)).await;
                // What the host has said of its next permit does not hold any more.
                client.quota_book().forget(workspace, &host.peer.name);
            });
        }
    }
}

/// The permit to send one request. It goes back to its host when it and its marks are dropped unused.
#[derive(Debug)]
pub struct HeldPermit {
    state: Arc<PermitState>,
    /// When it may be used.
    due: Instant,
    expires: Instant,
}

impl HeldPermit {
    /// Returns when the permit may be used.
    pub const fn due(&self) -> Instant {
        self.due
    }

    /// Returns whether the permit has expired, so that another one is needed.
    pub fn is_expired(&self) -> bool {
        Instant::now() > self.expires
    }

    /// Returns whether the permit is used: a request that was sent with it may run.
    pub fn is_used(&self) -> bool {
        self.state.is_used.load(Ordering::Acquire)
    }

    /// Uses the permit.
    pub fn use_up(self) {
        self.state.is_used.store(true, Ordering::Release);
    }

    /// Makes the permit unused again, as the request that was sent with it has not run and never will.
    pub fn restore(&self) {
        self.state.is_used.store(false, Ordering::Release);
    }

    /// Returns a mark for the task that sends the request.
    pub fn mark(&self) -> PermitMark {
        PermitMark {
            state: Arc::clone(&self.state),
            is_set: AtomicBool::new(false),
        }
    }
}

/// Uses a permit from the task that sends its request, which may outlive the one that waits for the answer.
#[derive(Debug)]
pub struct PermitMark {
    state: Arc<PermitState>,
    is_set: AtomicBool,
}

impl PermitMark {
    /// Uses the permit, in the first call only.
    pub fn use_up(&self) {
        if !self.is_set.swap(true, Ordering::AcqRel) {
            self.state.is_used.store(true, Ordering::Release);
        }
    }
}

/// What a host has answered.
enum HostAnswer {
    Granted(HeldPermit),
    /// There is no permit for this time in milliseconds.
    Refused(u64),
}

/// What a host has said of the next permit of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
struct BookRow {
    workspace: WorkspaceKey,
    class: QuotaClass,
    host: String,
    version: u64,
    is_degraded: bool,
    next: Instant,
}

impl BookRow {
    fn place(&self) -> (WorkspaceKey, QuotaClass, &str) {
        (self.workspace, self.class, &self.host)
    }
}

/// What the hosts have said of the next permits of workspaces, sorted by workspace, class and host. A request that would be
/// refused costs no message.
#[derive(Debug, Default)]
pub(crate) struct QuotaBook {
    rows: Vec<BookRow>,
}

impl QuotaBook {
    /// Returns the time until a host's next permit for a request in milliseconds; 0 if that is unknown.
    fn wait_ms(&self, demand: QuotaDemand, host: &str, is_degraded: bool, now: Instant) -> u64 {
        // What is refused to a program that is under way is refused to a new one, too.
        let classes = [QuotaClass::New, QuotaClass::UnderWay].into_iter();
        let waits = classes.filter(|class| *class >= demand.class).map(|class| {
            let place = (demand.workspace, class, host);
            let Ok(index) = self.rows.binary_search_by(|row| row.place().cmp(&place)) else {
                return 0;
            };
            let row = &self.rows[index];
            if row.version < demand.version || row.is_degraded != is_degraded {
                return 0;
            }
            let left = row.next.saturating_duration_since(now).as_millis();
            u64::try_from(left).unwrap_or(u64::MAX)
        });
        waits.max().unwrap_or_default()
    }

    fn forget(&mut self, workspace: WorkspaceKey, host: &str) {
        self.rows
            .retain(|row| row.workspace != workspace || row.host != host);
    }

    fn record(&mut self, row: BookRow, now: Instant) {
        if self.rows.len() >= MAX_BOOK_ROWS {
            self.rows.retain(|row| row.next > now);
        }
        match self
            .rows
            .binary_search_by(|known| known.place().cmp(&row.place()))
        {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }
}

/// The hosts that may be asked for a permit, in their order, and their terms.
struct AskedHosts {
    hosts: Vec<Arc<HostLink>>,
    even: PermitTerms,
    most: PermitTerms,
    is_degraded: bool,
}

/// Terms on which a host is asked for a permit.
#[derive(Debug, Clone, Copy)]
struct AskedTerms {
    even: PermitTerms,
    most: PermitTerms,
    is_degraded: bool,
}

impl AskedHosts {
    const fn terms(&self) -> AskedTerms {
        AskedTerms {
            even: self.even,
            most: self.most,
            is_degraded: self.is_degraded,
        }
    }
}

impl LedgerClient {
    /// Returns the time in milliseconds until a request can get the permit of its workspace, if all hosts that hand them
    /// out have refused others until then and the request does not wait for so long.
    pub fn known_quota_wait_ms(&self, demand: QuotaDemand) -> Option<u64> {
        let asked = self.asked_hosts(demand);
        let now = Instant::now();
        let book = self.quota_book();
        let hosts = asked.hosts.iter().filter(|host| !host.is_away());
        let waits = hosts.map(|host| book.wait_ms(demand, &host.peer.name, asked.is_degraded, now));
        waits.min().filter(|wait_ms| *wait_ms > demand.max_wait_ms)
    }

    /// Asks for the permit to send one request of a workspace.
    pub async fn request_quota(&self, demand: QuotaDemand) -> QuotaAnswer {
        let mut asked = self.asked_hosts(demand);
        let mut refused: Option<(u64, String)> = None;
        for host in std::mem::take(&mut asked.hosts) {
            let known_ms =
                self.quota_book()
                    .wait_ms(demand, &host.peer.name, asked.is_degraded, Instant::now());
            let wait_ms = if known_ms > demand.max_wait_ms {
                known_ms
            } else {
                // The task goes on when the caller is cancelled, so that a permit which is on its way then goes back.
                let asking = tokio::spawn(self.clone().ask_host(Arc::clone(&host), demand, asked.terms()));
                match asking.await.ok().flatten() {
                    Some(HostAnswer::Granted(permit)) => return QuotaAnswer::Granted(permit),
                    Some(HostAnswer::Refused(wait_ms)) => wait_ms,
                    None => {
                        asked.is_degraded = true;
                        continue;
                    }
                }
            };
            if refused.as_ref().is_none_or(|(least_ms, _)| wait_ms < *least_ms) {
                refused = Some((wait_ms, host.peer.name.clone()));
            }
        }
        refused.map_or(QuotaAnswer::Unreachable, |(wait_ms, host)| QuotaAnswer::Refused {
            wait_ms,
            host,
        })
    }

    /// Asks one host; `None` if it does not answer.
    async fn ask_host(
        self,
        host: Arc<HostLink>,
        demand: QuotaDemand,
        terms: AskedTerms,
    ) -> Option<HostAnswer> {
        let request = QuotaRequest {
            workspace: demand.workspace,
            version: demand.version,
            even: terms.even,
            most: terms.most,
            is_degraded: terms.is_degraded,
            class: demand.class,
            max_wait_ms: demand.max_wait_ms,
        };
        let asked_at = Instant::now();
        let answer = host.request_permit(PermitAsk::Workspace(request)).await;
        let answered_at = Instant::now();
        let (next_ms, granted_ms) = match answer {
            Some(PermitAnswer::Granted {
                wait_ms,
                next_wait_ms,
            }) => (next_wait_ms, Some(wait_ms)),
            Some(PermitAnswer::Refused { wait_ms }) => (wait_ms, None),
            Some(PermitAnswer::Lifted | PermitAnswer::Unavailable) | None => return None,
        };
        let row = BookRow {
            workspace: demand.workspace,
            class: demand.class,
            host: host.peer.name.clone(),
            version: demand.version,
            is_degraded: terms.is_degraded,
            next: answered_at + Duration::from_millis(next_ms),
        };
        self.quota_book().record(row, answered_at);
        let Some(wait_ms) = granted_ms else {
            return Some(HostAnswer::Refused(next_ms));
        };
        let wait = Duration::from_millis(wait_ms);
        Some(HostAnswer::Granted(HeldPermit {
            state: Arc::new(PermitState {
                workspace: demand.workspace,
                host,
                client: self,
                is_used: AtomicBool::new(false),
            }),
            due: answered_at + wait,
            // From the time of the question on: the process may have stood still before it read the answer.
            expires: asked_at + wait + Duration::from_millis(PERMIT_VALIDITY_MS),
        }))
    }

    /// Returns the hosts that may be asked for a permit.
    fn asked_hosts(&self, demand: QuotaDemand) -> AskedHosts {
        let count = self.quota_host_count();
        let mut hosts = self.permit_hosts(demand.workspace.0);
        hosts.truncate(count);
        match QuotaShares::new(demand.quota, self.quota_bounds(), count) {
            QuotaShares::Single(terms) => {
                hosts.truncate(1);
                AskedHosts {
                    hosts,
                    even: terms,
                    most: terms,
                    is_degraded: false,
                }
            }
            QuotaShares::Split { even, most } => {
                let is_degraded = hosts.len() < count || hosts.iter().any(|host| host.is_away());
                if !hosts.is_empty() {
                    let start = rand::random_range(0..hosts.len());
                    hosts.rotate_left(start);
                }
                AskedHosts {
                    hosts,
                    even,
                    most,
                    is_degraded,
                }
            }
        }
    }
}
