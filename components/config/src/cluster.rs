//! Parser for the configuration text.

use domain::{ClusterConfiguration, FailureDomain, PolicyWeights, ServiceConfig, TeamConfig};
use errors::ResultCode;

use crate::dependency::check_dependencies;
use crate::document::{IniDocument, IniSection};
use crate::fault::{FaultList, TextFault};
use crate::reader::SectionReader;
use crate::rule;
use crate::service::{check_failure_domains, parse_service};

const KEY_HASH_DIGITS: usize = 64;
const WEIGHT_SUM: u32 = 1_000;

/// Parses and validates a configuration text.
///
/// # Errors
///
/// Returns the faults of the text in the order of their lines, at most the first 1,000.
pub fn parse_configuration(text: &str) -> Result<ClusterConfiguration, Vec<TextFault>> {
    let mut faults = FaultList::default();
    let configuration =
        IniDocument::parse(text, &mut faults).and_then(|document| parse_sections(&document, &mut faults));
    faults.finish(configuration)
}

/// A section `team NAME` or `service NAME` with its parsed content.
#[derive(Debug)]
pub(crate) struct ParsedSection<'a, T> {
    /// Source of the content.
    pub(crate) section: &'a IniSection,
    /// Title without its first word.
    pub(crate) name: &'a str,
    /// Content; `None` when the section has a fault.
    pub(crate) content: Option<T>,
}

/// Parsed content of the section `cluster`.
#[derive(Debug)]
struct ClusterSection {
    failure_domains: Vec<FailureDomain>,
    weights: PolicyWeights,
    loads_in_progress: u32,
}

fn parse_sections(document: &IniDocument, faults: &mut FaultList) -> Option<ClusterConfiguration> {
    let mut teams: Vec<ParsedSection<'_, TeamConfig>> = Vec::new();
    let mut services: Vec<ParsedSection<'_, ServiceConfig>> = Vec::new();
    for section in &document.sections {
        match section.title.split_once(' ') {
            None if section.title.is_empty() || section.title == "cluster" => {}
            Some(("team", name)) => teams.push(ParsedSection {
                section,
                name,
                content: parse_team(name, &mut SectionReader::new(section, faults)),
            }),
            Some(("service", name)) => services.push(ParsedSection {
                section,
                name,
                content: parse_service(name, &mut SectionReader::new(section, faults)),
            }),
            _ => {
                let message = "unknown section, expected cluster, team NAME or service NAME";
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
    let cluster = parse_cluster(&mut SectionReader::find(document, "cluster", faults));
    if let Some(cluster) = &cluster {
        check_failure_domains(&services, &cluster.failure_domains, faults);
    }
    check_shared_keys(&teams, faults);
    check_dependencies(&services, faults);
    let cluster = cluster?;
    Some(ClusterConfiguration {
        failure_domains: cluster.failure_domains,
        teams: sorted_by_name(teams, |team| team.name.as_str())?,
        services: sorted_by_name(services, |service| service.name.as_str())?,
        weights: cluster.weights,
        loads_in_progress: cluster.loads_in_progress,
    })
}

fn sorted_by_name<T>(sections: Vec<ParsedSection<'_, T>>, name: fn(&T) -> &str) -> Option<Vec<T>> {
    let contents = sections.into_iter().map(|section| section.content);
    let mut contents: Vec<T> = contents.collect::<Option<_>>()?;
    contents.sort_by(|left, right| name(left).cmp(name(right)));
    Some(contents)
}

fn parse_cluster(section: &mut SectionReader<'_>) -> Option<ClusterSection> {
    section.check_keys(&[
        "failure-domains",
        rule::PROGRAM_LATENCY_WEIGHT.key,
        rule::WASTED_CACHE_WEIGHT.key,
        rule::LOADS_IN_PROGRESS.key,
    ]);
    let failure_domains = parse_failure_domains(section);
    let program_latency = section.number(&rule::PROGRAM_LATENCY_WEIGHT);
    let wasted_cache = section.number(&rule::WASTED_CACHE_WEIGHT);
    let loads_in_progress = section.number(&rule::LOADS_IN_PROGRESS);
    let weights = PolicyWeights {
        program_latency: program_latency?,
        wasted_cache: wasted_cache?,
    };
    if weights.program_latency + weights.wasted_cache != WEIGHT_SUM {
        let message = format!("the two weights do not add up to {WEIGHT_SUM}");
        section.report_at(
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

fn parse_failure_domains(section: &mut SectionReader<'_>) -> Option<Vec<FailureDomain>> {
    let property = section.required("failure-domains")?;
    let domains = section.list("failure-domains")?;
    if domains.is_empty() {
        return section.report_malformed(
            property,
            "the list is empty, expected at least one failure domain".to_owned(),
        );
    }
    Some(domains)
}

fn parse_team(name: &str, section: &mut SectionReader<'_>) -> Option<TeamConfig> {
    section.check_keys(&[
        "key-sha256",
        rule::BUDGET.key,
        rule::WINDOW_S.key,
        rule::TEAM_WEIGHT.key,
    ]);
    let name = section.name(name);
    let key_sha256 = parse_key_hash(section);
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

fn parse_key_hash(section: &mut SectionReader<'_>) -> Option<String> {
    let property = section.required("key-sha256")?;
    let digits = property.value.as_str();
    if digits.len() != KEY_HASH_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return section.report_malformed(
            property,
            format!("expected a key hash of {KEY_HASH_DIGITS} hexadecimal digits"),
        );
    }
    Some(digits.to_ascii_lowercase())
}

fn check_shared_keys(teams: &[ParsedSection<'_, TeamConfig>], faults: &mut FaultList) {
    let mut teams: Vec<(&TeamConfig, &IniSection)> = teams
        .iter()
        .filter_map(|team| Some((team.content.as_ref()?, team.section)))
        .collect();
    teams.sort_by_key(|(team, section)| (&team.key_sha256, section.line));
    for pair in teams.windows(2) {
        let ((first, _), (second, section)) = (pair[0], pair[1]);
        if first.key_sha256 == second.key_sha256 && first.name != second.name {
            let message = format!("the team {} uses the same key", first.name);
            SectionReader::new(section, faults).report_at("key-sha256", ResultCode::SharedTeamKey, message);
        }
    }
}
