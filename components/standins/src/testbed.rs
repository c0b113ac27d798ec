//! Starts the daemons of a deployment and the stand-ins of its outside systems as real processes on loopback
//! addresses.

mod deployment;
mod process;
mod ready;
mod records;
mod settings;
mod start;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::{Context as _, bail};
use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::client::{HttpReply, send_json, send_request};
use process::{ChildProcess, ProcessPlan, find_binary};
use settings::{HEARTBEAT_PORT, HTTP_PORT, STANDIN_PORT};

pub use deployment::{BackendKind, BackendPlan, Deployment, EntryPlan, KELANIMATCH_KEY, SALISH_KEY};

/// Timeout of each wait: for a process to start, become ready or end, and for a record to appear.
const WAIT_TIMEOUT: Duration = Duration::from_secs(45);
/// Interval between two checks while a wait lasts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Content of the file `operator.key`.
const OPERATOR_KEY: &str = "operator-key-of-a-testbed";

/// Environment variable that, when set, keeps the folders of testbeds after the run so that their logs can be
/// read.
const KEEP_VARIABLE: &str = "TESTBED_KEEP";

/// A process of a testbed: a daemon or a stand-in. `child` is `None` before its start and after its end was
/// awaited.
#[derive(Debug)]
struct TestbedProcess {
    name: String,
    address: Ipv4Addr,
    child: Option<ChildProcess>,
}

/// The running processes of a deployment and the temporary folder with their files.
///
/// Dropping it kills all of its processes.
#[derive(Debug)]
pub struct Testbed {
    deployment: Deployment,
    processes: Vec<TestbedProcess>,
    generation: u64,
    folder: TempDir,
}

impl Testbed {
    /// Starts all processes of the deployment, applies its configuration and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Fails when a binary is missing, a process ends early or the hosts are not ready within 45 s.
    pub async fn start(deployment: Deployment) -> anyhow::Result<Self> {
        let mut testbed = Self::prepare(deployment).await?;
        for name in testbed.host_names() {
            testbed.start_host(&name)?;
        }
        let first = testbed.deployment.entries[0].name.clone();
        testbed.wait_reachable(&first).await?;
        let text = testbed.deployment.configuration.clone();
        testbed.apply_configuration(&first, &text).await?;
        testbed.wait_ready().await?;
        testbed.wait_healthy().await?;
        Ok(testbed)
    }

    /// Starts the stand-ins, publishes the host list and writes the settings files of the hosts, but starts
    /// no host.
    ///
    /// # Errors
    ///
    /// Fails when a binary is missing or a stand-in does not accept connections within 45 s.
    pub async fn prepare(deployment: Deployment) -> anyhow::Result<Self> {
        let mut folder =
            TempDir::with_prefix("azuretide-testbed-").context("creating the testbed's folder")?;
        folder.disable_cleanup(std::env::var_os(KEEP_VARIABLE).is_some());
        let mut testbed = Self {
            deployment,
            processes: Vec::new(),
            generation: 0,
            folder,
        };
        for key in ["platform", "cluster", "operator"] {
            testbed.write_file(&format!("{key}.key"), &format!("{key}-key-of-a-testbed\n"))?;
        }
        testbed.start_platform().await?;
        testbed.start_backends().await?;
        testbed.write_settings()?;
        testbed.publish_hosts(&[]).await?;
        Ok(testbed)
    }

    /// Returns the folder with the settings files, keys and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the names of the entries.
    pub fn entry_names(&self) -> Vec<String> {
        let names = self.deployment.entries.iter().map(|plan| plan.name.clone());
        names.collect()
    }

    /// Returns the names of all hosts, entries first.
    pub fn host_names(&self) -> Vec<String> {
        let agents = self.deployment.backends.iter().map(|plan| plan.name.clone());
        self.entry_names().into_iter().chain(agents).collect()
    }

    /// Returns the base URLs of all entries.
    pub fn entry_urls(&self) -> Vec<String> {
        let urls = self
            .deployment
            .entries
            .iter()
            .map(|plan| self.entry_url(&plan.name));
        urls.collect()
    }

    /// Returns the base URL of an entry's HTTP interface, which serves callers and operators.
    ///
    /// # Panics
    ///
    /// Panics when there is no such host.
    pub fn entry_url(&self, name: &str) -> String {
        format!("http://{}:{HTTP_PORT}", self.address(name))
    }

    /// Returns the base URL of a stand-in: `object-api`, `host-list` or the name of a backend server's host.
    ///
    /// # Panics
    ///
    /// Panics when there is no such stand-in.
    pub fn standin_url(&self, name: &str) -> String {
        let process = self
            .find_process(&backend_name(name))
            .or_else(|| self.find_process(name));
        let process = process.unwrap_or_else(|| panic!("no stand-in {name}"));
        format!("http://{}:{STANDIN_PORT}", process.address)
    }

    /// Returns the loopback address of a process.
    ///
    /// # Panics
    ///
    /// Panics when there is no such process.
    pub fn address(&self, name: &str) -> Ipv4Addr {
        self.find_process(name)
            .unwrap_or_else(|| panic!("no process {name}"))
            .address
    }

