//! An entry's calls for the facts that entries tell one another.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use crate::client::LedgerClient;
use crate::crash::{CrashReport, LossReport, SuspectNotice};
use crate::fact::{FactChange, FactReport, KnownFacts};
use crate::notice::NoticeVersion;

/// Longest time for which a host waits for a change before it answers. A connection that has gone silent is noticed
/// only after it.
const FACT_WAIT: Duration = Duration::from_secs(1);
/// Time after which an entry follows the next host. It brings hosts that have started anew, or have missed a report, up
/// to date.
const FOLLOW_PERIOD: Duration = Duration::from_secs(2);
/// Delay before another host is asked after one has not answered.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What an entry knows of the hosts that it follows in turn.
#[derive(Debug, Default)]
struct FollowState {
    /// The host that is followed.
    host: Option<String>,
    /// Suspects as the followed host stated them last.
    suspects: Option<NoticeVersion>,
    /// Limits of each host, so that none is sent again when it is followed again.
    limits: Vec<(String, NoticeVersion)>,
}

impl FollowState {
    /// Returns what is known of a host. Its suspects count as unknown when it was not followed before, since they may
    /// lack some that others have.
    fn known(&mut self, host: &str) -> KnownFacts {
        if self.host.as_deref() != Some(host) {
            self.suspects = None;
            self.host = Some(host.to_owned());
        }
        let limits = self.limits.iter().find(|(known, _)| known == host);
        KnownFacts {
            suspects: self.suspects,
            limits: limits.map(|(_, version)| *version),
        }
    }

    fn record_limits(&mut self, host: &str, version: NoticeVersion) {
        self.limits.retain(|(known, _)| known != host);
        self.limits.push((host.to_owned(), version));
    }
}

impl LedgerClient {
    /// Reports facts to the hosts that keep them for the other entries.
    pub async fn report_facts(&self, reports: Vec<FactReport>) {
        let hosts = self.notice_hosts();
        join_all(hosts.iter().map(|host| host.report_facts(reports.clone()))).await;
    }

    /// Follows the facts that other entries have reported, and passes each change on; never returns. Each host is told
    /// the crashes that it lacks.
    pub async fn follow_facts(&self, mut apply: impl FnMut(FactChange<'_>)) {
        let mut state = FollowState::default();
        let mut suspects = KnownSuspects::default();
        let mut turn = rand::random::<u32>() as usize;
        let mut followed_since = Instant::now();
        loop {
            if followed_since.elapsed() >= FOLLOW_PERIOD {
                followed_since = Instant::now();
                turn = turn.wrapping_add(1);
            }
            let hosts = self.notice_hosts();
            let Some(host) = hosts.get(turn % hosts.len().max(1)) else {
                sleep(HOST_RETRY_DELAY).await;
                continue;
            };
            let known = state.known(&host.peer.name);
            let Some(answer) = host.wait_for_facts(known, FACT_WAIT).await else {
                state.suspects = None;
                turn = turn.wrapping_add(1);
                sleep(HOST_RETRY_DELAY).await;
                continue;
            };
            let Some(page) = answer else { continue };
            if let Some(limits) = page.limits {
                state.record_limits(&host.peer.name, limits.version);
                apply(FactChange::Limits(&limits.reports));
            }
            let Some(page) = page.suspects else { continue };
            let Some(details) = host.fetch_crash_details().await else {
                state.suspects = None;
                turn = turn.wrapping_add(1);
                sleep(HOST_RETRY_DELAY).await;
                continue;
            };
            let has_started = known
                .suspects
                .is_none_or(|known| known.epoch != page.version.epoch);
            state.suspects = Some(page.version);
            if has_started {
                let missing = suspects.missing_at(&page.notices);
                if !missing.is_empty() && host.report_facts(missing).await {
                    // The next answer has the crashes of both.
                    continue;
                }
            }
            suspects.replace(page.notices, details.losses);
            apply(FactChange::Suspects {
                notices: &suspects.notices,
                on_trial: &details.on_trial,
            });
        }
    }
}

/// What an entry has received last of crashes, so that it can tell a host that starts anew.
#[derive(Debug, Default)]
struct KnownSuspects {
    notices: Vec<SuspectNotice>,
    losses: Vec<LossReport>,
    received: Option<Instant>,
}

impl KnownSuspects {
    fn replace(&mut self, notices: Vec<SuspectNotice>, losses: Vec<LossReport>) {
        self.notices = notices;
        self.losses = losses;
        self.received = Some(Instant::now());
    }

    /// Returns the crashes that the notices of another host lack.
    fn missing_at(&self, other: &[SuspectNotice]) -> Vec<FactReport> {
        let known_for = self
            .received
            .map_or(Duration::ZERO, |received| received.elapsed());
        let known_for = u32::try_from(known_for.as_millis()).unwrap_or(u32::MAX);
        let missing = self.losses.iter().filter(|loss| {
            let CrashReport {
                content, instance, ..
            } = loss.crash;
            let found = other.binary_search_by_key(&content, |notice| notice.content);
            !found.is_ok_and(|index| other[index].instances.binary_search(&instance).is_ok())
        });
        let reports = missing.map(|loss| {
            FactReport::Loss(LossReport {
                lost_ms_ago: loss.lost_ms_ago.saturating_add(known_for),
                ..*loss
            })
        });
        reports.collect()
    }
}
