//! Orders to engines: the entry that holds the controller's lease reconciles the models with the
//! configuration.

use std::sync::Arc;
use std::time::Duration;

use controller::{
    AgentStatus, ControllerLease, EngineAction, LeaseOptions, OrderPlanner, OrderTarget, OrderTiming,
};
use domain::{Generation, ModelState};
use errors::CallError;
use futures::future::join_all;
use slog::{debug, info, warn};
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::{EngineCommand, EngineOrder};

use crate::audit::AuditEvent;
use crate::context::EntryContext;
use crate::fleet::{PeerRecord, is_listed_leaving};
use crate::options::EntryOptions;
use crate::pool::{CALL_TIMEOUT, call_context, lost_answer};

/// Interval between renewals of the lease, as a factor of the suspicion time: 5 s at the default of 2.5 s.
const RENEW_FACTOR: u32 = 2;
/// Timeout of the lease, as a factor of the suspicion time: 15 s at the default.
const LEASE_TIMEOUT_FACTOR: u32 = 6;
/// Time for which a surplus must last before a model is unloaded, as a factor of the suspicion time: 30 s at
/// the default.
const SURPLUS_HOLD_FACTOR: u32 = 12;
/// Number of entries that try to acquire the lease. More of them would only add to the load of the object
/// API.
const CANDIDATES: usize = 3;
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// Tries to hold the controller's lease and sends orders to engines while it does, until the entry stops.
pub(crate) async fn order_engines(context: Arc<EntryContext>) {
    let mut lease = ControllerLease::new(lease_options(&context.options));
    let mut planner: Option<OrderPlanner> = None;
    let mut ticks = interval(context.options.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if context.cluster.is_leaving() {
            if let Err(error) = lease.release().await {
                warn!(context.options.log, "controller's lease not released"; "error" => %error);
            }
            return;
        }
        if lease.term(Instant::now()).is_none() && !is_candidate(&context) {
            continue;
        }
        if let Err(error) = lease.step(Instant::now()).await {
            debug!(context.options.log, "controller's lease not acquired or renewed"; "error" => %error);
        }
        let Some(term) = lease.term(Instant::now()) else {
            continue;
        };
        if planner.as_ref().is_none_or(|planner| planner.term() != term) {
            info!(context.options.log, "lease taken"; "term" => term);
            planner = Some(OrderPlanner::new(term, order_timing(&context.options)));
        }
        if let Some(planner) = &mut planner
            && context.is_fleet_view_complete()
            && !send_orders(&context, planner).await
        {
            lease.step_down();
        }
    }
}

fn lease_options(options: &EntryOptions) -> LeaseOptions {
    LeaseOptions::builder()
        .store(Arc::clone(&options.store))
        .host(options.host.clone())
        .holder(rand::random())
        .renew_interval(options.suspect_after * RENEW_FACTOR)
        .lease_timeout(options.suspect_after * LEASE_TIMEOUT_FACTOR)
        .build()
}

fn is_candidate(context: &EntryContext) -> bool {
    let own = context.incarnation();
    let members = context.cluster.members();
    let live = members.table.live();
    live.iter().take(CANDIDATES).any(|live| *live == own)
}

fn order_timing(options: &EntryOptions) -> OrderTiming {
    OrderTiming {
        first_backoff: FIRST_BACKOFF,
        heartbeat_delay: options.heartbeat_interval,
        surplus_hold: options.suspect_after * SURPLUS_HOLD_FACTOR,
    }
}