    /// Returns the output of a process so far, including that of its earlier starts.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// Replaces the faults that a stand-in injects; `faults` is a JSON object, and an empty one turns all of
    /// them off.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in is unreachable or refuses them.
    pub async fn set_faults(&self, standin: &str, faults: &Value) -> anyhow::Result<()> {
        let url = format!("{}/control/faults", self.standin_url(standin));
        let reply = send_json("POST", &url, &faults.to_string()).await?;
        anyhow::ensure!(
            reply.status == 204,
            "{standin} refused the faults: {}",
            reply.text()
        );
        Ok(())
    }

    /// Publishes the host list, in which the named hosts have the state `leaving` and all others `live`.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in of the host list is unreachable or refuses it.
    pub async fn publish_hosts(&self, leaving: &[&str]) -> anyhow::Result<()> {
        let row = |name: &str, role: &str, failure_domain: &str| {
            let heartbeat = SocketAddr::from((self.address(name), HEARTBEAT_PORT));
            let state = if leaving.contains(&name) {
                "leaving"
            } else {
                "live"
            };
            json!({"name": name, "role": role, "failure_domain": failure_domain,
                "heartbeat": heartbeat, "state": state})
        };
        let entries = self.deployment.entries.iter();
        let entries = entries.map(|plan| row(&plan.name, "entry", &plan.failure_domain));
        let agents = self.deployment.backends.iter();
        let agents = agents.map(|plan| row(&plan.name, "agent", &plan.failure_domain));
        let hosts = Value::from(entries.chain(agents).collect::<Vec<_>>());
        let url = format!("{}/control/hosts", self.standin_url("host-list"));
        let reply = send_json("PUT", &url, &hosts.to_string()).await?;
        anyhow::ensure!(
            reply.status == 204,
            "the host list refused the hosts: {}",
            reply.text()
        );
        Ok(())
    }

    /// Sends a request with the operator's key to an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn send_operator_request(
        &self,
        entry: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> anyhow::Result<HttpReply> {
        let url = format!("{}{path}", self.entry_url(entry));
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("azuretide-operator", "harbor-ops"),
        ];
        send_request(method, &url, &headers, body).await
    }

    /// Applies a configuration text whose base is the generation that was applied last.
    ///
    /// Retries while the entry answers with status 503, for at most 45 s.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer or refuses the text.
    pub async fn apply_configuration(&mut self, entry: &str, text: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let path = format!("/admin/configuration?base={}", self.generation);
        loop {
            let reply = self.send_operator_request(entry, "PUT", &path, text).await?;
            if reply.status == 200 {
                let body: Value = reply.decode()?;
                self.generation = body["generation"].as_u64().context("no generation")?;
                return Ok(());
            }
            // An entry that has just started may answer 503 because it has not joined the cluster yet.
            if reply.status != 503 || Instant::now() > deadline {
                bail!(
                    "configuration refused by {entry}: status {} {}",
                    reply.status,
                    reply.text()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the generation of the configuration that was applied last; 0 before the first.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Starts or restarts the daemon of a host with its settings file.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing, there is no such host or the process cannot be started.
    pub fn start_host(&mut self, name: &str) -> anyhow::Result<()> {
        let settings = self.folder.path().join(format!("{name}.ini"));
        let plan = ProcessPlan {
            program: find_binary("azuretided")?,
            arguments: vec!["--settings".to_owned(), settings.display().to_string()],
            log: self.log_path(name),
        };
        self.process_mut(name)?.child = Some(ChildProcess::start(plan)?);
        Ok(())
    }

    /// Kills a process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended already.
    pub async fn kill(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, Signal::KILL)?;
        self.wait_exit(name).await?;
        Ok(())
    }

    /// Requests a planned stop of a process (SIGTERM); [`Self::wait_exit`] waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended already.
    pub fn terminate(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, Signal::TERM)
    }

    /// Freezes a process (SIGSTOP) until [`Self::resume`] is called.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended already.
    pub fn freeze(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a frozen process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process has ended already.
    pub fn resume(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Waits for the end of a process and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when the process still runs after 45 s or was not started.
    pub async fn wait_exit(&mut self, name: &str) -> anyhow::Result<ExitStatus> {
        let process = self.process_mut(name)?;
        let child = process.child.as_mut().context("the process was not started")?;
        let status = child.wait(WAIT_TIMEOUT).await?;
        process.child = None;
        Ok(status)
    }

    /// Returns whether a process was started and its end has not been awaited by [`Self::wait_exit`].
    pub fn is_running(&self, name: &str) -> bool {
        self.find_process(name)
            .is_some_and(|process| process.child.is_some())
    }

    /// Returns the id of a running process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.find_process(name)?.child.as_ref()?.id()
    }

    fn signal(&mut self, name: &str, signal: Signal) -> anyhow::Result<()> {
        let child = self.process_mut(name)?.child.as_ref();
        child.context("the process is not running")?.signal(signal)
    }

    fn find_process(&self, name: &str) -> Option<&TestbedProcess> {
        self.processes.iter().find(|process| process.name == name)
    }

    fn process_mut(&mut self, name: &str) -> anyhow::Result<&mut TestbedProcess> {
        let found = self.processes.iter_mut().find(|process| process.name == name);
        found.with_context(|| format!("no process {name}"))
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }
}

/// Returns the name of the process that stands in for the backend server of a host.
fn backend_name(host: &str) -> String {
    format!("{host}.backend")
}
