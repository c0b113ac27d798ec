//! Lifecycle of an entry: start, run, rejoin after a seal, planned stop.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use budget::BudgetManager;
use domain::IncarnationId;
use futures::StreamExt as _;
use journal::{JournalError, JournalWriter};
use slog::{info, warn};
use tarpc::server::{BaseChannel, Channel as _};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use wire::{HeartbeatPublisher, HeartbeatSubscriber, OwnerPort as _, PeerListener};

use crate::adoption::run_adoption;
use crate::cluster::ClusterView;
use crate::configuration::{fetch_announced_configuration, install_owner, watch_configuration};
use crate::context::EntryContext;
use crate::fleet::{follow_host_list, publish_heartbeats, record_heartbeats};
use crate::http::serve_http;
use crate::member::{
    announce_seal, available_successors, follow_members, join_members, record_seal, suspect_members,
};
use crate::options::EntryOptions;
use crate::orders::order_engines;
use crate::owner::{OwnerCore, OwnerServer};
use crate::upkeep::{fold_journals, run_upkeep};

/// Limit of the records that wait to be written to the journal, in bytes.
const JOURNAL_BUFFER_BYTES: usize = 16 * 1024 * 1024;

/// Number of heartbeat intervals between the start of leaving and the first check of running calls, in which
/// the other processes receive a heartbeat that announces it.
const LEAVING_NOTICE_HEARTBEATS: u32 = 2;
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A started entry.
#[derive(Debug)]
pub struct EntryProcess {
    context: Arc<EntryContext>,
    http: TcpListener,
    tasks: JoinSet<()>,
}

impl EntryProcess {
    /// Binds the ports, joins the member table and starts the background tasks.
    ///
    /// Waits until the object API answers.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound.
    pub async fn start(options: EntryOptions) -> Result<Self> {
        let http = TcpListener::bind(options.http)
            .await
            .with_context(|| format!("cannot bind the HTTP port {}", options.http))?;
        let listener = PeerListener::bind(options.process, options.secret.clone()).await?;
        let process_address = listener.local_address()?;
        let publisher = HeartbeatPublisher::bind(options.heartbeat, options.secret.clone())?;
        let (subscriber, heartbeats) = HeartbeatSubscriber::start(options.secret.clone())?;
        let cluster = ClusterView::new();
        let incarnation = join_members(&options, process_address, &cluster).await;
        let owner = Arc::new(new_owner(&options, incarnation));
        let context = Arc::new(EntryContext::new(options, process_address, cluster, owner));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_peers(Arc::clone(&context), listener));
        tasks.spawn(publish_heartbeats(Arc::clone(&context), publisher));
        tasks.spawn(record_heartbeats(Arc::clone(&context), heartbeats));
        tasks.spawn(follow_host_list(Arc::clone(&context), subscriber));
        tasks.spawn(follow_members(Arc::clone(&context)));
        tasks.spawn(watch_configuration(Arc::clone(&context)));
        tasks.spawn(fetch_announced_configuration(Arc::clone(&context)));
        tasks.spawn(suspect_members(Arc::clone(&context)));
        tasks.spawn(run_adoption(Arc::clone(&context)));
        tasks.spawn(rejoin_when_sealed(Arc::clone(&context)));
        tasks.spawn(order_engines(Arc::clone(&context)));
        tasks.spawn(run_upkeep(Arc::clone(&context)));
        tasks.spawn(fold_journals(Arc::clone(&context)));
        Ok(Self { context, http, tasks })
    }

    /// Returns the address of the HTTP port.
    ///
    /// # Errors
    ///
    /// Fails when the socket has been closed.
    pub fn http_address(&self) -> Result<std::net::SocketAddr> {
        Ok(self.http.local_addr()?)
    }

    /// Serves until the token is cancelled or an operator drains the host, then leaves the cluster and stops.
    ///
    /// # Errors
    ///
    /// Fails when this entry cannot record or write the seal of its own journal, which peers do later, or
    /// when it cannot return its budget and has no successor.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        let serving = CancellationToken::new();
        let server = tokio::spawn(serve_http(Arc::clone(&self.context), self.http, serving.clone()));
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.context.drain.notified() => {}
        }
        let leave_result = leave(&self.context).await;
        serving.cancel();
        let _ = timeout(self.context.options.stop_grace, server).await;
        self.tasks.shutdown().await;
        info!(self.context.options.log, "stopped"; "incarnation" => self.context.incarnation().0);
        leave_result
    }
}

