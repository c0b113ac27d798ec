//! Metrics of an entry, sent to a `StatsD` server.

use cadence::{Counted as _, Gauged as _, MetricResult, StatsdClient, Timed as _};
use domain::{CallOutcome, TimeMillis};
use slog::{Logger, debug};

use crate::owner::OpenCall;

/// Sends the metrics of an entry and logs those that cannot be sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryMetrics<'a> {
    client: &'a StatsdClient,
    log: &'a Logger,
}

impl<'a> EntryMetrics<'a> {
    /// Creates the metrics over a client.
    pub(crate) const fn new(client: &'a StatsdClient, log: &'a Logger) -> Self {
        Self { client, log }
    }

    /// Counts a finished call and sends the time since it was queued, in milliseconds.
    pub(crate) fn record_call(self, call: &OpenCall, outcome: &CallOutcome) {
        let service = call.request.service.as_str();
        let code = match outcome {
            CallOutcome::Answered(_) => "0".to_owned(),
            CallOutcome::Failed(error) => error.code.number().to_string(),
        };
        let count = self
            .client
            .count_with_tags("calls", 1)
            .with_tag("service", service)
            .with_tag("code", &code);
        self.log_failure(count.try_send());
        let elapsed_ms = TimeMillis::now().since(call.queued_at);
        let time = self
            .client
            .time_with_tags("call.time", elapsed_ms)
            .with_tag("service", service);
        self.log_failure(time.try_send());
    }

    /// Counts an adoption from a sealed incarnation and the programs taken over.
    pub(crate) fn record_adoption(self, programs: usize) {
        self.log_failure(self.client.count("adoptions", 1));
        self.log_failure(
            self.client
                .count("adopted.programs", i64::try_from(programs).unwrap_or(i64::MAX)),
        );
    }

    /// Counts a request that was refused because its body had no room.
    pub(crate) fn record_refused_body(self) {
        self.log_failure(self.client.count("bodies.refused", 1));
    }

    /// Sets the number of programs that this entry holds in memory.
    pub(crate) fn record_programs(self, programs: usize) {
        self.log_failure(self.client.gauge("programs", programs as u64));
    }

    fn log_failure<Metric>(self, sent: MetricResult<Metric>) {
        if let Err(error) = sent {
            debug!(self.log, "metric not sent"; "error" => %error);
        }
    }
}
