//! Tests of the settings file: values, defaults and each kind of fault.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use config::{DaemonSettings, LimitSettings, LogLevel, TextFault, TimingSettings};
use domain::HostRole;
use googletest::prelude::*;

const ENTRY: &str = include_str!("fixtures/entry.ini");
const AGENT: &str = include_str!("fixtures/agent.ini");

fn parse(text: &str) -> std::result::Result<DaemonSettings, Vec<TextFault>> {
    DaemonSettings::parse(text, Path::new("/etc/azuretide"))
}

fn faults_of(text: &str) -> Vec<String> {
    let faults = parse(text).expect_err("the text has a fault");
    faults.iter().map(ToString::to_string).collect()
}

#[gtest]
fn reads_every_key_of_an_entry() {
    let settings = parse(ENTRY).expect("the fixture has no fault");
    expect_that!(settings.host.name.as_str(), eq("entry-1"));
    expect_that!(settings.host.role, eq(HostRole::Entry));
    expect_that!(settings.host.failure_domain.as_str(), eq("colombo-1"));
    expect_that!(settings.ports.process, eq(7101));
    expect_that!(settings.ports.heartbeat, eq(7102));
    expect_that!(settings.ports.http, some(eq(7100)));
    expect_that!(settings.platform.object_api, eq("http://127.0.0.1:7001"));
    expect_that!(settings.platform.host_list, eq("http://127.0.0.1:7002"));
    expect_that!(
        settings.platform.key_file,
        eq(Path::new("/etc/azuretide/platform.key"))
    );
    expect_that!(
        settings.cluster.key_file,
        eq(Path::new("/etc/azuretide/cluster.key"))
    );
    let operator_key_file = PathBuf::from("/etc/azuretide/operator.key");
    expect_that!(settings.cluster.operator_key_file, some(eq(&operator_key_file)));
    expect_that!(settings.backend, none());
    expect_that!(settings.data.folder, some(eq(Path::new("/etc/azuretide/data"))));
    let timing = TimingSettings::builder().heartbeat_ms(400).suspect_ms(2_400);
    expect_that!(
        settings.timing,
        eq(timing.append_spacing_ms(10).stop_grace_s(20).build())
    );
    let limits = LimitSettings::builder().body_bytes(2_097_152).connections(512);
    expect_that!(settings.limits, eq(limits.header_timeout_ms(5_000).build()));
    let address: SocketAddr = "127.0.0.1:8125".parse().expect("an address");
    expect_that!(settings.metrics.address, some(eq(address)));
    expect_that!(settings.log.level, eq(LogLevel::Debug));
}

#[gtest]
fn absent_keys_of_an_agent_get_their_defaults() {
    let settings = parse(AGENT).expect("the fixture has no fault");
    let backend = settings.backend.expect("an agent has a backend server");
    expect_that!(backend.service.as_str(), eq("matcher"));
    expect_that!(backend.address, eq("http://127.0.0.1:8001"));
    expect_that!(settings.ports.http, none());
    expect_that!(settings.cluster.operator_key_file, none());
    expect_that!(settings.data.folder, none());
    expect_that!(settings.metrics.address, none());
    expect_that!(settings.log.level, eq(LogLevel::Info));
    let timing = &settings.timing;
    expect_that!((timing.heartbeat_ms, timing.suspect_ms), eq((500, 2_500)));
    expect_that!((timing.append_spacing_ms, timing.stop_grace_s), eq((20, 30)));
    let limits = &settings.limits;
    expect_that!((limits.body_bytes, limits.connections), eq((1_048_576, 1_024)));
    expect_that!(limits.header_timeout_ms, eq(10_000));
}

/// One change of a valid text and the beginning of the only fault that it causes.
struct FaultCase {
    text: &'static str,
    from: &'static str,
    to: &'static str,
    fault: &'static str,
}

const fn case(text: &'static str, from: &'static str, to: &'static str, fault: &'static str) -> FaultCase {
    FaultCase {
        text,
        from,
        to,
        fault,
    }
}