fn new_owner(options: &EntryOptions, incarnation: IncarnationId) -> OwnerCore {
    let store = Arc::clone(&options.store);
    let journal = JournalWriter::open(
        Arc::clone(&store),
        incarnation,
        options.append_spacing,
        JOURNAL_BUFFER_BYTES,
    );
    OwnerCore::new(incarnation, journal, BudgetManager::new(store, incarnation))
}

async fn serve_peers(context: Arc<EntryContext>, listener: PeerListener) {
    let server = OwnerServer::new(context);
    listener
        .accept_all(move |transport| {
            let channel = BaseChannel::with_defaults(transport);
            let answers = channel.execute(server.clone().serve());
            tokio::spawn(answers.for_each(|answer| async {
                tokio::spawn(answer);
            }));
        })
        .await;
}

/// Fences the owner as soon as its journal is sealed and joins as a new incarnation.
async fn rejoin_when_sealed(context: Arc<EntryContext>) {
    loop {
        let owner = context.owner();
        wait_sealed(&context, &owner).await;
        if context.cluster.is_leaving() {
            return;
        }
        warn!(context.options.log, "fenced"; "incarnation" => owner.incarnation().0);
        owner.fence();
        let incarnation = join_members(&context.options, context.process_address, &context.cluster).await;
        let next_owner = Arc::new(new_owner(&context.options, incarnation));
        install_owner(&context, next_owner);
    }
}

/// Waits until an append has failed because of the seal or the member table shows it.
async fn wait_sealed(context: &EntryContext, owner: &OwnerCore) {
    let mut members = context.cluster.watch_members();
    loop {
        if context.cluster.members().table.is_sealed(owner.incarnation()) {
            return;
        }
        tokio::select! {
            _ = owner.journal().wait_sealed() => return,
            changed = members.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Leaves the cluster: rejects new programs, waits for running calls and passes the programs to the
/// successors.
async fn leave(context: &Arc<EntryContext>) -> Result<()> {
    let options = &context.options;
    info!(options.log, "leaving"; "incarnation" => context.incarnation().0);
    context.cluster.set_leaving();
    sleep(options.heartbeat_interval * LEAVING_NOTICE_HEARTBEATS).await;
    let owner = context.owner();
    owner.begin_closing();
    let _ = timeout(options.stop_grace, wait_idle(&owner)).await;
    let own = owner.incarnation();
    if available_successors(context, &context.cluster.members().table, own).is_empty() {
        warn!(options.log, "no heir"; "programs" => owner.table.all().len());
        owner.fence();
        return owner.budget().close().await.map_err(Into::into);
    }
    owner.fence();
    if let Err(error) = owner.budget().close().await {
        warn!(options.log, "budget not returned"; "error" => %error);
    }
    let successors = record_seal(context, own, |table| available_successors(context, table, own)).await?;
    match owner.journal().seal_own(successors.clone()).await {
        // A successor seals the journal before it reads it, which may have happened first.
        Ok(()) | Err(JournalError::Sealed { .. }) => {}
        Err(error) => return Err(error.into()),
    }
    announce_seal(context, own, &successors).await;
    Ok(())
}

async fn wait_idle(owner: &OwnerCore) {
    while owner.table.all().iter().any(|cell| !cell.open_calls().is_empty()) {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
