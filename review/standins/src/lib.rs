//! Stand-ins for the platform, its workers and its requesters, for the cases of the review.

pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod system;
pub mod worker;

use std::path::PathBuf;

/// Returns the folder of the case, which its script passes.
pub fn case_folder() -> PathBuf {
    std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// What a configuration holds beside its version.
pub struct Route {
    pub path: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub stored: bool,
    pub resumable: bool,
    pub timeout_ms: u64,
    pub retention_s: u64,
    pub max_attempts: u32,
}

/// Returns the desired state as the operator writes it. `tenants` is a JSON list, or empty for none.
pub fn desired_state(version: u64, routes: &[Route], tenants: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r{path}\",\"host\":\"desk.example\",\"path_prefix\":\"{path}\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\
                 \"target_latency_ms\":250,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\"stored\":{stored},\
                 \"retention_s\":{retention},\"sticky\":true,\"resumable\":{resumable},\"target_gap_ms\":400}}",
                path = route.path,
                kind = route.kind,
                timeout = route.timeout_ms,
                service = route.service,
                attempts = route.max_attempts,
                stored = route.stored,
                retention = route.retention_s,
                resumable = route.resumable
            )
        })
        .collect();
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!(",\"tenants\":{tenants}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":300,\
         \"protocol\":\"h1\",\"tls\":false,\"runtime\":{{\"capacity\":48,\"kv_capacity_tokens\":900000,\"chunk_size\":16}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{tenants}}}",
        routes.join(",")
    )
}
