//! Reads the records of a testbed's stand-ins.

use std::time::Duration;

use anyhow::bail;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{Testbed, WAIT_TIMEOUT};
use crate::client::send_json;
use crate::engine::{CachedProgram, OrderRecord, RequestRecord};
use crate::object::ObjectCounts;
use crate::service::{KeyRuns, ServiceCall};

/// Interval between two reads of a stand-in's records.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Testbed {
    /// Returns the tokens that each request at an engine consumed.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_records(&self, host: &str) -> anyhow::Result<Vec<RequestRecord>> {
        self.fetch_record(host, "/control/records").await
    }

    /// Returns the programs whose prefixes an engine has in its cache.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_cache(&self, host: &str) -> anyhow::Result<Vec<CachedProgram>> {
        self.fetch_record(host, "/cache").await
    }

    /// Returns all orders to load or unload a model that an engine has received.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_orders(&self, host: &str) -> anyhow::Result<Vec<OrderRecord>> {
        self.fetch_record(host, "/control/orders").await
    }

    /// Returns the number of completions that an engine refused because their model was not loaded.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_refusals(&self, host: &str) -> anyhow::Result<u64> {
        self.fetch_record(host, "/control/unserved").await
    }

    /// Returns the calls that ran at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn service_calls(&self, host: &str) -> anyhow::Result<Vec<ServiceCall>> {
        self.fetch_record(host, "/control/calls").await
    }

    /// Returns how often a call with each idempotency key ran at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn service_runs(&self, host: &str) -> anyhow::Result<Vec<KeyRuns>> {
        self.fetch_record(host, "/control/runs").await
    }

    /// Returns the numbers of calls that the object API has counted.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn object_counts(&self) -> anyhow::Result<ObjectCounts> {
        self.fetch_record("object-api", "/control/counts").await
    }

    /// Waits until an engine has generated at least `tokens` tokens for an unfinished request of a program,
    /// and returns the host of the engine.
    ///
    /// # Errors
    ///
    /// Fails when no engine of `hosts` has done so within 45 s.
    pub async fn wait_generating(
        &self,
        hosts: &[&str],
        program: &str,
        tokens: u64,
    ) -> anyhow::Result<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            for host in hosts {
                let records = self.engine_records(host).await?;
                let mut running = records
                    .iter()
                    .filter(|record| record.program == program && !record.finished);
                if running.any(|record| record.completion_tokens >= tokens) {
                    return Ok((*host).to_owned());
                }
            }
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
        bail!("no engine of {hosts:?} generated {tokens} tokens for {program} in time")
    }

    /// Waits until at least `count` calls have run at a tool or plain service.
    ///
    /// # Errors
    ///
    /// Fails when they have not run within 45 s.
    pub async fn wait_service_calls(&self, host: &str, count: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.service_calls(host).await?.len() < count {
            anyhow::ensure!(
                Instant::now() < deadline,
                "{host} did not run {count} calls in time"
            );
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until an engine has no program's prefix in its cache.
    ///
    /// # Errors
    ///
    /// Fails when the cache still holds one after 45 s.
    pub async fn wait_cache_empty(&self, host: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let held = self.engine_cache(host).await?;
            if held.is_empty() {
                return Ok(());
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "the cache of {host} still holds {held:?}"
            );
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
    }

    /// Waits until the object API has refused at least `count` calls during an outage.
    ///
    /// # Errors
    ///
    /// Fails when it has not refused them within 45 s.
    pub async fn wait_object_refusals(&self, count: u64) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.object_counts().await?.refused < count {
            anyhow::ensure!(
                Instant::now() < deadline,
                "the object API did not refuse {count} calls in time"
            );
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn fetch_record<T: DeserializeOwned>(&self, standin: &str, path: &str) -> anyhow::Result<T> {
        let url = format!("{}{path}", self.standin_url(standin));
        send_json("GET", &url, "").await?.decode()
    }
}
