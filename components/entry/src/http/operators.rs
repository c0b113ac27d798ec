//! Reports for operators on hosts, members and budgets.

use domain::{
    FailureDomain, Generation, HostName, HostRole, LoadDigest, MemberTable, MicroUnits, TeamName, TimeMillis,
};
use errors::CallError;
use serde::Serialize;
use tokio::time::Instant;

use crate::context::EntryContext;

/// State of the cluster as received by this entry.
#[derive(Debug, Serialize)]
pub(crate) struct StatusBody {
    generation: Generation,
    hosts: Vec<HostBody>,
    members: MemberTable,
    budgets: Vec<UsageReport>,
}

/// Latest heartbeat of one process.
#[derive(Debug, Serialize)]
struct HostBody {
    name: HostName,
    role: HostRole,
    failure_domain: FailureDomain,
    start: u64,
    generation: Generation,
    leaving: bool,
    heard_ms: u64,
    load: Option<LoadDigest>,
}

/// Budget of one team in the current window.
#[derive(Debug, Serialize)]
pub(crate) struct UsageReport {
    team: TeamName,
    window_start: TimeMillis,
    limit: MicroUnits,
    spent: MicroUnits,
    reserved: MicroUnits,
    left: MicroUnits,
}

impl StatusBody {
    /// Collects the status and omits budgets that cannot be read.
    pub(crate) async fn collect(context: &EntryContext) -> Self {
        let mut budgets = Vec::new();
        if let Some(applied) = context.cluster.configuration() {
            for team in &applied.content.teams {
                budgets.extend(team_usage(context, &team.name).await.ok());
            }
        }
        Self {
            generation: context.cluster.generation(),
            hosts: host_bodies(context),
            members: context.cluster.members().table.clone(),
            budgets,
        }
    }
}

fn host_bodies(context: &EntryContext) -> Vec<HostBody> {
    let now = Instant::now();
    let fleet = context.cluster.fleet();
    let bodies = fleet.peers().iter().map(|peer| HostBody {
        name: peer.heartbeat.host.clone(),
        role: peer.heartbeat.role,
        failure_domain: peer.heartbeat.failure_domain.clone(),
        start: peer.heartbeat.start,
        generation: peer.heartbeat.generation,
        leaving: peer.heartbeat.leaving,
        heard_ms: u64::try_from(now.duration_since(peer.received_at).as_millis()).unwrap_or(u64::MAX),
        load: peer.heartbeat.load.clone(),
    });
    bodies.collect()
}

/// Returns the budget of a team.
///
/// # Errors
///
/// Fails when the object API does not answer.
pub(crate) async fn team_usage(context: &EntryContext, team: &TeamName) -> Result<UsageReport, CallError> {
    let report = context.budget().report(team).await?;
    Ok(UsageReport {
        team: team.clone(),
        window_start: report.window_start,
        limit: report.limit,
        spent: report.spent,
        reserved: report.reserved,
        left: report.left,
    })
}
