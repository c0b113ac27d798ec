//! Reading of the configuration text.

use domain::{ClusterConfiguration, FailureDomain, PolicyWeights, ServiceConfig, TeamConfig};
use errors::ResultCode;

use crate::dependency::check_dependencies;
use crate::document::{IniDocument, IniSection};
use crate::fault::{FaultList, TextFault};
use crate::reader::SectionReader;
use crate::rule;
use crate::service::{check_failure_domains, read_service};

const KEY_DIGITS: usize = 64;
const WEIGHT_SUM: u32 = 1_000;

/// Reads and checks a configuration text.
///
/// # Errors
///
/// Returns every fault of the text in the order of their lines.
pub fn parse_configuration(text: &str) -> Result<ClusterConfiguration, Vec<TextFault>> {
    let mut faults = FaultList::default();
    let configuration =
        IniDocument::parse(text, &mut faults).and_then(|document| read_document(&document, &mut faults));
    faults.finish(configuration)
}

/// A section with what it declares; `None` when its content is faulty.
#[derive(Debug)]
pub(crate) struct Declared<'a, T> {
    /// Section.
    pub(crate) section: &'a IniSection,
    /// Name behind the kind of the section.
    pub(crate) name: &'a str,
    /// Content.
    pub(crate) content: Option<T>,
}

/// Content of the section `cluster`.
#[derive(Debug)]
struct ClusterSection {
    failure_domains: Vec<FailureDomain>,
    weights: PolicyWeights,
    loads_in_progress: u32,
}

fn read_document(document: &IniDocument, faults: &mut FaultList) -> Option<ClusterConfiguration> {
    let mut teams: Vec<Declared<'_, TeamConfig>> = Vec::new();
    let mut services: Vec<Declared<'_, ServiceConfig>> = Vec::new();
    for section in &document.sections {
        match section.title.split_once(' ') {
            None if section.title.is_empty() || section.title == "cluster" => {}
            Some(("team", name)) => teams.push(Declared {
                section,
                name,
                content: read_team(name, &mut SectionReader::new(section, faults)),
            }),
            Some(("service", name)) => services.push(Declared {
                section,
                name,
                content: read_service(name, &mut SectionReader::new(section, faults)),
            }),
            _ => {
                let message = "the sections are cluster, team NAME and service NAME";
                faults.push(
                    section.line,
                    &section.title,
                    "",
                    ResultCode::UnknownSection,
                    message,
                );
            }
        }
    }
    let cluster = read_cluster(&mut SectionReader::find(document, "cluster", faults));
    if let Some(cluster) = &cluster {
        check_failure_domains(&services, &cluster.failure_domains, faults);
    }
    check_shared_keys(&teams, faults);
    check_dependencies(&services, faults);
    let cluster = cluster?;
    Some(ClusterConfiguration {
        failure_domains: cluster.failure_domains,
        teams: sorted(teams, |team| team.name.as_str())?,
        services: sorted(services, |service| service.name.as_str())?,
        weights: cluster.weights,
        loads_in_progress: cluster.loads_in_progress,
    })
}

fn sorted<T>(declared: Vec<Declared<'_, T>>, name: fn(&T) -> &str) -> Option<Vec<T>> {
    let contents = declared.into_iter().map(|declared| declared.content);
    let mut contents: Vec<T> = contents.collect::<Option<_>>()?;
    contents.sort_by(|left, right| name(left).cmp(name(right)));
    Some(contents)
}

fn read_cluster(section: &mut SectionReader<'_>) -> Option<ClusterSection> {
    section.check_keys(&[
        "failure-domains",
        rule::PROGRAM_LATENCY_WEIGHT.key,
        rule::WASTED_CACHE_WEIGHT.key,
        rule::LOADS_IN_PROGRESS.key,
    ]);
    let failure_domains = read_declared_domains(section);
    let program_latency = section.number(&rule::PROGRAM_LATENCY_WEIGHT);
    let wasted_cache = section.number(&rule::WASTED_CACHE_WEIGHT);
    let loads_in_progress = section.number(&rule::LOADS_IN_PROGRESS);
    let weights = PolicyWeights {
        program_latency: program_latency?,
        wasted_cache: wasted_cache?,
    };
    if weights.program_latency + weights.wasted_cache != WEIGHT_SUM {
        let message = format!("the two weights do not add up to {WEIGHT_SUM}");
        section.fault_at(
            rule::WASTED_CACHE_WEIGHT.key,
            ResultCode::ImpossibleLimit,
            message,
        );
    }
    Some(ClusterSection {
        failure_domains: failure_domains?,
        weights,
        loads_in_progress: loads_in_progress?,
    })
}

fn read_declared_domains(section: &mut SectionReader<'_>) -> Option<Vec<FailureDomain>> {
    let entry = section.required("failure-domains")?;
    let domains = section.list("failure-domains")?;
    if domains.is_empty() {
        return section.malformed(entry, "the list is empty".to_owned());
    }
    Some(domains)
}

fn read_team(name: &str, section: &mut SectionReader<'_>) -> Option<TeamConfig> {
    section.check_keys(&[
        "key-sha256",
        rule::BUDGET.key,
        rule::WINDOW_S.key,
        rule::TEAM_WEIGHT.key,
    ]);
    let name = section.name(name);
    let key_sha256 = read_key_hash(section);
    let budget = section.number(&rule::BUDGET);
    let window_s = section.number(&rule::WINDOW_S);
    let weight = section.number(&rule::TEAM_WEIGHT);
    Some(TeamConfig {
        name: name?,
        key_sha256: key_sha256?,
        budget: domain::MicroUnits(budget?),
        window_s: window_s?,
        weight: weight?,
    })
}

fn read_key_hash(section: &mut SectionReader<'_>) -> Option<String> {
    let entry = section.required("key-sha256")?;
    let digits = entry.value.as_str();
    if digits.len() != KEY_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return section.malformed(entry, format!("a key hash has {KEY_DIGITS} hexadecimal digits"));
    }
    Some(digits.to_ascii_lowercase())
}

fn check_shared_keys(teams: &[Declared<'_, TeamConfig>], faults: &mut FaultList) {
    let mut teams: Vec<(&TeamConfig, &IniSection)> = teams
        .iter()
        .filter_map(|team| Some((team.content.as_ref()?, team.section)))
        .collect();
    teams.sort_by_key(|(team, section)| (&team.key_sha256, section.line));
    for pair in teams.windows(2) {
        let ((first, _), (second, section)) = (pair[0], pair[1]);
        if first.key_sha256 == second.key_sha256 && first.name != second.name {
            let message = format!("the team {} has the same key", first.name);
            SectionReader::new(section, faults).fault_at("key-sha256", ResultCode::SharedTeamKey, message);
        }
    }
}
