//! Describes the hosts, backend servers and configuration of a testbed.

use bon::Builder;

use crate::engine::EngineSettings;

const KELANIMATCH_TEXT: &str = include_str!("../../deployments/kelanimatch.ini");
const SALISH_TEXT: &str = include_str!("../../deployments/salish.ini");
const DEMO_TEXT: &str = include_str!("../../deployments/demo.ini");

/// API key of the team `kelanimatch` in every deployment.
pub const KELANIMATCH_KEY: &str = "kelanimatch-key";
/// API key of the team `salish` in every deployment.
pub const SALISH_KEY: &str = "salish-key";

/// A host that runs an entry.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Name of the host.
    pub name: String,
    /// Failure domain in which the host stands.
    pub failure_domain: String,
}

impl EntryPlan {
    /// Creates the plan of a host that runs an entry.
    pub fn new(name: &str, failure_domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: failure_domain.to_owned(),
        }
    }
}

/// The stand-in that runs as a backend server.
#[derive(Debug, Clone)]
pub enum BackendKind {
    /// A model engine with its settings.
    Engine(EngineSettings),
    /// A tool or plain service, with the duration of each call in milliseconds.
    Service(u64),
}

/// A host that runs a backend server and its agent.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Name of the host.
    pub name: String,
    /// Failure domain in which the host stands.
    pub failure_domain: String,
    /// Name of the service in the configuration that the backend server provides.
    pub service: String,
    /// Stand-in that runs as the backend server.
    pub kind: BackendKind,
}

impl BackendPlan {
    /// Creates the plan of a host that runs a backend server.
    pub fn new(name: &str, failure_domain: &str, service: &str, kind: BackendKind) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: failure_domain.to_owned(),
            service: service.to_owned(),
            kind,
        }
    }
}

/// The processes that a testbed starts, with their configuration and timing.
#[derive(Debug, Clone, Builder)]
pub struct Deployment {
    /// Hosts that run entries.
    pub entries: Vec<EntryPlan>,
    /// Hosts that run backend servers.
    pub backends: Vec<BackendPlan>,
    /// Configuration text that is applied after the start.
    #[builder(into)]
    pub configuration: String,
    /// Keys and values of the section `[timing]` in the settings file of every host.
    #[builder(default = default_timing())]
    pub timing: Vec<(String, String)>,
    /// Delay in milliseconds until a change of the host list is visible to readers.
    #[builder(default)]
    pub host_list_lag_ms: u64,
    /// Delay of each call of the object API in milliseconds.
    #[builder(default)]
    pub object_delay_ms: u64,
}

fn default_timing() -> Vec<(String, String)> {
    let rows = [("heartbeat-ms", "100"), ("suspect-ms", "1000")];
    rows.map(|(key, value)| (key.to_owned(), value.to_owned()))
        .to_vec()
}

impl Deployment {
    /// Returns a small version of Kelanimatch's deployment: two entries, two engines, a tool and a plain
    /// service.
    pub fn kelanimatch() -> Self {
        let engine = || BackendKind::Engine(EngineSettings::default());
        Self::builder()
            .entries(vec![
                EntryPlan::new("entry-1", "colombo-1"),
                EntryPlan::new("entry-2", "colombo-2"),
            ])
            .backends(vec![
                BackendPlan::new("matcher-1", "colombo-1", "matcher", engine()),
                BackendPlan::new("matcher-2", "colombo-2", "matcher", engine()),
                BackendPlan::new("ledger-1", "colombo-1", "ledger", BackendKind::Service(5)),
                BackendPlan::new("notices-1", "colombo-2", "notices", BackendKind::Service(5)),
            ])
            .configuration(KELANIMATCH_TEXT)
            .build()
    }

    /// Returns a small version of Salish Hullworks's deployment: two entries, two engines that check fencing
    /// numbers, a tool and a plain service.
    pub fn salish() -> Self {
        let engine = || {
            BackendKind::Engine(EngineSettings {
                check_fencing: true,
                ..EngineSettings::default()
            })
        };
        Self::builder()
            .entries(vec![
                EntryPlan::new("entry-1", "seattle-1"),
                EntryPlan::new("entry-2", "tacoma-1"),
            ])
            .backends(vec![
                BackendPlan::new("surveyor-1", "seattle-1", "surveyor", engine()),
                BackendPlan::new("surveyor-2", "tacoma-1", "surveyor", engine()),
                BackendPlan::new("tides-1", "seattle-2", "tides", BackendKind::Service(5)),
                BackendPlan::new("invoices-1", "everett-1", "invoices", BackendKind::Service(5)),
            ])
            .configuration(SALISH_TEXT)
            .build()
    }

    /// Sets the fixed duration of a step of every engine, in microseconds.
    #[must_use]
    pub fn with_step_us(mut self, step_us: u64) -> Self {
        for backend in &mut self.backends {
            if let BackendKind::Engine(settings) = &mut backend.kind {
                settings.step_us = step_us;
            }
        }
        self
    }

    /// Replaces every occurrence of `from` in the configuration text by `to`.
    #[must_use]
    pub fn with_configuration_replaced(mut self, from: &str, to: &str) -> Self {
        self.configuration = self.configuration.replace(from, to);
        self
    }

    /// Returns the demo's deployment: both teams, two entries, four engines, a tool and a plain service.
    pub fn demo() -> Self {
        let engine = |check_fencing| {
            BackendKind::Engine(EngineSettings {
                check_fencing,
                step_us: 10_000,
                decode_us: 500,
                prefill_us: 50,
                load_lag_ms: 200,
                event_lag_ms: 200,
                event_gap: 5,
                ..EngineSettings::default()
            })
        };
        Self::builder()
            .entries(vec![
                EntryPlan::new("entry-1", "colombo-1"),
                EntryPlan::new("entry-2", "seattle-1"),
            ])
            .backends(vec![
                BackendPlan::new("matcher-1", "colombo-1", "matcher", engine(false)),
                BackendPlan::new("matcher-2", "colombo-2", "matcher", engine(false)),
                BackendPlan::new("surveyor-1", "seattle-1", "surveyor", engine(true)),
                BackendPlan::new("surveyor-2", "tacoma-1", "surveyor", engine(true)),
                BackendPlan::new("ledger-1", "colombo-1", "ledger", BackendKind::Service(300)),
                BackendPlan::new("notices-1", "seattle-1", "notices", BackendKind::Service(50)),
            ])
            .configuration(DEMO_TEXT)
            .host_list_lag_ms(1_000)
            .build()
    }
}
