//! Waiting until a testbed's hosts hear each other.

use anyhow::bail;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{PATIENCE, POLL_INTERVAL, Testbed};

impl Testbed {
    /// Waits until every running entry hears every running host with the configuration in force there.
    ///
    /// # Errors
    ///
    /// Fails when a process ended or the time ran out, with the last status seen.
    pub async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        loop {
            let missing = self.missing_hosts().await?;
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("not ready: {}", missing.join("; "));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until an entry answers its operators.
    ///
    /// # Errors
    ///
    /// Fails when its process ended or the time ran out.
    pub async fn wait_reachable(&mut self, entry: &str) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self
            .send_operator_request(entry, "GET", "/admin/status", "")
            .await
            .is_err()
        {
            if let Some(child) = &mut self.process_mut(entry)?.child {
                child.check_alive()?;
            }
            anyhow::ensure!(
                Instant::now() < until,
                "{entry} does not answer:\n{}",
                self.log(entry)
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

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
                if !shows_host(&status, host, self.generation) {
                    missing.push(format!("{entry} lacks {host} in {status}"));
                }
            }
        }
        Ok(missing)
    }
}

fn shows_host(status: &Value, host: &str, generation: u64) -> bool {
    let hosts = status["hosts"].as_array();
    let row = hosts.and_then(|hosts| hosts.iter().find(|row| row["name"] == host));
    row.is_some_and(|row| row["generation"].as_u64() >= Some(generation) && row["leaving"] != true)
}