#[rustfmt::skip]
const FAULT_CASES: &[FaultCase] = &[
    case(ENTRY, "[host]\n", "[host\n[host]\n", "line 2: 6002"),
    case(ENTRY, "[host]\n", "name = x\n[host]\n", "line 2 name: 6002"),
    case(ENTRY, "connections = 512", "connections", "line 27 [limits]: 6002"),
    case(ENTRY, "level = debug\n", "[colour]\n", "line 32 [colour]: 6003"),
    case(ENTRY, "level = debug", "[backend]", "line 32 [backend]: 6003"),
    case(ENTRY, "level = debug", "size = 3", "line 32 [log] size: 6004"),
    case(AGENT, "heartbeat = 7202", "heartbeat = 7202\nhttp = 1", "line 10 [ports] http: 6004"),
    case(AGENT, "key-file = cluster.key", "key-file = k\noperator-key-file = o", "line 16 [cluster] operator-key-file: 6004"),
    case(ENTRY, "name = entry-1\n", "", "line 2 [host] name: 6005"),
    case(ENTRY, "http = 7100", "; ", "line 7 [ports] http: 6005"),
    case(ENTRY, "operator-key-file", ";", "line 15 [cluster] operator-key-file: 6005"),
    case(AGENT, "service = matcher\n", "", "line 16 [backend] service: 6005"),
    case(ENTRY, "name = entry-1", "name = entry 1", "line 3 [host] name: 6006"),
    case(ENTRY, "name = entry-1", "name = ; none", "line 3 [host] name: 6006"),
    case(ENTRY, "role = entry", "role = Entry", "line 4 [host] role: 6006"),
    case(ENTRY, "ip = 127.0.0.1", "ip = localhost", "line 6 [host] ip: 6006"),
    case(ENTRY, "process = 7101", "process = -1", "line 8 [ports] process: 6006"),
    case(ENTRY, "http://127.0.0.1:7002", "https://127.0.0.1:7002", "line 13 [platform] host-list: 6006"),
    case(ENTRY, "http://127.0.0.1:7002", "127.0.0.1:7002", "line 13 [platform] host-list: 6006"),
    case(ENTRY, "folder = data", "folder =", "line 19 [data] folder: 6006"),
    case(ENTRY, "127.0.0.1:8125", "127.0.0.1", "line 30 [metrics] address: 6006"),
    case(ENTRY, "debug", "loud", "line 32 [log] level: 6006"),
    case(ENTRY, "ip = 127.0.0.1", "ip = 0.0.0.0", "line 6 [host] ip: 6007"),
    case(ENTRY, "process = 7101", "process = 65536", "line 8 [ports] process: 6007"),
    case(ENTRY, "connections = 512", "connections = 0", "line 27 [limits] connections: 6007"),
    case(ENTRY, "= 2097152", "= 99999999999999999999", "line 26 [limits] body-bytes: 6007"),
    case(ENTRY, "[log]", "[host]\n[log]", "line 31 [host]: 6008"),
    case(ENTRY, "level = debug", "level = info\nlevel = debug", "line 33 [log] level: 6009"),
    case(ENTRY, "suspect-ms = 2400", "suspect-ms = 1199", "line 22 [timing] suspect-ms: 7004"),
    case(ENTRY, "heartbeat = 7102", "heartbeat = 7101", "line 9 [ports] heartbeat: 7004"),
    case(ENTRY, "http = 7100", "http = 7101", "line 10 [ports] http: 7004"),
];

#[gtest]
fn names_line_section_key_and_code_of_each_fault() {
    for FaultCase {
        text,
        from,
        to,
        fault,
    } in FAULT_CASES
    {
        expect_that!(text.contains(from), eq(true), "{from}");
        let changed = text.replacen(from, to, 1);
        expect_that!(
            faults_of(&changed),
            elements_are![starts_with(*fault)],
            "{from} > {to}"
        );
    }
}

#[gtest]
fn reports_every_fault_in_the_order_of_the_lines() {
    let text = ENTRY
        .replace("level = debug", "level = loud")
        .replace("name = entry-1", "nome = entry-1")
        .replace("connections = 512", "connections");
    expect_that!(
        faults_of(&text),
        elements_are![
            starts_with("line 2 [host] name: 6005"),
            starts_with("line 3 [host] nome: 6004"),
            starts_with("line 27 [limits]: 6002"),
            starts_with("line 32 [log] level: 6006"),
        ]
    );
}

#[gtest]
fn reports_the_keys_of_an_absent_section_at_the_end() {
    let text = AGENT
        .replace("[backend]\n", "")
        .replace("service = matcher\n", "");
    let text = text.replace("address = http://127.0.0.1:8001\n", "");
    expect_that!(
        faults_of(&text),
        elements_are![
            starts_with("line 15 [backend] service: 6005"),
            starts_with("line 15 [backend] address: 6005"),
        ]
    );
}

#[gtest]
fn relative_paths_are_resolved_against_the_folder_of_the_file() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/agent.ini");
    let settings = DaemonSettings::from_file(&path).expect("the fixture has no fault");
    expect_that!(
        settings.platform.key_file,
        eq(&path.with_file_name("platform.key"))
    );
}

#[gtest]
fn reports_a_file_that_cannot_be_read() {
    let faults = DaemonSettings::from_file(Path::new("/nonexistent/x.ini")).expect_err("there is no file");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect_that!(
        faults,
        elements_are![starts_with("line 1: 6001 /nonexistent/x.ini: ")]
    );
}
