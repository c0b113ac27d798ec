//! Reading of a settings file.

use std::fs;
use std::net::IpAddr;
use std::path::{Path, PathBuf};

use domain::HostRole;
use errors::ResultCode;
use http::Uri;

use crate::document::IniDocument;
use crate::fault::{FaultList, TextFault};
use crate::reader::SectionReader;
use crate::rule;
use crate::settings::{
    BackendSettings, ClusterSettings, DaemonSettings, DataSettings, HostSettings, LimitSettings, LogSettings,
    MetricsSettings, PlatformSettings, PortSettings, TimingSettings,
};

const SECTIONS: [&str; 10] = [
    "host", "ports", "platform", "cluster", "backend", "data", "timing", "limits", "metrics", "log",
];
const LEAST_HEARTBEATS_MISSED: u64 = 3;

impl DaemonSettings {
    /// Reads settings from a text; relative files are resolved against `folder`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text in the order of their lines.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, Vec<TextFault>> {
        let mut faults = FaultList::default();
        let settings = IniDocument::parse(text, &mut faults).and_then(|document| {
            let mut parser = SettingsParser {
                document: &document,
                folder,
                faults: &mut faults,
            };
            parser.settings()
        });
        faults.finish(settings)
    }

    /// Reads settings from a file; relative files are resolved against its folder.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, or one with code 6001 when the file cannot be read as UTF-8 text.
    pub fn from_file(path: &Path) -> Result<Self, Vec<TextFault>> {
        let text = fs::read_to_string(path).map_err(|error| {
            vec![TextFault {
                line: 1,
                section: String::new(),
                key: String::new(),
                code: ResultCode::SettingsUnreadable,
                message: format!("{}: {error}", path.display()),
            }]
        })?;
        Self::parse(&text, path.parent().unwrap_or(Path::new("")))
    }
}

#[derive(Debug)]
struct SettingsParser<'a> {
    document: &'a IniDocument,
    folder: &'a Path,
    faults: &'a mut FaultList,
}