/// Sends the orders that follow from the current heartbeats. Returns `false` when an agent has reported a
/// later term.
async fn send_orders(context: &Arc<EntryContext>, planner: &mut OrderPlanner) -> bool {
    let Some(applied) = context.cluster.configuration() else {
        return true;
    };
    let fleet = context.cluster.fleet();
    let agents: Vec<_> = fleet
        .peers()
        .iter()
        .filter_map(|peer| agent_status(context, peer))
        .collect();
    let orders = planner.next_orders(&applied.content, &agents, Instant::now());
    let term = planner.term();
    if orders.iter().any(|(_, action)| *action == EngineAction::Announce) {
        info!(context.options.log, "controller"; "term" => term);
    }
    let sends = orders.iter().map(|(target, action)| {
        let peer = fleet.peer(&target.host);
        send_order(context, peer, target, action, term, applied.generation)
    });
    let answers = join_all(sends).await;
    let mut is_latest_term = true;
    for ((target, action), answer) in orders.iter().zip(answers) {
        is_latest_term &= !OrderPlanner::is_superseded(&answer);
        planner.handle_answer(target, action, &answer, Instant::now(), &mut rand::rng());
        record_answer(context, target, action, &answer, term);
    }
    is_latest_term
}

/// Returns the planner's input from an agent's heartbeat. Returns `None` for an agent that is unreachable and
/// not loading a model, and for an entry.
fn agent_status(context: &EntryContext, peer: &PeerRecord) -> Option<AgentStatus> {
    let heartbeat = &peer.heartbeat;
    let load = heartbeat.load.as_ref()?;
    let is_reachable = peer.received_at.elapsed() <= context.options.suspect_after;
    if !is_reachable && load.model != ModelState::Loading {
        return None;
    }
    Some(AgentStatus {
        target: OrderTarget {
            host: heartbeat.host.clone(),
            start: heartbeat.start,
        },
        service: load.service.clone(),
        failure_domain: heartbeat.failure_domain.clone(),
        model: load.model,
        healthy: is_reachable && load.healthy,
        leaving: heartbeat.leaving || is_listed_leaving(context, &heartbeat.host),
        calls: load.queued + load.running,
        received_at: peer.received_at,
    })
}

async fn send_order(
    context: &EntryContext,
    peer: Option<&PeerRecord>,
    target: &OrderTarget,
    action: &EngineAction,
    term: u64,
    generation: Generation,
) -> Result<(), CallError> {
    let Some(peer) = peer else {
        return Err(CallError::not_run(
            errors::ResultCode::PeerUnreachable,
            "the order was not sent: there is no recent heartbeat of the agent",
        ));
    };
    let address = peer.heartbeat.address;
    let command = match action {
        EngineAction::Announce => EngineCommand::Announce,
        EngineAction::Load(model) => EngineCommand::Load(model.clone()),
        EngineAction::Unload(model) => EngineCommand::Unload(model.clone()),
    };
    let order = EngineOrder {
        term,
        generation,
        agent_start: target.start,
        command,
    };
    let client = context.pool.agent(address).await?;
    match client.order_engine(call_context(CALL_TIMEOUT), order).await {
        Ok(answer) => answer,
        Err(error) => {
            context.pool.drop_connections(address);
            Err(lost_answer(&error))
        }
    }
}

fn record_answer(
    context: &Arc<EntryContext>,
    target: &OrderTarget,
    action: &EngineAction,
    answer: &Result<(), CallError>,
    term: u64,
) {
    let (command_name, model) = match action {
        EngineAction::Announce => return,
        EngineAction::Load(model) => ("load", model),
        EngineAction::Unload(model) => ("unload", model),
    };
    if let Err(error) = answer {
        info!(context.options.log, "order refused"; "host" => %target.host, "command" => command_name, "term" => term,
            "code" => error.code.number(), "run" => ?error.run);
        return;
    }
    let subject = format!("{model} at {}", target.host);
    let event = AuditEvent::system(
        &context.options.host,
        command_name,
        subject,
        format!("term {term}"),
    );
    record_event(context, event);
}

/// Writes an event of the audit trail in a separate task, so that it does not delay the renewal of the lease.
fn record_event(context: &Arc<EntryContext>, event: AuditEvent) {
    let context = Arc::clone(context);
    tokio::spawn(async move { event.write_logged(&context).await });
}
