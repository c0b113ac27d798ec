//! Counters and latency histograms, served as text.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_S: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// The metrics of a process.
#[derive(Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Requests by their outcome.
    pub(crate) requests: IntCounterVec,
    /// Requests by what their API key showed.
    pub(crate) access: IntCounterVec,
    /// Attempts at backend servers by their outcome.
    pub(crate) attempts: IntCounterVec,
    /// Permits for limited backend servers by outcome.
    pub(crate) permits: IntCounterVec,
    /// What was done to keep the memory for callers within its bounds, by outcome.
    pub(crate) memory: IntCounterVec,
    /// Bytes held for callers.
    pub(crate) held_bytes: IntGauge,
    /// Open connections of callers.
    pub(crate) caller_connections: IntGauge,
    /// Permits within the quotas of workspaces by outcome.
    pub(crate) quota_permits: IntCounterVec,
    /// Permits for requests that are on trial by outcome.
    pub(crate) trials: IntCounterVec,
    /// Time from the arrival of a request until the head of its answer, in seconds.
    pub(crate) first_byte: Histogram,
    /// Time from the end of a turn's stream until the ledger hosts have stored the turn, in seconds.
    pub(crate) keep: Histogram,
    /// Time until the ledger hosts answered a reservation, in seconds.
    pub(crate) reserve: Histogram,
    /// Log lines about single requests that exceeded the rate limit.
    pub(crate) log_lines_dropped: IntCounter,
    /// Version of the configuration in force.
    pub(crate) configuration_version: IntGauge,
    /// Unix time at which the configuration was last known to be the newest one, in seconds.
    pub(crate) configuration_confirmed: IntGauge,
    /// Backend servers in the directory.
    pub(crate) backend_servers: IntGauge,
    /// Requests of known sessions by the cause for which they changed their server.
    pub(crate) session_moves: IntCounterVec,
    /// Objects of the platform's store that cannot be decoded, by kind.
    pub(crate) unreadable_objects: IntCounterVec,
    /// Changes of the backend servers that this entry holds to be at fault.
    pub(crate) server_faults: IntCounterVec,
    /// Turns stored on this ledger host.
    pub(crate) kept_turns: IntGauge,
}

impl ProcessMetrics {
    /// Creates and registers the metrics of a process, all at zero.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("azuretide".to_owned()), None).expect("the prefix is valid");
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        let counters = |name: &str, help: &str| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), &["outcome"]))
        };
        Self {
            requests: counters("requests_total", "Requests by outcome"),
            access: counters("access_total", "Requests by what their API key showed"),
            attempts: counters("attempts_total", "Attempts at backend servers by outcome"),
            permits: counters("permits_total", "Permits for limited backend servers by outcome"),
            memory: counters(
                "memory_total",
                "Refusals and closed connections that keep memory in bounds by outcome",
            ),
            held_bytes: register(
                &registry,
                IntGauge::new("held_bytes", "Bytes held for callers' connections"),
            ),
            caller_connections: register(
                &registry,
                IntGauge::new("caller_connections", "Open connections of callers"),
            ),
            quota_permits: counters(
                "quota_permits_total",
                "Permits within the quotas of workspaces by outcome",
            ),
            trials: counters(
                "trials_total",
                "Permits for requests under which backend servers crashed together by outcome",
            ),
            first_byte: histogram("first_byte_seconds", "Time until the head of an answer"),
            keep: histogram("keep_seconds", "Time until a turn was kept"),
            reserve: histogram("reserve_seconds", "Time until a reservation was answered"),
            log_lines_dropped: register(
                &registry,
                IntCounter::new(
                    "log_lines_dropped_total",
                    "Log lines dropped because of their volume",
                ),
            ),
            configuration_version: register(
                &registry,
                IntGauge::new("configuration_version", "Version of the configuration in force"),
            ),
            configuration_confirmed: register(
                &registry,
                IntGauge::new(
                    "configuration_confirmed_timestamp_seconds",
                    "Unix time at which the configuration was last known to be the newest one",
                ),
            ),
            backend_servers: register(
                &registry,
                IntGauge::new("backend_servers", "Listed backend servers"),
            ),
            session_moves: register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "session_moves_total",
                        "Requests of known sessions by why they changed their server",
                    ),
                    &["cause"],
                ),
            ),
            unreadable_objects: register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "unreadable_objects_total",
                        "Objects of the store that cannot be decoded, by kind",
                    ),
                    &["kind"],
                ),
            ),
            server_faults: counters(
                "server_faults_total",
                "Backend servers held to be at fault, by begin and end",
            ),
            kept_turns: register(
                &registry,
                IntGauge::new("kept_turns", "Turns kept by this ledger host"),
            ),
            registry,
        }
    }

    /// Sets the version of the configuration in force; larger versions than a gauge can hold are shown as its
    /// maximum.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Counts an object of the platform's store that cannot be decoded.
    pub fn count_unreadable(&self, kind: &str) {
        self.unreadable_objects.with_label_values(&[kind]).inc();
    }

    /// Sets how long ago the configuration was known to be the newest one.
    pub fn set_configuration_confirmed(&self, age: Duration) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let confirmed_s = now.saturating_sub(age).as_secs();
        self.configuration_confirmed
            .set(i64::try_from(confirmed_s).unwrap_or(i64::MAX));
    }

    /// Sets the number of turns that this ledger host stores.
    pub fn set_kept_turns(&self, turns: usize) {
        self.kept_turns.set(i64::try_from(turns).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format, or an empty string when they cannot be encoded.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<Metric>(registry: &Registry, metric: prometheus::Result<Metric>) -> Metric
where
    Metric: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("names and labels are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("names are unique");
    metric
}
