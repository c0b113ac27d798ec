//! `azuretide status`: shows processes, queues, programs and budgets.

use domain::{MemberState, ProgramPhase};

use crate::cli::EntryOptions;
use crate::client::{AdminClient, AdminRequest};
use crate::error::ToolError;
use crate::output::{format_table, serialized_name, text_or_dash};
use crate::response::{BudgetRow, HostRow, ProgramRow, StatusResponse};

/// Shows the state of the system as reported by one entry.
pub(crate) async fn run(options: &EntryOptions) -> Result<String, ToolError> {
    let client = AdminClient::new(options)?;
    let response = client.call(&AdminRequest::get("status")).await?;
    if options.json {
        return Ok(format!("{}\n", response.text()));
    }
    let status: StatusResponse = response.decode()?;
    let programs: Vec<ProgramRow> = client.call(&AdminRequest::get("programs")).await?.decode()?;
    Ok(format!(
        "{}\n{}\n{}",
        summary(&status, &programs),
        host_table(&status.hosts),
        budget_table(&status.budgets)
    ))
}

fn summary(status: &StatusResponse, programs: &[ProgramRow]) -> String {
    let behind = status
        .hosts
        .iter()
        .filter(|host| host.generation < status.generation)
        .count();
    let owners = status.members.live().len();
    let is_sealed = |state: &MemberState| matches!(state, MemberState::Sealed { .. });
    let sealed = status
        .members
        .members
        .iter()
        .filter(|member| is_sealed(&member.state))
        .count();
    let running = programs
        .iter()
        .filter(|program| program.phase == ProgramPhase::Running)
        .count();
    let open: u64 = programs.iter().map(|program| program.open_calls).sum();
    format!(
        "generation {} ({behind} of {} processes behind)\n\
         owners of programs: {owners} live, {sealed} sealed\n\
         programs: {running} running, {open} calls open\n",
        status.generation,
        status.hosts.len(),
    )
}

fn host_table(hosts: &[HostRow]) -> String {
    let header = [
        "HOST",
        "ROLE",
        "FAILURE DOMAIN",
        "GENERATION",
        "STATE",
        "HEARD",
        "SERVICE",
        "QUEUED",
        "RUNNING",
        "CACHE",
    ];
    let rows = hosts.iter().map(|host| {
        let load = host.load.as_ref();
        [
            host.name.to_string(),
            serialized_name(&host.role),
            host.failure_domain.to_string(),
            host.generation.to_string(),
            state_of(host).to_owned(),
            format!("{} ms ago", host.heard_ms),
            text_or_dash(load.map(|load| &load.service)),
            text_or_dash(load.map(|load| load.queued)),
            text_or_dash(load.map(|load| format!("{}/{}", load.running, load.capacity))),
            text_or_dash(load.map(|load| format!("{}/{}", load.cache_used, load.cache_size))),
        ]
    });
    format_table(header, rows)
}

fn state_of(host: &HostRow) -> &'static str {
    match &host.load {
        _ if host.leaving => "leaving",
        Some(load) if !load.healthy => "unhealthy",
        Some(load) if !load.model.is_serving() => "no model",
        _ => "live",
    }
}

fn budget_table(budgets: &[BudgetRow]) -> String {
    let rows = budgets.iter().map(|budget| {
        [
            budget.team.to_string(),
            budget.limit.to_string(),
            budget.spent.to_string(),
            budget.left.to_string(),
        ]
    });
    format_table(["TEAM", "LIMIT", "SPENT", "LEFT"], rows)
}
