//! Child processes of a testbed: how they are started and signalled, and which loopback addresses they use.

use std::fs::OpenOptions;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context as _, bail};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// Number of usable addresses in one block, which is a range with the same first three octets.
const BLOCK_ADDRESSES: u32 = 254;

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address for a process of a testbed, which no other testbed process on this host uses.
///
/// The low 8 bits of the id of this process are the third octet, and the next 5 bits are part of the second
/// octet. The addresses of one process are numbered from 1 in the last octet and fill up to 4 blocks.
/// Two testbed processes whose ids agree in the low 13 bits get the same addresses.
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

/// Command line of a process and the file that receives its output.
#[derive(Debug, Clone)]
pub(super) struct ProcessPlan {
    pub(super) program: PathBuf,
    pub(super) arguments: Vec<String>,
    pub(super) log: PathBuf,
}

/// A child process, which is killed when this is dropped.
#[derive(Debug)]
pub(super) struct ChildProcess {
    pub(super) plan: ProcessPlan,
    child: Child,
}

impl ChildProcess {
    /// Starts the process and appends its output to its log file.
    pub(super) fn start(plan: ProcessPlan) -> anyhow::Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(&plan.log);
        let log = log.with_context(|| format!("opening {}", plan.log.display()))?;
        let child = Command::new(&plan.program)
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().context("duplicating the log's file handle")?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", plan.program.display()))?;
        Ok(Self { plan, child })
    }

    /// Returns the id of the process; `None` once it has ended.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to this child only.
    pub(super) fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.context("the process has ended already")?;
        kill_process(pid, signal).context("sending a signal")
    }

    /// Waits for the end of the process and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when the process still runs after `timeout`.
    pub(super) async fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let ended = tokio::time::timeout(timeout, self.child.wait()).await;
        ended
            .with_context(|| format!("process with the log {} still runs", self.plan.log.display()))?
            .context("waiting for the process")
    }

    /// Returns an error with the process's log if the process has ended.
    pub(super) fn check_alive(&mut self) -> anyhow::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            let log = std::fs::read_to_string(&self.plan.log).unwrap_or_default();
            bail!("{} ended with {status}:\n{log}", self.plan.program.display());
        }
        Ok(())
    }
}

/// Returns the path of a binary of the workspace, which is expected in the folder of the running binary.
///
/// Test binaries run in the subfolder `deps`; for them it is the parent folder.
pub(super) fn find_binary(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("finding the path of the running binary")?;
    let folder = own.parent().context("the running binary is in no folder")?;
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
