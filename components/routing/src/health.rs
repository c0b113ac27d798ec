//! Failures and silence of the backend servers of one service, as one entry observes them.
//!
//! Load pattern: for some seconds, one server in five leaves two requests in five without an answer, resets their
//! connections or sends bytes that are no answer, while its health probes are good and the others serve well. A caller
//! finds out only at its time limit. Answers therefore go before probes: a request that is silent for many times the
//! usual time counts as failed while it still waits. The risk of a server is a share, so that it gets less by degrees,
//! and what was observed loses weight, so that it is tried again. If many servers fail at once, the cause lies elsewhere:
//! only the worst of a service and of a failure domain are held to be at fault.

use crate::directory::{ServerDirectory, ServerKey};

/// Weight of one answered or failed request.
const RUN_WEIGHT: u64 = 1_000;
/// Weight of the answers that every server has beside its own.
const PRIOR_WEIGHT: u64 = 2 * RUN_WEIGHT;
/// Interval in milliseconds after which what was observed of a server has lost half of its weight.
const HALF_LIFE_MS: u64 = 2_500;
/// Age at which what was observed of a server counts no longer, in half-lives.
const MAX_HALF_LIVES: u64 = 10;
/// Limit on the weight of the answers of one server; it keeps a fault from being hidden by many earlier answers.
const MAX_WEIGHT: u64 = 16 * RUN_WEIGHT;
/// Number of usual times until an answer begins after which a request counts as silent.
const SILENCE_FACTOR: u64 = 8;
/// Shortest time in milliseconds after which a request counts as silent.
const MIN_SILENCE_MS: u64 = 250;
/// Divisor of the weight of a new answer in the usual time until an answer begins.
const MEAN_SHARE: u64 = 32;
/// Divisor of the number of servers of a service that gives how many may be held to be at fault.
const SERVICE_SHARE_DIVISOR: usize = 3;
/// Divisor of the number of servers of a failure domain that gives how many may be held to be at fault.
const DOMAIN_SHARE_DIVISOR: usize = 2;
/// Risk in thousandths below which a server counts as sound, so that it is tried again.
const SOUND_PERMILLE: u64 = 50;
/// Certainty, in thousandths.
const CERTAIN_PERMILLE: u64 = 1_000;

/// How a request to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer began after some milliseconds.
    Answered {
        /// Time from the dispatch of the request.
        after_ms: u64,
    },
    /// No usable answer was received, or it broke off.
    Failed,
}

/// What was observed of one server.
#[derive(Debug, Clone, Copy)]
struct ServerHealth {
    key: ServerKey,
    runs: u64,
    failures: u64,
    updated_at_ms: u64,
}

impl ServerHealth {
    /// Returns the weights of all requests and of those that failed.
    fn weights(&self, now_ms: u64) -> (u64, u64) {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms);
        let halves = age_ms / HALF_LIFE_MS;
        if halves >= MAX_HALF_LIVES {
            return (0, 0);
        }
        // Linear between two half-lives.
        let rest = 2 * HALF_LIFE_MS - age_ms % HALF_LIFE_MS;
        let faded = |weight: u64| (weight >> halves) * rest / (2 * HALF_LIFE_MS);
        (faded(self.runs), faded(self.failures))
    }

    fn record(&mut self, is_failure: bool, now_ms: u64) {
        let (runs, failures) = self.weights(now_ms);
        let (runs, failures) = if runs > MAX_WEIGHT - RUN_WEIGHT {
            (
                MAX_WEIGHT - RUN_WEIGHT,
                failures * (MAX_WEIGHT - RUN_WEIGHT) / runs,
            )
        } else {
            (runs, failures)
        };
        self.runs = runs + RUN_WEIGHT;
        self.failures = failures + if is_failure { RUN_WEIGHT } else { 0 };
        self.updated_at_ms = now_ms;
    }
}

/// A request whose answer has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingRun {
    key: ServerKey,
    sent_at_ms: u64,
}

/// A server that is held to be at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRisk {
    /// The server.
    pub key: ServerKey,
    /// Probability that a request to it fails, in thousandths.
    pub permille: u64,
}

/// Failures and silence of the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    /// Servers that have failed lately, sorted by key.
    servers: Vec<ServerHealth>,
    waiting: Vec<WaitingRun>,
    usual_ms_scaled: u64,
}

impl HealthTracker {
    /// Records that a request has been sent to a server.
    pub fn begin(&mut self, key: ServerKey, now_ms: u64) {
        let sent_at_ms = now_ms;
        self.waiting.push(WaitingRun { key, sent_at_ms });
    }

