//! Starts the stand-ins of a testbed and writes the settings files of its hosts.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Context as _;
use serde_json::json;
use tokio::time::Instant;

use super::process::{ChildProcess, ProcessPlan, find_binary, next_address};
use super::settings::{STANDIN_PORT, SharedSettings, backend_arguments};
use super::{POLL_INTERVAL, Testbed, TestbedProcess, WAIT_TIMEOUT, backend_name};

impl Testbed {
    /// Writes a file in the testbed's folder.
    pub(super) fn write_file(&self, name: &str, text: &str) -> anyhow::Result<()> {
        std::fs::write(self.folder.path().join(name), text).with_context(|| format!("writing {name}"))
    }

    /// Starts the stand-ins of the object API and of the host list.
    pub(super) async fn start_platform(&mut self) -> anyhow::Result<()> {
        let key = self.folder.path().join("platform.key").display().to_string();
        let key = ["--key-file".to_owned(), key];
        let object = [vec!["object-api".to_owned()], key.to_vec()].concat();
        self.start_standin("object-api", object).await?;
        let lag = [
            "--lag-ms".to_owned(),
            self.deployment.host_list_lag_ms.to_string(),
        ];
        let hosts = [vec!["host-list".to_owned()], key.to_vec(), lag.to_vec()].concat();
        self.start_standin("host-list", hosts).await?;
        let faults = json!({"slow_ms": self.deployment.object_delay_ms});
        self.set_faults("object-api", &faults).await
    }

    /// Starts the stand-ins of all backend servers.
    pub(super) async fn start_backends(&mut self) -> anyhow::Result<()> {
        for plan in self.deployment.backends.clone() {
            let arguments = backend_arguments(&plan.kind);
            self.start_standin(&backend_name(&plan.name), arguments).await?;
        }
        Ok(())
    }

    /// Starts a stand-in and waits until it accepts connections.
    async fn start_standin(&mut self, name: &str, mut arguments: Vec<String>) -> anyhow::Result<()> {
        let address = next_address();
        let listen = SocketAddr::from((address, STANDIN_PORT));
        arguments.extend(["--listen".to_owned(), listen.to_string()]);
        let plan = ProcessPlan {
            program: find_binary("standins")?,
            arguments,
            log: self.log_path(name),
        };
        let mut child = ChildProcess::start(plan)?;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while tokio::net::TcpStream::connect(listen).await.is_err() {
            child.check_alive()?;
            anyhow::ensure!(
                Instant::now() < deadline,
                "{name} did not listen on {listen} in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.processes.push(TestbedProcess {
            name: name.to_owned(),
            address,
            child: Some(child),
        });
        Ok(())
    }

    /// Assigns an address to each host and writes its settings file.
    pub(super) fn write_settings(&mut self) -> anyhow::Result<()> {
        let shared = SharedSettings {
            object_api: self.standin_url("object-api"),
            host_list: self.standin_url("host-list"),
            timing: self.deployment.timing.clone(),
        };
        for plan in self.deployment.entries.clone() {
            let text = shared.entry(&plan, self.add_host(&plan.name));
            self.write_file(&format!("{}.ini", plan.name), &text)?;
        }
        for plan in self.deployment.backends.clone() {
            let backend = self.standin_url(&plan.name);
            let text = shared.agent(&plan, self.add_host(&plan.name), &backend);
            self.write_file(&format!("{}.ini", plan.name), &text)?;
        }
        Ok(())
    }

    /// Adds the process of a host, which is not started yet, and returns its address.
    fn add_host(&mut self, name: &str) -> Ipv4Addr {
        let address = next_address();
        self.processes.push(TestbedProcess {
            name: name.to_owned(),
            address,
            child: None,
        });
        address
    }
}
