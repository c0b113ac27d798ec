//! Stand-in for the platform's host list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::ListedHost;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::http::{Reply, ServerHandle, WholeRequest, empty_reply, json_reply, start_server};

/// Settings of the host list.
#[derive(Debug, Clone, Default)]
pub struct HostListSettings {
    /// Key that requests carry; none is asked for when absent.
    pub key: Option<String>,
    /// Time from a change until it is visible.
    pub lag: Duration,
    /// Hosts at the start, visible at once.
    pub hosts: Vec<ListedHost>,
}

#[derive(Debug)]
struct ListChange {
    visible: Instant,
    hosts: Vec<ListedHost>,
}

/// Stand-in for the platform's host list.
#[derive(Debug)]
pub struct HostList {
    key: Option<String>,
    lag: Duration,
    changes: Mutex<Vec<ListChange>>,
}

impl HostList {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: HostListSettings) -> anyhow::Result<ServerHandle> {
        let first = ListChange {
            visible: Instant::now(),
            hosts: settings.hosts,
        };
        let list = Arc::new(Self {
            key: settings.key,
            lag: settings.lag,
            changes: Mutex::new(vec![first]),
        });
        start_server(listen, move |request| {
            let reply = list.answer(&request);
            async move { Ok(reply) }
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ListChange>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &WholeRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/control/hosts") => self.change(request),
            _ if !request.has_key(self.key.as_deref()) => empty_reply(StatusCode::UNAUTHORIZED),
            ("GET", "/hosts") => self.list(),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn change(&self, request: &WholeRequest) -> Reply {
        request.apply(|hosts| {
            let visible = Instant::now() + self.lag;
            self.lock().push(ListChange { visible, hosts });
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    fn list(&self) -> Reply {
        let mut changes = self.lock();
        let now = Instant::now();
        let shown = changes.iter().rposition(|change| change.visible <= now);
        changes.drain(..shown.unwrap_or(0));
        json_reply(&changes[0].hosts)
    }
}
