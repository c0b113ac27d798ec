//! Order of waiting calls.
//!
//! A priority is a point in virtual time: the time at which the call was queued, plus a handicap. The
//! handicap depends on the urgency class, on the slack before the program's deadline and on the attained
//! service, which is the number of tokens already processed for the program. Priorities that different owners
//! compute at different times are comparable. Because the handicap is bounded, a call that has waited longer
//! than the difference of two handicaps goes before every newer call.

use domain::{TimeMillis, TokenCount, UrgencyClass};

/// Lead of an emergency over every other class, in milliseconds.
const EMERGENCY_LEAD_MS: u64 = 3_600_000;
/// Lead of the interactive class over the ordinary one, in milliseconds.
const INTERACTIVE_LEAD_MS: u64 = 60_000;
/// Lead of the ordinary class over the background one, in milliseconds.
const ORDINARY_LEAD_MS: u64 = 300_000;
/// Slack in milliseconds from which on a deadline does not affect the priority.
const SLACK_LIMIT_MS: u64 = 30_000;
/// Handicap in milliseconds for each doubling of a program's attained service.
const SERVICE_STEP_MS: u64 = 2_000;
/// Attained service in tokens below which a program counts as new.
const SERVICE_UNIT_TOKENS: TokenCount = 1_024;
/// Largest number of doublings that are counted.
const MAX_SERVICE_LEVEL: u64 = 12;
/// Number of low-order bits of a priority; they break ties by attained service.
const TIE_BITS: u32 = 8;

/// Properties of a waiting call that determine its priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFacts {
    /// Urgency of the program.
    pub urgency: UrgencyClass,
    /// Time by which the program must finish.
    pub deadline: Option<TimeMillis>,
    /// Time at which the call began to wait.
    pub queued_at: TimeMillis,
    /// Tokens of prompts and answers that were processed for the program so far.
    pub served_tokens: TokenCount,
    /// Predicted duration of the call without waiting, in milliseconds.
    pub predicted_ms: u64,
}

/// Returns the priority of a waiting call; the smallest value goes first.
///
/// The urgency class decides first, then a small slack before the program's deadline, then the least attained
/// service of the program. A deadline that has passed is ignored, so that a late program does not delay
/// programs that can still finish in time.
pub fn call_priority(facts: &CallFacts, now: TimeMillis) -> u64 {
    let level = service_level(facts.served_tokens);
    let handicap = class_handicap_ms(facts.urgency) + slack_handicap_ms(facts, now, level);
    facts.queued_at.plus(handicap).0.saturating_mul(1 << TIE_BITS) + level
}

/// Returns the time in milliseconds after which a waiting call of class `waiting` goes before every newly
/// queued call of class `arriving`.
pub fn ageing_bound_ms(waiting: UrgencyClass, arriving: UrgencyClass) -> u64 {
    let largest = class_handicap_ms(waiting) + SLACK_LIMIT_MS + SERVICE_STEP_MS * MAX_SERVICE_LEVEL;
    (largest + 1).saturating_sub(class_handicap_ms(arriving))
}

const fn class_handicap_ms(urgency: UrgencyClass) -> u64 {
    match urgency {
        UrgencyClass::Emergency => 0,
        UrgencyClass::Interactive => EMERGENCY_LEAD_MS,
        UrgencyClass::Ordinary => EMERGENCY_LEAD_MS + INTERACTIVE_LEAD_MS,
        UrgencyClass::Background => EMERGENCY_LEAD_MS + INTERACTIVE_LEAD_MS + ORDINARY_LEAD_MS,
    }
}

fn slack_handicap_ms(facts: &CallFacts, now: TimeMillis, level: u64) -> u64 {
    let future_deadline = facts.deadline.filter(|deadline| *deadline > now);
    let slack = future_deadline.map_or(SLACK_LIMIT_MS, |deadline| {
        let latest_start = deadline.0.saturating_sub(facts.predicted_ms);
        latest_start.saturating_sub(facts.queued_at.0)
    });
    if slack < SLACK_LIMIT_MS {
        slack
    } else {
        SLACK_LIMIT_MS + level * SERVICE_STEP_MS
    }
}

fn service_level(served_tokens: TokenCount) -> u64 {
    let units = served_tokens / SERVICE_UNIT_TOKENS;
    let doublings = u64::BITS - units.leading_zeros();
    u64::from(doublings).min(MAX_SERVICE_LEVEL)
}
