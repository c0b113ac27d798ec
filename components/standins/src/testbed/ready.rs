//! Waits until the hosts of a testbed are ready: they receive each other's heartbeats.

use anyhow::bail;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{POLL_INTERVAL, Testbed, WAIT_TIMEOUT};

impl Testbed {
    /// Waits until every running entry lists every running host as not leaving and with a configuration that
    /// is at least as new as the one applied last.
    ///
    /// # Errors
    ///
    /// Fails when a process has ended or the hosts are not ready within 45 s; the error holds the last
    /// status.
    pub async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let missing = self.missing_hosts().await?;
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("hosts not ready in time: {}", missing.join("; "));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every running entry knows that the backend server of every agent is healthy.
    ///
    /// # Errors
    ///
    /// Fails when a backend server is not healthy within 45 s; the error holds the last status.
    pub async fn wait_healthy(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for entry in self.entry_names() {
            loop {
                let reply = self
                    .send_operator_request(&entry, "GET", "/admin/status", "")
                    .await?;
                let status: Value = reply.decode()?;
                let hosts = status["hosts"].as_array();
                if hosts.is_some_and(|hosts| hosts.iter().all(is_healthy)) {
                    break;
                }
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "backend servers not healthy in time: {status}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until an entry answers an operator's request.
    ///
    /// # Errors
    ///
    /// Fails when its process has ended or it does not answer within 45 s.
    pub async fn wait_reachable(&mut self, entry: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self
            .send_operator_request(entry, "GET", "/admin/status", "")
            .await
            .is_err()
        {
            if let Some(child) = &mut self.process_mut(entry)?.child {
                child.check_alive()?;
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{entry} did not answer in time; its log:\n{}",
                self.log(entry)
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns a text for each running host that the status of a running entry does not list as ready.
    async fn missing_hosts(&mut self) -> anyhow::Result<Vec<String>> {
        let mut running = Vec::new();
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                child.check_alive()?;
                running.push(process.name.clone());
            }
        }
        let mut missing = Vec::new();
        for entry in self.entry_names().iter().filter(|name| running.contains(name)) {
            let status = match self
                .send_operator_request(entry, "GET", "/admin/status", "")
                .await
            {
                Ok(reply) => reply.decode().unwrap_or(Value::Null),
                Err(error) => json!(error.to_string()),
            };
            for host in self.host_names().iter().filter(|name| running.contains(name)) {
                if !lists_host_as_ready(&status, host, self.generation) {
                    missing.push(format!("{entry} does not list {host} as ready in {status}"));
                }
            }
        }
        Ok(missing)
    }
}

fn lists_host_as_ready(status: &Value, host: &str, generation: u64) -> bool {
    let hosts = status["hosts"].as_array();
    let row = hosts.and_then(|hosts| hosts.iter().find(|row| row["name"] == host));
    row.is_some_and(|row| row["generation"].as_u64() >= Some(generation) && row["leaving"] != true)
}

/// Returns whether the row of an agent shows that its backend server is healthy; the rows of entries show no load.
fn is_healthy(row: &Value) -> bool {
    row["load"].is_null() || row["load"]["healthy"] == true
}
