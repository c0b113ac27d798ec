//! What entries tell one another about requests under which backend servers crash.

use std::time::{Duration, Instant};

use domain::ContentKey;
use futures::future::join_all;
use tokio::time::sleep;

use crate::client::LedgerClient;
use crate::crash::{CrashReport, SuspectNotice};
use crate::notice::NoticeVersion;

/// Longest time for which a host waits for a change before it answers. A connection that has gone silent is noticed
/// only after it.
const NOTICE_WAIT: Duration = Duration::from_secs(1);
/// Time after which an entry follows the next host. It brings hosts that have started anew, or have missed a report, up
/// to date.
const FOLLOW_PERIOD: Duration = Duration::from_secs(2);
/// Delay before another host is asked after one has not answered.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(100);

impl LedgerClient {
    /// Reports backend servers that have crashed under requests to the hosts that keep such reports.
    pub async fn report_crashes(&self, reports: Vec<CrashReport>) {
        let hosts = self.notice_hosts();
        join_all(hosts.iter().map(|host| host.report_crashes(reports.clone()))).await;
    }

    /// Reports requests that backend servers have run to their end, although others have crashed under them.
    pub async fn acquit(&self, contents: Vec<ContentKey>) {
        let hosts = self.notice_hosts();
        join_all(hosts.iter().map(|host| host.acquit(contents.clone()))).await;
    }

    /// Follows the notices about requests under which servers have crashed, and passes each change on; never returns.
    /// Each host is told the reports that it lacks.
    pub async fn follow_crashes(&self, mut apply: impl FnMut(&[SuspectNotice])) {
        let mut notices: Vec<SuspectNotice> = Vec::new();
        let mut known: Option<NoticeVersion> = None;
        let mut followed: Option<String> = None;
        let mut turn = rand::random::<u32>() as usize;
        let mut followed_since = Instant::now();
        loop {
            if followed_since.elapsed() >= FOLLOW_PERIOD {
                followed_since = Instant::now();
                turn = turn.wrapping_add(1);
            }
            let hosts = self.notice_hosts();
            let host = hosts.get(turn % hosts.len().max(1));
            let name = host.map(|host| host.peer.name.clone());
            if name != followed {
                known = None;
                followed = name;
            }
            let waiting = async { host?.wait_for_notices(known, NOTICE_WAIT).await };
            let Some(answer) = waiting.await else {
                known = None;
                turn = turn.wrapping_add(1);
                sleep(HOST_RETRY_DELAY).await;
                continue;
            };
            let Some(page) = answer else { continue };
            let has_started = known.is_none_or(|known| known.epoch != page.version.epoch);
            known = Some(page.version);
            if has_started && let Some(host) = host {
                let missing = missing_reports(&notices, &page.notices);
                if !missing.is_empty() && host.report_crashes(missing).await {
                    // The next answer has the reports of both.
                    continue;
                }
            }
            notices = page.notices;
            apply(&notices);
        }
    }
}

/// Returns the reports in the notices of one host that those of another one lack.
fn missing_reports(known: &[SuspectNotice], other: &[SuspectNotice]) -> Vec<CrashReport> {
    let reports = known.iter().flat_map(|notice| {
        let (content, scope) = (notice.content, notice.scope);
        let found = other.binary_search_by_key(&content, |notice| notice.content);
        let present = found.map_or(&[][..], |index| &other[index].instances);
        let missing = notice
            .instances
            .iter()
            .filter(|instance| present.binary_search(instance).is_err());
        missing.map(move |instance| CrashReport {
            content,
            scope,
            instance: *instance,
        })
    });
    reports.collect()
}
