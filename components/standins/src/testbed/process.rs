//! Child processes, their binaries and their loopback addresses.

use std::fs::OpenOptions;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context as _, bail};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// Addresses that one block of loopback addresses gives.
const BLOCK_ADDRESSES: u32 = 254;

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that no other process of any testbed on this machine uses.
pub(super) fn next_address() -> Ipv4Addr {
    let own = std::process::id();
    let index = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let block = ((own >> 8) & 0x1f) | (((index / BLOCK_ADDRESSES) & 0x3) << 5);
    let octet = |number: u32| u8::try_from(number & 0xff).unwrap_or_default();
    Ipv4Addr::new(
        127,
        octet(block + 1),
        octet(own),
        octet(index % BLOCK_ADDRESSES + 1),
    )
}

/// Command line of a process and the file that takes its output.
#[derive(Debug, Clone)]
pub(super) struct ProcessPlan {
    pub(super) program: PathBuf,
    pub(super) arguments: Vec<String>,
    pub(super) log: PathBuf,
}

/// A child process; it is killed when dropped.
#[derive(Debug)]
pub(super) struct ChildProcess {
    pub(super) plan: ProcessPlan,
    child: Child,
}

impl ChildProcess {
    /// Starts the process; its output is appended to its log.
    pub(super) fn start(plan: ProcessPlan) -> anyhow::Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(&plan.log);
        let log = log.with_context(|| format!("opening {}", plan.log.display()))?;
        let child = Command::new(&plan.program)
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().context("sharing the log")?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", plan.program.display()))?;
        Ok(Self { plan, child })
    }

    /// Sends a signal to this child only.
    pub(super) fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.context("the process has ended already")?;
        kill_process(pid, signal).context("sending a signal")
    }

    /// Waits for the end of the process.
    pub(super) async fn wait(&mut self, patience: Duration) -> anyhow::Result<ExitStatus> {
        let ended = tokio::time::timeout(patience, self.child.wait()).await;
        ended
            .with_context(|| format!("{} still runs", self.plan.log.display()))?
            .context("waiting for the process")
    }

    /// Fails when the process has ended.
    pub(super) fn check_alive(&mut self) -> anyhow::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            let log = std::fs::read_to_string(&self.plan.log).unwrap_or_default();
            bail!("{} ended with {status}:\n{log}", self.plan.program.display());
        }
        Ok(())
    }
}

/// Returns the path of a binary of the workspace, which stands beside the running one.
pub(super) fn find_binary(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("finding the running program")?;
    let folder = own.parent().context("the program has no folder")?;
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    let path = folder.join(name);
    if !is_file(&path) {
        bail!(
            "{} is missing; build the workspace's binaries first",
            path.display()
        );
    }
    Ok(path)
}

fn is_file(path: &Path) -> bool {
    path.metadata().is_ok_and(|data| data.is_file())
}
