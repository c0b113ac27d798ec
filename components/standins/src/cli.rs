//! Command line of the binary `standins`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;

use crate::demo::run_demo;
use crate::engine::{EngineSettings, ModelEngine};
use crate::hosts::{HostList, HostListSettings};
use crate::measure::{MeasureOptions, measure_options, run_measure};
use crate::object::ObjectApi;
use crate::service::{PlainService, ServiceFaults};

/// Development stand-ins for the systems that azuretide connects to, with a demo and a measurement
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub enum StandinCommand {
    /// Object API with versions, conditional updates and watches
    #[bpaf(command("object-api"))]
    ObjectApi {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// File with the bearer key that requests must carry
        #[bpaf(argument("FILE"))]
        key_file: Option<PathBuf>,
    },
    /// Host list whose changes become visible after a delay
    #[bpaf(command("host-list"))]
    HostList {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// File with the bearer key that requests must carry
        #[bpaf(argument("FILE"))]
        key_file: Option<PathBuf>,
        /// Time from a change until it is visible, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,
    },
    /// Model engine
    #[bpaf(command("engine"))]
    Engine {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Settings
        #[bpaf(external(engine_settings))]
        settings: EngineSettings,
    },
    /// Tool or plain service
    #[bpaf(command("service"))]
    Service {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Duration of a call in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
    },
    /// Run programs of both teams on real processes and kill an entry while they run
    #[bpaf(command("demo"))]
    Demo,
    /// Run seeded workloads on real processes and print program latency, deadlines and wasted cache
    #[bpaf(command("measure"))]
    Measure {
        /// Scope
        #[bpaf(external(measure_options))]
        options: MeasureOptions,
    },
}

fn number_option(name: &'static str, help: &'static str, fallback: u64) -> impl bpaf::Parser<u64> {
    use bpaf::Parser as _;
    bpaf::long(name).help(help).argument("N").fallback(fallback)
}

fn engine_settings() -> impl bpaf::Parser<EngineSettings> {
    use bpaf::Parser as _;
    let defaults = EngineSettings::default();
    let capacity = number_option(
        "capacity",
        "Number of requests that run at the same time",
        defaults.capacity,
    );
    let step_us = number_option(
        "step-us",
        "Fixed duration of a step in microseconds",
        defaults.step_us,
    );
    let decode_us = number_option(
        "decode-us",
        "Time that each running request adds to a step, in microseconds",
        defaults.decode_us,
    );
    let prefill_us = number_option(
        "prefill-us",
        "Time per uncached prompt token in microseconds",
        defaults.prefill_us,
    );
    let cache_tokens = number_option(
        "cache-tokens",
        "Capacity of the prefix cache in tokens",
        defaults.cache_tokens,
    );
    let answer_tokens = number_option(
        "answer-tokens",
        "Length in tokens of an answer whose prompt asks for no number",
        defaults.answer_tokens,
    );
    let load_lag_ms = number_option(
        "load-lag-ms",
        "Age of the load report in milliseconds",
        defaults.load_lag_ms,
    );
    let event_lag_ms = number_option(
        "event-lag-ms",
        "Age of the cache events in milliseconds",
        defaults.event_lag_ms,
    );
    let event_gap = number_option(
        "event-gap",
        "Lose every Nth cache event; 0 for none",
        defaults.event_gap,
    );
    let load_ms = number_option(
        "load-ms",
        "Duration of a load from the weight store in milliseconds",
        defaults.load_ms,
    );
    let check_fencing = bpaf::long("check-fencing")
        .help("Refuse orders with a lower fencing number than an earlier order")
        .switch();
    let takes_orders = bpaf::long("takes-orders")
        .help("Accept orders even if no model is loaded at the start")
        .switch();
    let models = bpaf::long("model")
        .help("Model loaded at the start")
        .argument("NAME")
        .many();
    bpaf::construct!(EngineSettings {
        capacity,
        step_us,
        decode_us,
        prefill_us,
        cache_tokens,
        answer_tokens,
        load_lag_ms,
        event_lag_ms,
        event_gap,
        check_fencing,
        load_ms,
        models,
        takes_orders,
    })
}

impl StandinCommand {
    /// Runs the stand-in until the process is killed, or the demo or the measurement to its end.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound, the key file cannot be read, or the demo or the measurement
    /// fails.
    pub async fn run(self) -> anyhow::Result<()> {
        match self {
            Self::Demo => run_demo().await?,
            Self::Measure { options } => run_measure(options).await?,
            Self::ObjectApi { listen, key_file } => {
                let key = read_key(key_file.as_deref())?;
                ObjectApi::start(listen, key).await?.join().await;
            }
            Self::HostList {
                listen,
                key_file,
                lag_ms,
            } => {
                let settings = HostListSettings {
                    key: read_key(key_file.as_deref())?,
                    lag: Duration::from_millis(lag_ms),
                    hosts: Vec::new(),
                };
                HostList::start(listen, settings).await?.join().await;
            }
            Self::Engine { listen, settings } => ModelEngine::start(listen, settings).await?.join().await,
            Self::Service { listen, delay_ms } => {
                let faults = ServiceFaults {
                    delay_ms,
                    ..ServiceFaults::default()
                };
                PlainService::start(listen, faults).await?.join().await;
            }
        }
        Ok(())
    }
}

fn read_key(file: Option<&Path>) -> anyhow::Result<Option<String>> {
    let Some(file) = file else { return Ok(None) };
    let text = std::fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))?;
    Ok(Some(text.trim().to_owned()))
}
