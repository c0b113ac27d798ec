//! Measures the latency that an agent adds to a chat call: the same calls go to the stand-in engine directly and
//! through an agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agent::{AgentOptions, AgentProcess};
use domain::{
    AttemptKey, AttemptNumber, CallKey, ChatMessage, ChatRole, IncarnationId, ProgramKey, TenureNumber,
};
use engine::{ChatOrder, EngineClient, EngineOptions};
use hdrhistogram::Histogram;
use standins::{EngineSettings, HostList, HostListSettings, ModelEngine};
use store::HostDirectory;
use tokio_util::sync::CancellationToken;
use wire::{AgentPortClient, ClusterSecret, DispatchOrder};

const WARM_UP_CALLS: u64 = 50;
const MEASURED_CALLS: u64 = 500;
const ANSWER_TOKENS: [u64; 3] = [8, 64, 512];
const MAX_RECORDED_US: u64 = 60_000_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Latencies of one series of calls in microseconds, until the first text and until the outcome.
struct CallTimes {
    first: Histogram<u64>,
    total: Histogram<u64>,
}

impl CallTimes {
    fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("valid bounds");
        Self {
            first: empty(),
            total: empty(),
        }
    }

    fn record(&mut self, number: u64, first: Duration, total: Duration) {
        if number >= WARM_UP_CALLS {
            self.first.saturating_record(micros(first));
            self.total.saturating_record(micros(total));
        }
    }

    fn print(&self, name: &str, tokens: u64) {
        let quantiles =
            |times: &Histogram<u64>| [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile));
        let (first, total) = (quantiles(&self.first), quantiles(&self.total));
        println!(
            "{name:<8} tokens={tokens:<4} first_us p50={:<6} p95={:<6} p99={:<6} whole_us p50={:<6} p95={:<6} p99={}",
            first[0], first[1], first[2], total[0], total[1], total[2]
        );
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn attempt(sequence: u64) -> AttemptKey {
    let program = ProgramKey {
        incarnation: IncarnationId(1),
        sequence,
    };
    let call = CallKey { program, sequence: 1 };
    AttemptKey {
        call,
        tenure: TenureNumber(1),
        attempt: AttemptNumber(1),
    }
}

fn messages(tokens: u64) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: ChatRole::User,
        content: format!("match the invoice [tokens={tokens}]"),
    }]
}

async fn time_direct_calls(engine: &EngineClient, tokens: u64, base: u64) -> CallTimes {
    let mut times = CallTimes::new();
    for number in 0..WARM_UP_CALLS + MEASURED_CALLS {
        let attempt = attempt(base + number);
        let order = ChatOrder::builder()
            .model("matcher".parse().expect("a name"))
            .messages(messages(tokens))
            .max_tokens(tokens)
            .request_id(attempt.to_string())
            .program(attempt.call.program)
            .priority(0)
            .timeout(CALL_TIMEOUT)
            .build();
        let started_at = Instant::now();
        let mut first = None;
        let mut on_text = |_: &str| {
            first.get_or_insert_with(|| started_at.elapsed());
        };
        engine.run_chat(order, &mut on_text).await.expect("answered");
        let total = started_at.elapsed();
        times.record(number, first.unwrap_or(total), total);
    }
    times
}

async fn time_calls_through_agent(agent: &AgentPortClient, tokens: u64, base: u64) -> CallTimes {
    let mut times = CallTimes::new();
    for number in 0..WARM_UP_CALLS + MEASURED_CALLS {
        let attempt = attempt(base + number);
        let order = DispatchOrder::Chat {
            attempt,
            service: "matcher".parse().expect("a name"),
            messages: messages(tokens),
            prefix: String::new(),
            max_tokens: tokens,
            priority: 0,
            start_before: None,
            timeout_ms: 10_000,
        };
        let started_at = Instant::now();
        agent
            .dispatch_call(tarpc::context::current(), order)
            .await
            .expect("sent")
            .expect("taken");
        let mut first = None;
        let mut offset = 0;
        loop {
            let chunk = agent
                .read_attempt(tarpc::context::current(), attempt, offset, 5_000)
                .await;
            let chunk = chunk.expect("sent").expect("known");
            first.get_or_insert_with(|| started_at.elapsed());
            offset += chunk.text.len() as u64;
            if chunk.outcome.is_some() {
                break;
            }
        }
        let total = started_at.elapsed();
        times.record(number, first.unwrap_or(total), total);
    }
    times
}

async fn start_agent(backend: SocketAddr, hosts: SocketAddr) -> AgentProcess {
    let options = AgentOptions::builder()
        .host("agent-1".parse().expect("a name"))
        .failure_domain("colombo-1".parse().expect("a name"))
        .service("matcher".parse().expect("a name"))
        .backend(format!("http://{backend}"))
        .process(any_port())
        .heartbeat(any_port())
        .secret(ClusterSecret::from_bytes(b"a key of the bench").expect("long enough"))
        .hosts(HostDirectory::new(&format!("http://{hosts}"), "key"))
        .heartbeat_interval(Duration::from_millis(500))
        .suspect_after(Duration::from_millis(2_500))
        .stop_grace(Duration::from_secs(1))
        .log(slog::Logger::root(slog::Discard, slog::o!()))
        .build();
    AgentProcess::start(options).await.expect("started")
}

#[tokio::main]
async fn main() {
    let settings = EngineSettings {
        step_us: 20,
        decode_us: 0,
        prefill_us: 0,
        ..EngineSettings::default()
    };
    let server = ModelEngine::start(any_port(), settings).await.expect("started");
    let hosts = HostList::start(any_port(), HostListSettings::default())
        .await
        .expect("started");
    let process = start_agent(server.address(), hosts.address()).await;
    let secret = ClusterSecret::from_bytes(b"a key of the bench").expect("long enough");
    let address = process.process_address();
    let stop = CancellationToken::new();
    let running = tokio::spawn(process.run(stop.clone()));
    let transport = wire::connect_peer(address, &secret).await.expect("connected");
    let agent = AgentPortClient::new(tarpc::client::Config::default(), transport).spawn();
    let engine = EngineClient::new(EngineOptions::builder().address(server.address()).build());
    for (series, tokens) in (1_u64..).zip(ANSWER_TOKENS) {
        let base = series * 100_000;
        time_direct_calls(&engine, tokens, base)
            .await
            .print("direct", tokens);
        time_calls_through_agent(&agent, tokens, base + 50_000)
            .await
            .print("agent", tokens);
    }
    stop.cancel();
    running.await.expect("no panic").expect("stopped");
}
