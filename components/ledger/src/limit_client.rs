//! What entries tell one another about the limits of backend servers.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::client::LedgerClient;
use crate::limit::LimitReport;
use crate::notice::NoticeVersion;

/// Longest time for which a host waits for a change before it answers.
const LIMIT_WAIT: Duration = Duration::from_secs(1);
/// Delay before another host is asked after one has not answered.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(200);

impl LedgerClient {
    /// Reports limits to the hosts that keep them for the other entries.
    pub async fn report_limits(&self, reports: Vec<LimitReport>) {
        let hosts = self.notice_hosts();
        join_all(hosts.iter().map(|host| host.report_limits(reports.clone()))).await;
    }

    /// Follows the limits that other entries have reported, and passes each change on; never returns.
    pub async fn follow_limits(&self, mut apply: impl FnMut(&[LimitReport])) {
        let mut known: Option<(String, NoticeVersion)> = None;
        let mut turn = rand::random::<u32>() as usize;
        loop {
            let hosts = self.notice_hosts();
            let Some(host) = hosts.get(turn % hosts.len().max(1)) else {
                sleep(HOST_RETRY_DELAY).await;
                continue;
            };
            let name = &host.peer.name;
            let version = known.as_ref().filter(|(known, _)| known == name);
            let version = version.map(|(_, version)| *version);
            match host.wait_for_limits(version, LIMIT_WAIT).await {
                None => {
                    turn = turn.wrapping_add(1);
                    sleep(HOST_RETRY_DELAY).await;
                }
                Some(None) => {}
                Some(Some((version, reports))) => {
                    known = Some((name.clone(), version));
                    apply(&reports);
                }
            }
        }
    }
}
