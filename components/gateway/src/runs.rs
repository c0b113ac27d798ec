//! What an entry learns from the runs of its requests: how they begin, go on and fail.

use std::sync::Arc;

use routing::{PaceSample, RunOutcome, ServerKey, StartSample};

use crate::state::{EntryState, lock};

/// A request whose answer from a backend server has not begun. Dropping it records how it has ended.
#[derive(Debug)]
pub(crate) struct RunWatch {
    entry: Arc<EntryState>,
    service: String,
    key: ServerKey,
    sent_at_ms: u64,
    is_stream: bool,
    outcome: Option<RunOutcome>,
}

impl RunWatch {
    /// Records that the answer has begun.
    pub(crate) fn answer(mut self) {
        let after_ms = self.entry.now_ms().saturating_sub(self.sent_at_ms);
        self.outcome = Some(RunOutcome::Answered { after_ms });
    }

    /// Records that the server has given no usable answer.
    pub(crate) const fn fail(&mut self) {
        self.outcome = Some(RunOutcome::Failed);
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if !self.entry.compares_runs {
            return;
        }
        let now_ms = self.entry.now_ms();
        let mut models = lock(&self.entry.models);
        let health = &mut models.of_service(&self.service).health;
        if self.is_stream {
            health.end(self.key, self.sent_at_ms, self.outcome, now_ms);
        } else if let Some(outcome) = self.outcome {
            health.record(self.key, outcome, now_ms);
        }
    }
}

impl EntryState {
    /// Records the pace of a stream that a backend server has sent.
    pub(crate) fn record_pace(&self, service: &str, key: ServerKey, sample: PaceSample) {
        let now_ms = self.now_ms();
        let mut models = lock(&self.models);
        let model = models.of_service(service);
        if self.compares_runs {
            model.record_pace(key, sample, now_ms);
        } else {
            model.record_mean_pace(sample);
        }
    }

    /// Watches a request that is sent to a backend server until its answer begins. Silence tells of a fault only where
    /// answers are streams: other requests may take long by themselves.
    pub(crate) fn watch_run(self: &Arc<Self>, service: &str, key: ServerKey, is_stream: bool) -> RunWatch {
        let sent_at_ms = self.now_ms();
        if is_stream && self.compares_runs {
            let mut models = lock(&self.models);
            models.of_service(service).health.begin(key, sent_at_ms);
        }
        RunWatch {
            entry: Arc::clone(self),
            service: service.to_owned(),
            key,
            sent_at_ms,
            is_stream,
            outcome: None,
        }
    }

    /// Records that a backend server has failed to bring an answer to its end.
    pub(crate) fn record_broken_run(&self, service: &str, key: ServerKey) {
        if !self.compares_runs {
            return;
        }
        let now_ms = self.now_ms();
        let mut models = lock(&self.models);
        let health = &mut models.of_service(service).health;
        health.record(key, RunOutcome::Failed, now_ms);
    }

    /// Records the beginning of a stream of a backend server.
    pub(crate) fn record_start(&self, service: &str, key: ServerKey, sample: StartSample) {
        if !self.compares_runs {
            return;
        }
        let now_ms = self.now_ms();
        lock(&self.models)
            .of_service(service)
            .record_start(key, sample, now_ms);
    }
}
