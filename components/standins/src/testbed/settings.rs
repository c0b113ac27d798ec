//! Settings files and command lines of a testbed's processes.

use std::net::Ipv4Addr;

use super::deployment::{BackendKind, BackendPlan, EntryPlan};
use crate::engine::EngineSettings;

/// Port of an entry's HTTP interface for callers and operators.
pub(super) const HTTP_PORT: u16 = 7100;
/// Port on which a host publishes its heartbeats.
pub(super) const HEARTBEAT_PORT: u16 = 7102;
/// Port on which every stand-in listens.
pub(super) const STANDIN_PORT: u16 = 8001;

/// Port on which a daemon receives the calls of other daemons.
const PROCESS_PORT: u16 = 7101;

/// Addresses of the platform and timing, which are the same in the settings files of all hosts.
#[derive(Debug)]
pub(super) struct SharedSettings {
    pub(super) object_api: String,
    pub(super) host_list: String,
    pub(super) timing: Vec<(String, String)>,
}

impl SharedSettings {
    /// Returns the content of an entry's settings file.
    pub(super) fn entry(&self, plan: &EntryPlan, address: Ipv4Addr) -> String {
        let host = host_sections(&plan.name, "entry", &plan.failure_domain, address);
        let shared = self.shared_sections();
        format!(
            "{host}http = {HTTP_PORT}\n{shared}[cluster]\nkey-file = cluster.key\noperator-key-file = operator.key\n"
        )
    }

    /// Returns the content of an agent's settings file; `backend` is the base URL of its backend server.
    pub(super) fn agent(&self, plan: &BackendPlan, address: Ipv4Addr, backend: &str) -> String {
        let host = host_sections(&plan.name, "agent", &plan.failure_domain, address);
        let shared = self.shared_sections();
        let service = &plan.service;
        format!(
            "{host}{shared}[cluster]\nkey-file = cluster.key\n\
             [backend]\nservice = {service}\naddress = {backend}\n"
        )
    }

    fn shared_sections(&self) -> String {
        let rows = self
            .timing
            .iter()
            .map(|(key, value)| [key, " = ", value, "\n"].concat());
        format!(
            "[platform]\nobject-api = {}\nhost-list = {}\nkey-file = platform.key\n\
             [log]\nlevel = debug\n[timing]\n{}",
            self.object_api,
            self.host_list,
            rows.collect::<String>()
        )
    }
}

fn host_sections(name: &str, role: &str, failure_domain: &str, address: Ipv4Addr) -> String {
    format!(
        "[host]\nname = {name}\nrole = {role}\nfailure-domain = {failure_domain}\nip = {address}\n\
         [ports]\nprocess = {PROCESS_PORT}\nheartbeat = {HEARTBEAT_PORT}\n"
    )
}

/// Returns the arguments for the `standins` binary that start a backend server, without its address.
pub(super) fn backend_arguments(kind: &BackendKind) -> Vec<String> {
    match kind {
        BackendKind::Engine(settings) => engine_arguments(settings),
        BackendKind::Service(delay_ms) => {
            vec![
                "service".to_owned(),
                "--delay-ms".to_owned(),
                delay_ms.to_string(),
            ]
        }
    }
}

fn engine_arguments(settings: &EngineSettings) -> Vec<String> {
    let mut arguments = vec!["engine".to_owned()];
    let numbers = [
        ("--capacity", settings.capacity),
        ("--step-us", settings.step_us),
        ("--decode-us", settings.decode_us),
        ("--prefill-us", settings.prefill_us),
        ("--cache-tokens", settings.cache_tokens),
        ("--answer-tokens", settings.answer_tokens),
        ("--load-lag-ms", settings.load_lag_ms),
        ("--event-lag-ms", settings.event_lag_ms),
        ("--event-gap", settings.event_gap),
        ("--load-ms", settings.load_ms),
    ];
    for (name, number) in numbers {
        arguments.extend([name.to_owned(), number.to_string()]);
    }
    if settings.check_fencing {
        arguments.push("--check-fencing".to_owned());
    }
    if settings.takes_orders {
        arguments.push("--takes-orders".to_owned());
    }
    for model in &settings.models {
        arguments.extend(["--model".to_owned(), model.clone()]);
    }
    arguments
}
