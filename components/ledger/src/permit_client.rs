//! An entry's calls for the permits of backend servers that limit their requests.

use std::sync::Arc;

use domain::{ContentKey, InstanceKey, RequestRate};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::client::LedgerClient;
use crate::link::HostLink;
use crate::permit::{PermitAnswer, PermitAsk, PermitRequest};

/// Hosts that hand out the permits of one server: the first, and one in its place while an entry cannot reach it.
const PERMIT_HOSTS: usize = 2;
/// Divisor of the rate at which the second host hands out permits. Entries that still reach the first one may use the
/// whole rate at the same time.
const SECOND_HOST_DIVISOR: u64 = 2;

impl LedgerClient {
    /// Asks for the permit to send one request to a backend server. Returns `None` when none of the hosts that hand out
    /// the server's permits answers.
    pub async fn request_permit(&self, request: PermitRequest) -> Option<PermitAnswer> {
        let [first, second] = self.server_hosts(request.instance);
        if let Some(answer) = first?.request_permit(PermitAsk::Server(request)).await {
            return Some(answer);
        }
        let rate = RequestRate(request.rate.0 / SECOND_HOST_DIVISOR);
        let request = PermitRequest { rate, ..request };
        second?.request_permit(PermitAsk::Server(request)).await
    }

    /// Asks for the permit to send one request that is on trial. Returns `None` when none of the hosts answers that judge the
    /// crashes. A host that has just started does not know of the trial yet, so that another one is asked then.
    pub async fn request_trial(&self, content: ContentKey) -> Option<PermitAnswer> {
        let mut latest = None;
        for host in self.notice_hosts() {
            match host.request_permit(PermitAsk::Trial(content)).await {
                Some(PermitAnswer::Lifted) => latest = Some(PermitAnswer::Lifted),
                Some(answer) => return Some(answer),
                None => {}
            }
        }
        latest
    }

    /// Reports that a backend server has lifted its limit. Entries that are not told hear it from the server.
    pub async fn report_lifted(&self, instance: InstanceKey, heard_ms_ago: u64) {
        for host in self.server_hosts(instance).into_iter().flatten() {
            host.report_lifted(instance, heard_ms_ago).await;
        }
    }

    /// Returns the hosts that hand out a server's permits.
    fn server_hosts(&self, instance: InstanceKey) -> [Option<Arc<HostLink>>; PERMIT_HOSTS] {
        let mut links = self.permit_hosts(instance.0).into_iter();
        std::array::from_fn(|_| links.next())
    }

    /// Returns all hosts in the order in which they hand out the permits of a key, chosen by rendezvous hashing.
    pub(crate) fn permit_hosts(&self, seed: u64) -> Vec<Arc<HostLink>> {
        let mut links = self.links().clone();
        links.sort_by_cached_key(|link| xxh3_64_with_seed(link.peer.name.as_bytes(), seed));
        links
    }
}