    /// Records that a request to a server no longer waits, and how it has ended; `None` if the caller has left or the
    /// server has refused it. `sent_at_ms` is the time that was passed to [`Self::begin`].
    pub fn end(&mut self, key: ServerKey, sent_at_ms: u64, outcome: Option<RunOutcome>, now_ms: u64) {
        let run = WaitingRun { key, sent_at_ms };
        if let Some(index) = self.waiting.iter().position(|waiting| *waiting == run) {
            self.waiting.swap_remove(index);
        }
        let is_silent = now_ms.saturating_sub(sent_at_ms) > self.silence_ms();
        // A caller that leaves a silent server has got no answer.
        if let Some(outcome) = outcome.or(is_silent.then_some(RunOutcome::Failed)) {
            self.record(key, outcome, now_ms);
        }
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, key: ServerKey, outcome: RunOutcome, now_ms: u64) {
        let found = self.servers.binary_search_by_key(&key, |server| server.key);
        match (found, outcome) {
            (Ok(index), _) => {
                self.servers[index].record(outcome == RunOutcome::Failed, now_ms);
            }
            (Err(index), RunOutcome::Failed) => {
                let mut server = ServerHealth {
                    key,
                    runs: 0,
                    failures: 0,
                    updated_at_ms: now_ms,
                };
                server.record(true, now_ms);
                self.servers.insert(index, server);
            }
            (Err(_), RunOutcome::Answered { .. }) => {}
        }
        if let RunOutcome::Answered { after_ms } = outcome {
            let scaled = after_ms.saturating_mul(MEAN_SHARE);
            self.usual_ms_scaled = if self.usual_ms_scaled == 0 {
                scaled
            } else {
                self.usual_ms_scaled - self.usual_ms_scaled / MEAN_SHARE + after_ms
            };
        }
    }

    /// Returns the servers that are held to be at fault, sorted by key.
    pub fn risks(&self, directory: &ServerDirectory, service: &str, now_ms: u64) -> Vec<ServerRisk> {
        let mut risks = self.suspects(now_ms);
        if risks.is_empty() {
            return risks;
        }
        risks.sort_by_key(|risk| (u64::MAX - risk.permille, risk.key));
        let listed = directory.ready(service);
        let mut servers: Vec<(ServerKey, &str)> = listed
            .map(|(key, server)| (key, server.failure_domain.as_str()))
            .collect();
        servers.sort_unstable();
        let mut faulty: Vec<&str> = Vec::new();
        risks.retain(|risk| {
            let Ok(index) = servers.binary_search_by_key(&risk.key, |(key, _)| *key) else {
                return false;
            };
            let domain = servers[index].1;
            let members = servers.iter().filter(|(_, of)| *of == domain).count();
            faulty.push(domain);
            faulty.iter().filter(|of| **of == domain).count() <= members / DOMAIN_SHARE_DIVISOR
        });
        risks.truncate(servers.len() / SERVICE_SHARE_DIVISOR);
        risks.sort_by_key(|risk| risk.key);
        risks
    }

    /// Returns the servers that have failed or are silent, in any order.
    fn suspects(&self, now_ms: u64) -> Vec<ServerRisk> {
        let mut counts: Vec<(ServerKey, u64, u64)> = Vec::new();
        for server in &self.servers {
            let (runs, failures) = server.weights(now_ms);
            if failures > 0 {
                counts.push((server.key, runs, failures));
            }
        }
        let silence_ms = self.silence_ms();
        let is_silent = |run: &&WaitingRun| now_ms.saturating_sub(run.sent_at_ms) > silence_ms;
        for run in self.waiting.iter().filter(is_silent) {
            match counts.iter_mut().find(|(key, ..)| *key == run.key) {
                Some((_, runs, failures)) => {
                    *runs += RUN_WEIGHT;
                    *failures += RUN_WEIGHT;
                }
                None => counts.push((run.key, RUN_WEIGHT, RUN_WEIGHT)),
            }
        }
        let risks = counts.into_iter().map(|(key, runs, failures)| ServerRisk {
            key,
            permille: failures * CERTAIN_PERMILLE / (runs + PRIOR_WEIGHT),
        });
        risks.filter(|risk| risk.permille >= SOUND_PERMILLE).collect()
    }

    /// Removes the servers that are no longer listed.
    pub fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        let mut keys: Vec<ServerKey> = directory.all().map(|(key, _)| key).collect();
        keys.sort_unstable();
        self.servers
            .retain(|server| keys.binary_search(&server.key).is_ok());
    }

    fn silence_ms(&self) -> u64 {
        (self.usual_ms_scaled / MEAN_SHARE * SILENCE_FACTOR).max(MIN_SILENCE_MS)
    }
}
