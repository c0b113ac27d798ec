//! What the stand-ins of a testbed have recorded.

use std::time::Duration;

use anyhow::bail;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{PATIENCE, Testbed};
use crate::client::send_json;
use crate::engine::{CachedProgram, OrderRecord, RequestRecord};
use crate::object::ObjectCounts;
use crate::service::{KeyRuns, ServiceCall};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Testbed {
    /// Returns what each request at an engine consumed.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_records(&self, host: &str) -> anyhow::Result<Vec<RequestRecord>> {
        self.read_standin(host, "/control/records").await
    }

    /// Returns the programs whose prefixes an engine holds.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_cache(&self, host: &str) -> anyhow::Result<Vec<CachedProgram>> {
        self.read_standin(host, "/cache").await
    }

    /// Returns every order that an engine was given.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_orders(&self, host: &str) -> anyhow::Result<Vec<OrderRecord>> {
        self.read_standin(host, "/control/orders").await
    }

    /// Returns the completions that an engine refused because their model was not loaded.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_refusals(&self, host: &str) -> anyhow::Result<u64> {
        self.read_standin(host, "/control/unserved").await
    }

    /// Returns the calls that ran at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn service_calls(&self, host: &str) -> anyhow::Result<Vec<ServiceCall>> {
        self.read_standin(host, "/control/calls").await
    }

    /// Returns how often each key ran at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn service_runs(&self, host: &str) -> anyhow::Result<Vec<KeyRuns>> {
        self.read_standin(host, "/control/runs").await
    }

    /// Returns the calls that the object API has counted.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn object_counts(&self) -> anyhow::Result<ObjectCounts> {
        self.read_standin("object-api", "/control/counts").await
    }

    /// Waits until an engine has generated so many tokens of a program's unfinished request.
    ///
    /// # Errors
    ///
    /// Fails when no engine of the hosts has done so within 45 s.
    pub async fn wait_generating(
        &self,
        hosts: &[&str],
        program: &str,
        tokens: u64,
    ) -> anyhow::Result<String> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            for host in hosts {
                let records = self.engine_records(host).await?;
                let mut running = records
                    .iter()
                    .filter(|record| record.program == program && !record.finished);
                if running.any(|record| record.completion_tokens >= tokens) {
                    return Ok((*host).to_owned());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("no engine of {hosts:?} has generated {tokens} tokens for {program}")
    }

    /// Waits until so many calls have run at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when they have not run within 45 s.
    pub async fn wait_service_calls(&self, host: &str, count: usize) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.service_calls(host).await?.len() < count {
            anyhow::ensure!(Instant::now() < until, "{host} has not run {count} calls");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until an engine holds no program's prefix.
    ///
    /// # Errors
    ///
    /// Fails when it still holds one after 45 s.
    pub async fn wait_cache_empty(&self, host: &str) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        loop {
            let held = self.engine_cache(host).await?;
            if held.is_empty() {
                return Ok(());
            }
            anyhow::ensure!(Instant::now() < until, "{host} still holds {held:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the object API has refused so many calls in an outage.
    ///
    /// # Errors
    ///
    /// Fails when it has not refused them within 45 s.
    pub async fn wait_object_refusals(&self, count: u64) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.object_counts().await?.refused < count {
            anyhow::ensure!(
                Instant::now() < until,
                "the object API has not refused {count} calls"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn read_standin<T: DeserializeOwned>(&self, standin: &str, path: &str) -> anyhow::Result<T> {
        let url = format!("{}{path}", self.standin_url(standin));
        send_json("GET", &url, "").await?.decode()
    }
}