impl SettingsParser<'_> {
    fn settings(&mut self) -> Option<DaemonSettings> {
        self.check_sections();
        let host = self.host();
        let role = host.as_ref().map(|host| host.role);
        let ports = self.ports(role);
        let platform = self.platform();
        let cluster = self.cluster(role);
        let backend = self.backend(role);
        let data = self.data();
        let timing = self.timing();
        let limits = self.limits();
        let metrics = self.metrics();
        let log = self.log();
        let settings = DaemonSettings::builder()
            .host(host?)
            .ports(ports?)
            .platform(platform?)
            .cluster(cluster?)
            .maybe_backend(backend)
            .data(data)
            .timing(timing?)
            .limits(limits?)
            .metrics(metrics)
            .log(log);
        Some(settings.build())
    }

    fn check_sections(&mut self) {
        for section in self
            .document
            .sections
            .iter()
            .filter(|section| !section.title.is_empty())
        {
            if !SECTIONS.contains(&section.title.as_str()) {
                let message = format!("the sections are {}", SECTIONS.join(", "));
                self.faults.push(
                    section.line,
                    &section.title,
                    "",
                    ResultCode::UnknownSection,
                    message,
                );
            }
        }
    }

    fn section<'b>(&'b mut self, title: &'b str, keys: &[&str]) -> SectionReader<'b> {
        let mut section = SectionReader::find(self.document, title, self.faults);
        section.check_keys(keys);
        section
    }

    fn host(&mut self) -> Option<HostSettings> {
        let mut section = self.section("host", &["name", "role", "failure-domain", "ip"]);
        let name = section.value("name");
        let role = read_role(&mut section);
        let failure_domain = section.value("failure-domain");
        let ip = section.value("ip");
        if ip.is_some_and(|ip: IpAddr| ip.is_unspecified() || ip.is_multicast()) {
            section.fault_at(
                "ip",
                ResultCode::ValueOutOfRange,
                "peers cannot reach this address",
            );
        }
        let host = HostSettings::builder()
            .name(name?)
            .role(role?)
            .failure_domain(failure_domain?)
            .ip(ip?);
        Some(host.build())
    }

    fn ports(&mut self, role: Option<HostRole>) -> Option<PortSettings> {
        let mut section = self.section("ports", &["process", "heartbeat", "http"]);
        let process = section.number(&rule::PROCESS_PORT);
        let heartbeat = section.number(&rule::HEARTBEAT_PORT);
        let http = match role {
            Some(HostRole::Entry) => Some(section.number(&rule::HTTP_PORT)?),
            Some(HostRole::Agent) => {
                section.refuse("http", "an agent has no port for callers");
                None
            }
            None => None,
        };
        let ports = PortSettings {
            process: process?,
            heartbeat: heartbeat?,
            http,
        };
        check_distinct(&mut section, ports);
        Some(ports)
    }

    fn platform(&mut self) -> Option<PlatformSettings> {
        let folder = self.folder;
        let mut section = self.section("platform", &["object-api", "host-list", "key-file"]);
        let object_api = read_address(&mut section, "object-api");
        let host_list = read_address(&mut section, "host-list");
        let key_file = read_file(&mut section, "key-file", folder);
        Some(PlatformSettings {
            object_api: object_api?,
            host_list: host_list?,
            key_file: key_file?,
        })
    }

    fn cluster(&mut self, role: Option<HostRole>) -> Option<ClusterSettings> {
        let folder = self.folder;
        let mut section = self.section("cluster", &["key-file", "operator-key-file"]);
        let key_file = read_file(&mut section, "key-file", folder);
        let operator_key_file = match role {
            Some(HostRole::Entry) => Some(read_file(&mut section, "operator-key-file", folder)?),
            Some(HostRole::Agent) => {
                section.refuse("operator-key-file", "an agent takes no orders from operators");
                None
            }
            None => None,
        };
        Some(ClusterSettings {
            key_file: key_file?,
            operator_key_file,
        })
    }

    fn backend(&mut self, role: Option<HostRole>) -> Option<BackendSettings> {
        match role? {
            HostRole::Entry => {
                self.refuse_backend();
                None
            }
            HostRole::Agent => self.agent_backend(),
        }
    }

    fn agent_backend(&mut self) -> Option<BackendSettings> {
        let mut section = self.section("backend", &["service", "address"]);
        let service = section.value("service");
        let address = read_address(&mut section, "address");
        Some(BackendSettings {
            service: service?,
            address: address?,
        })
    }

    fn refuse_backend(&mut self) {
        if let Some(section) = self.document.section("backend") {
            let message = "an entry stands beside no backend server";
            self.faults
                .push(section.line, "backend", "", ResultCode::UnknownSection, message);
        }
    }

    fn data(&mut self) -> DataSettings {
        let folder = self.folder;
        let mut section = self.section("data", &["folder"]);
        let given = section.entry("folder").is_some();
        let folder = given.then(|| read_file(&mut section, "folder", folder)).flatten();
        DataSettings { folder }
    }

    fn timing(&mut self) -> Option<TimingSettings> {
        let keys = ["heartbeat-ms", "suspect-ms", "append-spacing-ms", "stop-grace-s"];
        let mut section = self.section("timing", &keys);
        let heartbeat_ms: Option<u64> = section.number(&rule::HEARTBEAT_MS);
        let suspect_ms: Option<u64> = section.number(&rule::SUSPECT_MS);
        let append_spacing_ms = section.number(&rule::APPEND_SPACING_MS);
        let stop_grace_s = section.number(&rule::STOP_GRACE_S);
        let timing = TimingSettings::builder()
            .heartbeat_ms(heartbeat_ms?)
            .suspect_ms(suspect_ms?)
            .append_spacing_ms(append_spacing_ms?)
            .stop_grace_s(stop_grace_s?)
            .build();
        if timing.suspect_ms < LEAST_HEARTBEATS_MISSED * timing.heartbeat_ms {
            let message = format!("suspect-ms is less than {LEAST_HEARTBEATS_MISSED} times heartbeat-ms");
            section.fault_at("suspect-ms", ResultCode::ImpossibleLimit, message);
        }
        Some(timing)
    }

    fn limits(&mut self) -> Option<LimitSettings> {
        let mut section = self.section("limits", &["body-bytes", "connections", "header-timeout-ms"]);
        let body_bytes = section.number(&rule::BODY_BYTES);
        let connections = section.number(&rule::CONNECTIONS);
        let header_timeout_ms = section.number(&rule::HEADER_TIMEOUT_MS);
        Some(LimitSettings {
            body_bytes: body_bytes?,
            connections: connections?,
            header_timeout_ms: header_timeout_ms?,
        })
    }

    fn metrics(&mut self) -> MetricsSettings {
        let mut section = self.section("metrics", &["address"]);
        MetricsSettings {
            address: section.optional("address"),
        }
    }

    fn log(&mut self) -> LogSettings {
        let mut section = self.section("log", &["level"]);
        LogSettings {
            level: section.optional("level").unwrap_or_default(),
        }
    }
}

fn read_role(section: &mut SectionReader<'_>) -> Option<HostRole> {
    let entry = section.required("role")?;
    match entry.value.as_str() {
        "entry" => Some(HostRole::Entry),
        "agent" => Some(HostRole::Agent),
        _ => section.malformed(entry, "a role is entry or agent".to_owned()),
    }
}

fn read_file(section: &mut SectionReader<'_>, key: &str, folder: &Path) -> Option<PathBuf> {
    let entry = section.required(key)?;
    if entry.value.is_empty() {
        return section.malformed(entry, "the path is empty".to_owned());
    }
    Some(folder.join(&entry.value))
}

fn read_address(section: &mut SectionReader<'_>, key: &str) -> Option<String> {
    let entry = section.required(key)?;
    let uri: Option<Uri> = entry.value.parse().ok();
    let usable = uri.is_some_and(|uri| {
        uri.scheme_str() == Some("http") && uri.port_u16().is_some() && uri.query().is_none()
    });
    if !usable {
        return section.malformed(entry, "an address has the form http://IP:PORT".to_owned());
    }
    Some(entry.value.trim_end_matches('/').to_owned())
}

fn check_distinct(section: &mut SectionReader<'_>, ports: PortSettings) {
    let shares = |left: u16, right: u16| left != 0 && left == right;
    if shares(ports.process, ports.heartbeat) {
        section.fault_at(
            "heartbeat",
            ResultCode::ImpossibleLimit,
            "the port is that of process",
        );
    }
    if ports
        .http
        .is_some_and(|http| shares(http, ports.process) || shares(http, ports.heartbeat))
    {
        section.fault_at(
            "http",
            ResultCode::ImpossibleLimit,
            "another key names the same port",
        );
    }
}
