//! Process port of the agent: serves the requests of program owners, the controller and operators.

use std::sync::Arc;
use std::time::Duration;

use domain::{AttemptKey, CallKey, ProgramKey, TenureNumber, TimeMillis};
use futures::StreamExt as _;
use slog::info;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tokio_util::sync::CancellationToken;
use wire::{
    AgentPort, DispatchOrder, DispatchReceipt, EngineOrder, OutputChunk, PeerListener, PortResult,
    SettledCall,
};

use crate::orders::submit_order;
use crate::process::begin_drain;
use crate::shared::AgentShared;

/// Longest wait for new output in one `read_attempt`, whatever the caller requests.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// Serves every connection until the token is cancelled.
pub(crate) async fn serve_port(shared: Arc<AgentShared>, listener: PeerListener, stop: CancellationToken) {
    let accepting = listener.accept_all(move |transport| {
        let server = AgentServer {
            shared: Arc::clone(&shared),
        };
        let answers = BaseChannel::with_defaults(transport).execute(server.serve());
        let stop = stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(answers.for_each_concurrent(None, |answer| answer))
                .await;
        });
    });
    accepting.await;
}

/// Serves the requests of one connection.
#[derive(Clone)]
struct AgentServer {
    shared: Arc<AgentShared>,
}

impl AgentPort for AgentServer {
    async fn dispatch_call(self, _: Context, order: DispatchOrder) -> PortResult<DispatchReceipt> {
        let attempt = order.attempt();
        let receipt = self.shared.call_table().dispatch(order, TimeMillis::now());
        self.shared.work.notify_waiters();
        if let Err(error) = &receipt {
            info!(self.shared.options.log, "dispatch refused"; "attempt" => %attempt,
                "code" => error.code.number(), "run" => ?error.run);
        }
        receipt
    }

    async fn read_attempt(
        self,
        _: Context,
        attempt: AttemptKey,
        offset: u64,
        wait_ms: u64,
    ) -> PortResult<OutputChunk> {
        let output = self.shared.call_table().output(attempt)?;
        output
            .read(offset, Duration::from_millis(wait_ms).min(MAX_READ_WAIT))
            .await
    }

    async fn settle_call(
        self,
        _: Context,
        call: CallKey,
        tenure: TenureNumber,
        agent_start: u64,
    ) -> PortResult<SettledCall> {
        let settled = self
            .shared
            .call_table()
            .settle(call, tenure, agent_start, TimeMillis::now());
        info!(self.shared.options.log, "call settled"; "call" => %call, "tenure" => %tenure,
            "result" => settlement_name(&settled));
        settled
    }

    async fn cancel_call(self, _: Context, call: CallKey, tenure: TenureNumber) -> PortResult<()> {
        let cancelled = self.shared.call_table().cancel(call, tenure, TimeMillis::now());
        self.shared.work.notify_waiters();
        cancelled
    }

    async fn release_program(self, _: Context, program: ProgramKey, tenure: TenureNumber) -> PortResult<()> {
        let released = self
            .shared
            .call_table()
            .release(program, tenure, TimeMillis::now());
        self.shared.released.notify_one();
        released
    }

    async fn order_engine(self, _: Context, order: EngineOrder) -> PortResult<()> {
        submit_order(&self.shared, order).await
    }

    async fn drain_host(self, _: Context) -> PortResult<()> {
        begin_drain(&self.shared);
        Ok(())
    }
}

const fn settlement_name(settled: &PortResult<SettledCall>) -> &'static str {
    match settled {
        Ok(SettledCall::Running(_)) => "running",
        Ok(SettledCall::Finished(_)) => "finished",
        Ok(SettledCall::Refused) => "refused",
        Ok(SettledCall::Unknown) => "unknown",
        Err(_) => "stale tenure",
    }
}
