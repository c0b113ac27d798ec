//! Starts and runs an entry or an agent from the settings.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use agent::{AgentOptions, AgentProcess};
use anyhow::{Context as _, Result};
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use config::DaemonSettings;
use entry::{EntryOptions, EntryProcess};
use sha2::{Digest as _, Sha256};
use slog::{Logger, info};
use store::{HostDirectory, RemoteStore};
use tokio_util::sync::CancellationToken;
use wire::ClusterSecret;

const METRICS_PREFIX: &str = "azuretide";

/// Runs an entry until its planned stop has completed.
///
/// # Errors
///
/// Fails when a key file cannot be read, a port cannot be bound or the seal at the planned stop cannot be
/// written.
pub(crate) async fn run_entry(
    settings: &DaemonSettings,
    log: &Logger,
    stop: CancellationToken,
) -> Result<()> {
    let platform_key = read_key(&settings.platform.key_file)?;
    let operator_file = settings
        .cluster
        .operator_key_file
        .as_deref()
        .context("an entry needs operator-key-file in section [cluster]")?;
    let timing = &settings.timing;
    let options = EntryOptions::builder()
        .host(settings.host.name.clone())
        .failure_domain(settings.host.failure_domain.clone())
        .http(SocketAddr::new(
            settings.host.ip,
            settings.ports.http.unwrap_or(0),
        ))
        .process(SocketAddr::new(settings.host.ip, settings.ports.process))
        .heartbeat(SocketAddr::new(settings.host.ip, settings.ports.heartbeat))
        .secret(ClusterSecret::from_file(&settings.cluster.key_file)?)
        .operator_key_sha256(hex::encode(Sha256::digest(read_key(operator_file)?)))
        .store(Arc::new(RemoteStore::new(
            &settings.platform.object_api,
            &platform_key,
        )))
        .hosts(HostDirectory::new(&settings.platform.host_list, &platform_key))
        .heartbeat_interval(Duration::from_millis(timing.heartbeat_ms))
        .suspect_after(Duration::from_millis(timing.suspect_ms))
        .append_spacing(Duration::from_millis(timing.append_spacing_ms))
        .stop_grace(Duration::from_secs(timing.stop_grace_s))
        .body_bytes(usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX))
        .bodies_bytes(usize::try_from(settings.limits.bodies_bytes).unwrap_or(usize::MAX))
        .connections(usize::try_from(settings.limits.connections).unwrap_or(usize::MAX))
        .header_timeout(Duration::from_millis(settings.limits.header_timeout_ms))
        .metrics(Arc::new(open_metrics(settings)?))
        .log(log.clone())
        .build();
    let process = EntryProcess::start(options).await?;
    info!(log, "entry ready"; "http" => %process.http_address()?);
    process.run(stop).await
}

/// Runs an agent until its planned stop has completed.
///
/// # Errors
///
/// Fails when a key file cannot be read or a port cannot be bound.
pub(crate) async fn run_agent(
    settings: &DaemonSettings,
    log: &Logger,
    stop: CancellationToken,
) -> Result<()> {
    let platform_key = read_key(&settings.platform.key_file)?;
    let backend = settings
        .backend
        .as_ref()
        .context("an agent needs a section [backend] in its settings")?;
    let timing = &settings.timing;
    let options = AgentOptions::builder()
        .host(settings.host.name.clone())
        .failure_domain(settings.host.failure_domain.clone())
        .service(backend.service.clone())
        .backend(backend.address.clone())
        .process(SocketAddr::new(settings.host.ip, settings.ports.process))
        .heartbeat(SocketAddr::new(settings.host.ip, settings.ports.heartbeat))
        .secret(ClusterSecret::from_file(&settings.cluster.key_file)?)
        .hosts(HostDirectory::new(&settings.platform.host_list, &platform_key))
        .heartbeat_interval(Duration::from_millis(timing.heartbeat_ms))
        .suspect_after(Duration::from_millis(timing.suspect_ms))
        .stop_grace(Duration::from_secs(timing.stop_grace_s))
        .log(log.clone())
        .build();
    let process = AgentProcess::start(options).await?;
    info!(log, "agent ready"; "process" => %process.process_address());
    process.run(stop).await
}

fn read_key(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read the key file {}", path.display()))?;
    Ok(text.trim().to_owned())
}

fn open_metrics(settings: &DaemonSettings) -> Result<StatsdClient> {
    let Some(address) = settings.metrics.address else {
        return Ok(StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink));
    };
    let socket =
        UdpSocket::bind(SocketAddr::new(settings.host.ip, 0)).context("cannot bind the metrics socket")?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(address, socket)?);
    Ok(StatsdClient::builder(METRICS_PREFIX, sink)
        .with_tag("host", settings.host.name.as_str())
        .build())
}
