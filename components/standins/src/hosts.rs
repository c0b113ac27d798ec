//! Stand-in for the platform's host list, which shows changes after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::ListedHost;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::http::{BufferedRequest, Reply, ServerHandle, empty_reply, json_reply, start_server};

/// Settings of the host list.
#[derive(Debug, Clone, Default)]
pub struct HostListSettings {
    /// Bearer token that requests must carry; `None` accepts every request.
    pub key: Option<String>,
    /// Delay from a change until requests return it.
    pub lag: Duration,
    /// Hosts listed at the start, visible without delay.
    pub hosts: Vec<ListedHost>,
}

/// Contents of the list from `visible_at` on.
#[derive(Debug)]
struct ListChange {
    visible_at: Instant,
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
    /// Starts the stand-in as an HTTP server.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: HostListSettings) -> anyhow::Result<ServerHandle> {
        let first = ListChange {
            visible_at: Instant::now(),
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

    fn answer(&self, request: &BufferedRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/control/hosts") => self.publish_hosts(request),
            _ if !request.has_key(self.key.as_deref()) => empty_reply(StatusCode::UNAUTHORIZED),
            ("GET", "/hosts") => self.list_hosts(),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }

    fn publish_hosts(&self, request: &BufferedRequest) -> Reply {
        request.apply_json(|hosts| {
            let visible_at = Instant::now() + self.lag;
            self.lock().push(ListChange { visible_at, hosts });
            empty_reply(StatusCode::NO_CONTENT)
        })
    }

    fn list_hosts(&self) -> Reply {
        let mut changes = self.lock();
        let now = Instant::now();
        let newest_visible = changes.iter().rposition(|change| change.visible_at <= now);
        changes.drain(..newest_visible.unwrap_or(0));
        json_reply(&changes[0].hosts)
    }
}
