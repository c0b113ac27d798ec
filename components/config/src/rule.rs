//! Ranges and defaults of the numbers in settings files and configuration texts.

/// Range and default of one key with a numeric value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRule {
    /// Kind of the section, which is the first word of its title.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Smallest valid value.
    pub min: u64,
    /// Largest valid value.
    pub max: u64,
    /// Value that applies when the key is absent; `None` when the key is required.
    pub default: Option<u64>,
}

impl NumberRule {
    const fn new(section: &'static str, key: &'static str, min: u64, max: u64) -> Self {
        Self {
            section,
            key,
            min,
            max,
            default: None,
        }
    }

    const fn with_default(mut self, default: u64) -> Self {
        self.default = Some(default);
        self
    }
}

const DAY_S: u64 = 86_400;
const MAX_PRICE: u64 = 1_000_000_000;
const MAX_BUDGET: u64 = 1_000_000_000_000_000;

macro_rules! number_rules {
    ($($name:ident = $rule:expr;)*) => {
        $(pub(crate) const $name: NumberRule = $rule;)*

        /// Returns the rules of all numbers in settings files and configuration texts.
        pub const fn number_rules() -> &'static [NumberRule] {
            &[$($name,)*]
        }
    };
}

number_rules! {
    PROCESS_PORT = NumberRule::new("ports", "process", 0, 65_535);
    HEARTBEAT_PORT = NumberRule::new("ports", "heartbeat", 0, 65_535);
    HTTP_PORT = NumberRule::new("ports", "http", 0, 65_535);
    HEARTBEAT_MS = NumberRule::new("timing", "heartbeat-ms", 10, 10_000).with_default(500);
    SUSPECT_MS = NumberRule::new("timing", "suspect-ms", 30, 600_000).with_default(2_500);
    APPEND_SPACING_MS = NumberRule::new("timing", "append-spacing-ms", 0, 1_000).with_default(20);
    STOP_GRACE_S = NumberRule::new("timing", "stop-grace-s", 1, 3_600).with_default(30);
    BODY_BYTES =
        NumberRule::new("limits", "body-bytes", 1_024, 64 * 1_024 * 1_024).with_default(1_024 * 1_024);
    BODIES_BYTES =
        NumberRule::new("limits", "bodies-bytes", 1_024, 1_024 * 1_024 * 1_024 * 1_024).with_default(32 * 1_024 * 1_024);
    CONNECTIONS = NumberRule::new("limits", "connections", 1, 65_536).with_default(1_024);
    HEADER_TIMEOUT_MS = NumberRule::new("limits", "header-timeout-ms", 100, 600_000).with_default(10_000);

    PROGRAM_LATENCY_WEIGHT = NumberRule::new("cluster", "program-latency-weight", 0, 1_000);
    WASTED_CACHE_WEIGHT = NumberRule::new("cluster", "wasted-cache-weight", 0, 1_000);
    LOADS_IN_PROGRESS = NumberRule::new("cluster", "loads-in-progress", 1, 1_000).with_default(2);
    BUDGET = NumberRule::new("team", "budget", 0, MAX_BUDGET);
    WINDOW_S = NumberRule::new("team", "window-s", 1, 366 * DAY_S).with_default(DAY_S);
    TEAM_WEIGHT = NumberRule::new("team", "weight", 1, 1_000).with_default(1);
    REPLICAS = NumberRule::new("service", "replicas", 1, 10_000).with_default(1);
    PRICE_PER_CALL = NumberRule::new("service", "price-per-call", 0, MAX_PRICE).with_default(0);
    PRICE_PER_PROMPT_TOKEN = NumberRule::new("service", "price-per-prompt-token", 0, MAX_PRICE);
    PRICE_PER_CACHED_TOKEN = NumberRule::new("service", "price-per-cached-token", 0, MAX_PRICE);
    PRICE_PER_COMPLETION_TOKEN = NumberRule::new("service", "price-per-completion-token", 0, MAX_PRICE);
    MAX_TURNS = NumberRule::new("service", "max-turns", 1, 1_000_000).with_default(390);
    CALL_TIMEOUT_MS = NumberRule::new("service", "call-timeout-ms", 1, DAY_S * 1_000).with_default(60_000);
    PROGRAM_TIME_S = NumberRule::new("service", "program-time-s", 1, 366 * DAY_S).with_default(DAY_S);
    IDLE_TIME_S = NumberRule::new("service", "idle-time-s", 1, 366 * DAY_S).with_default(3_600);
    QUEUE_LENGTH = NumberRule::new("service", "queue-length", 1, 100_000).with_default(64);
    CONCURRENCY = NumberRule::new("service", "concurrency", 1, 10_000).with_default(8);
    MAX_TOKENS = NumberRule::new("service", "max-tokens", 1, 1_000_000).with_default(4_096);
    CONTEXT_TOKENS = NumberRule::new("service", "context-tokens", 1, 10_000_000).with_default(840_000);
}
