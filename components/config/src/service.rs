//! Parser for the sections that declare services.

use domain::{CallLimits, FailureDomain, MicroUnits, ServiceConfig, ServiceKind, ServicePrices};
use errors::ResultCode;

use crate::cluster::ParsedSection;
use crate::fault::FaultList;
use crate::reader::SectionReader;
use crate::rule::{self, NumberRule};

const MS_PER_S: u64 = 1_000;
const MODEL_KEYS: [&str; 5] = [
    rule::PRICE_PER_PROMPT_TOKEN.key,
    rule::PRICE_PER_CACHED_TOKEN.key,
    rule::PRICE_PER_COMPLETION_TOKEN.key,
    rule::MAX_TOKENS.key,
    rule::CONTEXT_TOKENS.key,
];
const KEYS: [&str; 18] = [
    "kind",
    "depends",
    rule::REPLICAS.key,
    "failure-domains",
    "repeatable",
    "fencing-checked",
    rule::PRICE_PER_CALL.key,
    rule::PRICE_PER_PROMPT_TOKEN.key,
    rule::PRICE_PER_CACHED_TOKEN.key,
    rule::PRICE_PER_COMPLETION_TOKEN.key,
    rule::MAX_TURNS.key,
    rule::CALL_TIMEOUT_MS.key,
    rule::PROGRAM_TIME_S.key,
    rule::IDLE_TIME_S.key,
    rule::QUEUE_LENGTH.key,
    rule::CONCURRENCY.key,
    rule::MAX_TOKENS.key,
    rule::CONTEXT_TOKENS.key,
];

/// Parses one section `service NAME`.
pub(crate) fn parse_service(name: &str, section: &mut SectionReader<'_>) -> Option<ServiceConfig> {
    section.check_keys(&KEYS);
    let name = section.name(name);
    let kind = parse_kind(section);
    let depends = section.list("depends");
    let replicas = section.number(&rule::REPLICAS);
    let failure_domains = section.list("failure-domains");
    let repeatable = section.flag("repeatable", kind == Some(ServiceKind::Model));
    let fencing_checked = section.flag("fencing-checked", false);
    let prices = kind.and_then(|kind| parse_prices(kind, section));
    let limits = parse_limits(section);
    if kind.is_some_and(|kind| kind != ServiceKind::Model) {
        for key in MODEL_KEYS {
            section.reject_key(key, "the key is only for services of kind model");
        }
    }
    Some(ServiceConfig {
        name: name?,
        kind: kind?,
        depends: depends?,
        replicas: replicas?,
        failure_domains: failure_domains?,
        repeatable: repeatable?,
        fencing_checked: fencing_checked?,
        prices: prices?,
        limits: limits?,
    })
}

/// Reports the failure domains that a service names but the section `cluster` does not declare.
pub(crate) fn check_failure_domains(
    services: &[ParsedSection<'_, ServiceConfig>],
    declared: &[FailureDomain],
    faults: &mut FaultList,
) {
    for service in services {
        let domains = service
            .content
            .iter()
            .flat_map(|content| &content.failure_domains);
        for unknown in domains.filter(|domain| declared.binary_search(domain).is_err()) {
            let message = format!("the section cluster does not declare the failure domain {unknown}");
            SectionReader::new(service.section, faults).report_at(
                "failure-domains",
                ResultCode::UnknownFailureDomain,
                message,
            );
        }
    }
}

fn parse_kind(section: &mut SectionReader<'_>) -> Option<ServiceKind> {
    let property = section.required("kind")?;
    match property.value.as_str() {
        "model" => Some(ServiceKind::Model),
        "tool" => Some(ServiceKind::Tool),
        "plain" => Some(ServiceKind::Plain),
        _ => section.report_malformed(property, "expected the kind model, tool or plain".to_owned()),
    }
}

fn parse_prices(kind: ServiceKind, section: &mut SectionReader<'_>) -> Option<ServicePrices> {
    if kind != ServiceKind::Model {
        return Some(ServicePrices {
            per_call: parse_price(section, &rule::PRICE_PER_CALL)?,
            ..ServicePrices::default()
        });
    }
    let per_call = section.number(&rule::PRICE_PER_CALL).map(MicroUnits);
    let per_prompt_token = parse_price(section, &rule::PRICE_PER_PROMPT_TOKEN);
    let per_cached_token = parse_price(section, &rule::PRICE_PER_CACHED_TOKEN);
    let per_completion_token = parse_price(section, &rule::PRICE_PER_COMPLETION_TOKEN);
    let prices = ServicePrices {
        per_call: per_call?,
        per_prompt_token: per_prompt_token?,
        per_cached_token: per_cached_token?,
        per_completion_token: per_completion_token?,
    };
    if prices.per_cached_token > prices.per_prompt_token {
        // The highest possible price of a call is computed with all tokens of its prompt as uncached.
        let message = "price-per-cached-token exceeds price-per-prompt-token";
        section.report_at(
            rule::PRICE_PER_CACHED_TOKEN.key,
            ResultCode::ImpossibleLimit,
            message,
        );
    }
    Some(prices)
}

fn parse_price(section: &mut SectionReader<'_>, rule: &NumberRule) -> Option<MicroUnits> {
    if section.property(rule.key).is_none() {
        section.report_at(
            rule.key,
            ResultCode::MissingPrice,
            "the price is required for a service of this kind",
        );
        return None;
    }
    section.number(rule).map(MicroUnits)
}

fn parse_limits(section: &mut SectionReader<'_>) -> Option<CallLimits> {
    let max_turns = section.number(&rule::MAX_TURNS);
    let call_timeout_ms = section.number(&rule::CALL_TIMEOUT_MS);
    let program_time_s = section.number(&rule::PROGRAM_TIME_S);
    let idle_time_s = section.number(&rule::IDLE_TIME_S);
    let queue_length = section.number(&rule::QUEUE_LENGTH);
    let concurrency = section.number(&rule::CONCURRENCY);
    let max_tokens = section.number(&rule::MAX_TOKENS);
    let context_tokens = section.number(&rule::CONTEXT_TOKENS);
    let limits = CallLimits {
        max_turns: max_turns?,
        call_timeout_ms: call_timeout_ms?,
        program_time_s: program_time_s?,
        idle_time_s: idle_time_s?,
        queue_length: queue_length?,
        concurrency: concurrency?,
        max_tokens: max_tokens?,
        context_tokens: context_tokens?,
    };
    check_limits(section, &limits);
    Some(limits)
}

fn check_limits(section: &mut SectionReader<'_>, limits: &CallLimits) {
    if limits.call_timeout_ms > limits.program_time_s * MS_PER_S {
        let message = "call-timeout-ms exceeds program-time-s";
        section.report_at(rule::CALL_TIMEOUT_MS.key, ResultCode::ImpossibleLimit, message);
    }
    if limits.idle_time_s > limits.program_time_s {
        let message = "idle-time-s exceeds program-time-s";
        section.report_at(rule::IDLE_TIME_S.key, ResultCode::ImpossibleLimit, message);
    }
    if limits.max_tokens >= limits.context_tokens {
        let message = "max-tokens must be less than context-tokens";
        section.report_at(rule::MAX_TOKENS.key, ResultCode::ImpossibleLimit, message);
    }
}
