//! An entry's calls for the facts that entries tell one another.

use std::time::{Duration, Instant};

use domain::InstanceKey;
use futures::future::join_all;
use tokio::time::sleep;

use crate::client::LedgerClient;
use crate::crash::{CrashDetails, CrashReport, LossReport, SuspectNotice};
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
            suspects.replace(page.notices, &details);
            apply(FactChange::Suspects {
                notices: &suspects.notices,
                on_trial: &details.on_trial,
            });
        }
    }
}

/// The notices that an entry has received last, with the times of the crashes, so that it can tell a host that starts anew.
#[derive(Debug, Default)]
struct KnownSuspects {
    notices: Vec<SuspectNotice>,
    /// When servers crashed, sorted by the server.
    crashes: Vec<(InstanceKey, Instant)>,
}

impl KnownSuspects {
    fn replace(&mut self, notices: Vec<SuspectNotice>, details: &CrashDetails) {
        self.notices = notices;
        let now = Instant::now();
        let crashes = details.crashes.iter().filter_map(|crash| {
            let at = now.checked_sub(Duration::from_millis(crash.ms_ago))?;
            Some((crash.instance, at))
        });
        self.crashes = crashes.collect();
    }

    /// Returns the crashes that the notices of another host lack.
    fn missing_at(&self, other: &[SuspectNotice]) -> Vec<FactReport> {
        let reports = self.notices.iter().flat_map(|notice| {
            let (content, scope) = (notice.content, notice.scope);
            let found = other.binary_search_by_key(&content, |notice| notice.content);
            let present = found.map_or(&[][..], |index| &other[index].instances);
            let missing = notice
                .instances
                .iter()
                .filter(|instance| present.binary_search(instance).is_err());
            missing.map(move |instance| {
                FactReport::Loss(LossReport {
                    crash: CrashReport {
                        content,
                        scope,
                        instance: *instance,
                    },
                    lost_ms_ago: self.age_ms(*instance),
                })
            })
        });
        reports.collect()
    }

    /// Returns the time since a crash in milliseconds.
    fn age_ms(&self, instance: InstanceKey) -> u64 {
        let found = self
            .crashes
            .binary_search_by_key(&instance, |(instance, _)| *instance);
        let age = found.map_or(Duration::ZERO, |index| self.crashes[index].1.elapsed());
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }
}
