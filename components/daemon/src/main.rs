//! The azuretide daemon: runs an entry or an agent, depending on the role in its settings.

mod log;
mod roles;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use config::DaemonSettings;
use domain::HostRole;
use slog::{Logger, error, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Runs one process of azuretide.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DaemonArguments {
    /// Settings file in INI form
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// Exit status after a failure at start or at run time.
const EXIT_FAILED: u8 = 1;
/// Exit status when the settings file has faults.
const EXIT_SETTINGS: u8 = 3;

fn main() -> ExitCode {
    let arguments = daemon_arguments().run();
    let settings = match DaemonSettings::from_file(&arguments.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let (log, _guard) = log::open_log(&settings);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(failure) => {
            error!(log, "cannot start the async runtime; exiting"; "error" => %failure);
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(run(&settings, &log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "process failed; exiting"; "error" => format!("{failure:#}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn run(settings: &DaemonSettings, log: &Logger) -> anyhow::Result<()> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop_signal = stop.clone();
    let stop_log = log.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!(stop_log, "planned stop");
        stop_signal.cancel();
    });
    match settings.host.role {
        HostRole::Entry => roles::run_entry(settings, log, stop).await,
        HostRole::Agent => roles::run_agent(settings, log, stop).await,
    }
}
