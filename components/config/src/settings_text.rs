//! Parser for the settings file of a process.

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
const MIN_SUSPECT_HEARTBEATS: u64 = 3;

impl DaemonSettings {
    /// Parses settings from a text; relative paths are resolved against `folder`.
    ///
    /// # Errors
    ///
    /// Returns the faults of the text in the order of their lines, at most the first 1,000.
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

    /// Reads settings from a file; relative paths are resolved against the folder of the file.
    ///
    /// # Errors
    ///
    /// Returns the faults of the text, or one with code 6001 when the file cannot be read as UTF-8 text.
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
                let message = format!("unknown section, expected one of {}", SECTIONS.join(", "));
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
        let role = parse_role(&mut section);
        let failure_domain = section.value("failure-domain");
        let ip = section.value("ip");
        if ip.is_some_and(|ip: IpAddr| ip.is_unspecified() || ip.is_multicast()) {
            section.report_at(
                "ip",
                ResultCode::ValueOutOfRange,
                "peers cannot reach an unspecified or multicast address",
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
                section.reject_key(
                    "http",
                    "an agent has no port for callers, the key is only for entries",
                );
                None
            }
            None => None,
        };
        let ports = PortSettings {
            process: process?,
            heartbeat: heartbeat?,
            http,
        };
        check_distinct_ports(&mut section, ports);
        Some(ports)
    }

    fn platform(&mut self) -> Option<PlatformSettings> {
        let folder = self.folder;
        let mut section = self.section("platform", &["object-api", "host-list", "key-file"]);
        let object_api = parse_address(&mut section, "object-api");
        let host_list = parse_address(&mut section, "host-list");
        let key_file = parse_path(&mut section, "key-file", folder);
        Some(PlatformSettings {
            object_api: object_api?,
            host_list: host_list?,
            key_file: key_file?,
        })
    }

    fn cluster(&mut self, role: Option<HostRole>) -> Option<ClusterSettings> {
        let folder = self.folder;
        let mut section = self.section("cluster", &["key-file", "operator-key-file"]);
        let key_file = parse_path(&mut section, "key-file", folder);
        let operator_key_file = match role {
            Some(HostRole::Entry) => Some(parse_path(&mut section, "operator-key-file", folder)?),
            Some(HostRole::Agent) => {
                section.reject_key(
                    "operator-key-file",
                    "an agent does not serve operators, the key is only for entries",
                );
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
                self.reject_backend_section();
                None
            }
            HostRole::Agent => self.agent_backend(),
        }
    }

    fn agent_backend(&mut self) -> Option<BackendSettings> {
        let mut section = self.section("backend", &["service", "address"]);
        let service = section.value("service");
        let address = parse_address(&mut section, "address");
        Some(BackendSettings {
            service: service?,
            address: address?,
        })
    }

    fn reject_backend_section(&mut self) {
        if let Some(section) = self.document.section("backend") {
            let message = "an entry has no backend server, the section is only for agents";
            self.faults
                .push(section.line, "backend", "", ResultCode::UnknownSection, message);
        }
    }

    fn data(&mut self) -> DataSettings {
        let folder = self.folder;
        let mut section = self.section("data", &["folder"]);
        let is_given = section.property("folder").is_some();
        let folder = is_given
            .then(|| parse_path(&mut section, "folder", folder))
            .flatten();
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
        if timing.suspect_ms < MIN_SUSPECT_HEARTBEATS * timing.heartbeat_ms {
            let message = format!("suspect-ms must be at least {MIN_SUSPECT_HEARTBEATS} times heartbeat-ms");
            section.report_at("suspect-ms", ResultCode::ImpossibleLimit, message);
        }
        Some(timing)
    }

    fn limits(&mut self) -> Option<LimitSettings> {
        let keys = ["body-bytes", "bodies-bytes", "connections", "header-timeout-ms"];
        let mut section = self.section("limits", &keys);
        let body_bytes = section.number(&rule::BODY_BYTES);
        let bodies_bytes: Option<u64> = section.number(&rule::BODIES_BYTES);
        let connections = section.number(&rule::CONNECTIONS);
        let header_timeout_ms = section.number(&rule::HEADER_TIMEOUT_MS);
        Some(LimitSettings {
            body_bytes: body_bytes?,
            // There is always room for the largest body.
            bodies_bytes: bodies_bytes?.max(body_bytes?),
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

fn parse_role(section: &mut SectionReader<'_>) -> Option<HostRole> {
    let property = section.required("role")?;
    match property.value.as_str() {
        "entry" => Some(HostRole::Entry),
        "agent" => Some(HostRole::Agent),
        _ => section.report_malformed(property, "expected the role entry or agent".to_owned()),
    }
}

fn parse_path(section: &mut SectionReader<'_>, key: &str, folder: &Path) -> Option<PathBuf> {
    let property = section.required(key)?;
    if property.value.is_empty() {
        return section.report_malformed(property, "the path is empty".to_owned());
    }
    Some(folder.join(&property.value))
}

fn parse_address(section: &mut SectionReader<'_>, key: &str) -> Option<String> {
    let property = section.required(key)?;
    let uri: Option<Uri> = property.value.parse().ok();
    let is_valid = uri.is_some_and(|uri| {
        uri.scheme_str() == Some("http") && uri.port_u16().is_some() && uri.query().is_none()
    });
    if !is_valid {
        return section.report_malformed(
            property,
            "expected an address of the form http://IP:PORT".to_owned(),
        );
    }
    Some(property.value.trim_end_matches('/').to_owned())
}

fn check_distinct_ports(section: &mut SectionReader<'_>, ports: PortSettings) {
    let is_shared = |left: u16, right: u16| left != 0 && left == right;
    if is_shared(ports.process, ports.heartbeat) {
        section.report_at(
            "heartbeat",
            ResultCode::ImpossibleLimit,
            "the port is already used by the key process",
        );
    }
    if ports
        .http
        .is_some_and(|http| is_shared(http, ports.process) || is_shared(http, ports.heartbeat))
    {
        section.report_at(
            "http",
            ResultCode::ImpossibleLimit,
            "the port is already used by the key process or heartbeat",
        );
    }
}
