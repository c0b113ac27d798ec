//! Orders to engines over real processes: the configured number of replicas, the weight store's limit of
//! loads in progress, and the controller's lease.

mod common;

use common::{session, start};
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{BackendKind, BackendPlan, Deployment, EngineSettings, OrderRecord, Testbed, send_json};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use wire::{AgentPortClient, ClusterSecret, EngineCommand, EngineOrder, connect_peer};

/// Timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two checks while a wait lasts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Duration of a load from the weight store.
const LOAD_MS: u64 = 400;
/// Port on which an agent receives orders in a testbed.
const PROCESS_PORT: u16 = 7101;

/// Returns the plan of an engine that takes orders.
fn engine(index: usize, settings: EngineSettings) -> BackendPlan {
    let failure_domain = format!("colombo-{}", index % 3 + 1);
    let settings = EngineSettings {
        takes_orders: true,
        load_ms: LOAD_MS,
        ..settings
    };
    BackendPlan::new(
        &format!("matcher-{}", index + 1),
        &failure_domain,
        "matcher",
        BackendKind::Engine(settings),
    )
}

fn engine_with_model() -> EngineSettings {
    EngineSettings {
        models: vec!["matcher".to_owned()],
        ..EngineSettings::default()
    }
}

fn fencing_engine() -> EngineSettings {
    EngineSettings {
        check_fencing: true,
        ..EngineSettings::default()
    }
}

/// Returns Kelanimatch's deployment with these engines in place of its own, spread over all three failure
/// domains.
fn deployment(engines: Vec<EngineSettings>, replicas: u32) -> Deployment {
    let mut deployment = Deployment::kelanimatch()
        .with_configuration_replaced("replicas = 2", &format!("replicas = {replicas}"))
        .with_configuration_replaced("failure-domains = colombo-1, colombo-2\n", "");
    deployment.backends.retain(|plan| plan.service != "matcher");
    let engines = engines.into_iter().enumerate();
    deployment
        .backends
        .extend(engines.map(|(index, settings)| engine(index, settings)));
    deployment
}

fn matchers(count: usize) -> Vec<String> {
    (1..=count).map(|number| format!("matcher-{number}")).collect()
}

/// Waits until an entry lists the model as served by exactly these engines.
async fn wait_serving(testbed: &Testbed, entry: &str, wanted: &[&str]) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let reply = testbed
            .send_operator_request(entry, "GET", "/admin/status", "")
            .await
            .unwrap();
        let status: Value = reply.decode().unwrap();
        let hosts = status["hosts"].as_array().unwrap();
        let serving = hosts.iter().filter(|row| {
            row["load"]["service"] == "matcher"
                && row["load"]["healthy"] == true
                && row["load"]["model"] == "loaded"
                && row["heard_ms"].as_u64() < Some(1_000)
        });
        let serving: Vec<_> = serving.filter_map(|row| row["name"].as_str()).collect();
        if wanted.iter().all(|name| serving.contains(name)) && serving.len() == wanted.len() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the model is served by {serving:?}, expected {wanted:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an entry other than `except` has begun a term of the controller's lease that is at least
/// `min_term`, and returns the entry and the term.
async fn wait_controller(testbed: &Testbed, except: &str, min_term: u64) -> (String, u64) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        for entry in testbed.entry_names().into_iter().filter(|name| name != except) {
            let term = terms(testbed, &entry).into_iter().max();
            if let Some(term) = term.filter(|term| *term >= min_term) {
                return (entry, term);
            }
        }
        assert!(
            Instant::now() < deadline,
            "no entry has begun term {min_term} or a later one"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the terms of the controller's lease that an entry has begun, from its log.
fn terms(testbed: &Testbed, entry: &str) -> Vec<u64> {
    let log = testbed.log(entry);
    let lines = log.lines().filter(|line| line.contains("msg=controller "));
    let fields = lines.filter_map(|line| line.split(' ').find_map(|field| field.strip_prefix("term=")));
    let mut terms: Vec<_> = fields.filter_map(|term| term.trim().parse().ok()).collect();
    terms.dedup();
    terms
}

async fn orders(testbed: &Testbed, host: &str) -> Vec<OrderRecord> {
    testbed.engine_orders(host).await.unwrap()
}

/// Returns the start that an agent's heartbeats carry, as an entry lists it.
async fn fetch_agent_start(testbed: &Testbed, entry: &str, host: &str) -> u64 {
    let reply = testbed
        .send_operator_request(entry, "GET", "/admin/status", "")
        .await
        .unwrap();
    let status: Value = reply.decode().unwrap();
    let rows = status["hosts"].as_array().unwrap();
    let row = rows.iter().find(|row| row["name"] == host).unwrap();
    row["start"].as_u64().unwrap()
}

/// Sends an agent an order as a controller that was frozen while it sent the order would, and returns the
/// refusal.
async fn send_stale_order(testbed: &Testbed, host: &str, term: u64, agent_start: u64) -> errors::CallError {
    let secret = ClusterSecret::from_bytes(b"cluster-key-of-a-testbed").unwrap();
    let address = (testbed.address(host), PROCESS_PORT).into();
    let transport = connect_peer(address, &secret).await.unwrap();
    let client = AgentPortClient::new(tarpc::client::Config::default(), transport).spawn();
    let order = EngineOrder {
        term,
        generation: domain::Generation(testbed.generation()),
        agent_start,
        command: EngineCommand::Unload("matcher".parse().unwrap()),
    };
    let answer = client.order_engine(tarpc::context::current(), order).await;
    answer.unwrap().expect_err("the agent accepted a stale order")
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replicas_are_restored_after_a_backend_server_dies() {
    let engines = vec![
        engine_with_model(),
        EngineSettings::default(),
        EngineSettings::default(),
    ];
    let (mut testbed, _permit) = start(deployment(engines, 2)).await;
    wait_serving(&testbed, "entry-2", &["matcher-1", "matcher-2"]).await;
    let mut session = session(&testbed, 0).await;
    session.turn("user", "before", 5).await.unwrap();
    testbed.kill("matcher-1").await.unwrap();
    wait_serving(&testbed, "entry-2", &["matcher-2", "matcher-3"]).await;
    session.turn("user", "with the agent dead", 5).await.unwrap();
    testbed.kill("matcher-2.backend").await.unwrap();
    wait_serving(&testbed, "entry-2", &["matcher-3"]).await;
    session.turn("user", "with the engine dead", 5).await.unwrap();
    session.finish().await.unwrap();
    let records = testbed.engine_records("matcher-3").await.unwrap();
    expect_false!(records.is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_only_to_engines_with_the_model_loaded() {
    let engines = vec![engine_with_model(), EngineSettings::default()];
    let (testbed, _permit) = start(deployment(engines, 1)).await;
    wait_serving(&testbed, "entry-1", &["matcher-1"]).await;
    wait_serving(&testbed, "entry-2", &["matcher-1"]).await;
    for number in 0..20 {
        let mut session = session(&testbed, number % 2).await;
        session.turn("user", "one of many", 5).await.unwrap();
        session.finish().await.unwrap();
    }
    expect_that!(testbed.engine_refusals("matcher-2").await.unwrap(), eq(0));
    expect_false!(testbed.log("matcher-2").contains("dispatch refused"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_is_unloaded_without_the_loss_of_a_call() {
    let (testbed, _permit) = start(deployment(
        vec![engine_with_model(), engine_with_model(), engine_with_model()],
        2,
    ))
    .await;
    wait_serving(&testbed, "entry-2", &["matcher-1", "matcher-2", "matcher-3"]).await;
    let hosts = matchers(3);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut unloads = 0;
    while unloads == 0 {
        assert!(Instant::now() < deadline, "no model was unloaded");
        let mut session = session(&testbed, 0).await;
        session.turn("user", "while one goes", 20).await.unwrap();
        session.finish().await.unwrap();
        for host in &hosts {
            unloads += orders(&testbed, host).await.len();
        }
    }
    for _ in 0..10 {
        let mut session = session(&testbed, 1).await;
        session.turn("user", "after one has gone", 20).await.unwrap();
        session.finish().await.unwrap();
    }
    let mut total_orders = 0;
    for host in &hosts {
        expect_that!(testbed.engine_refusals(host).await.unwrap(), eq(0), "{host}");
        total_orders += orders(&testbed, host).await.len();
    }
    expect_that!(total_orders, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn loads_in_progress_stay_within_the_weight_stores_limit() {
    let count = 6;
    let (testbed, _permit) = start(deployment(vec![EngineSettings::default(); count], 6)).await;
    let hosts = matchers(count);
    let names: Vec<_> = hosts.iter().map(String::as_str).collect();
    wait_serving(&testbed, "entry-1", &names).await;
    let mut loads = Vec::new();
    for host in &hosts {
        let taken = orders(&testbed, host).await.into_iter();
        loads.extend(taken.filter(|order| order.load && order.status == 204));
    }
    expect_that!(loads.len(), eq(count));
    for load in &loads {
        let together = loads
            .iter()
            .filter(|other| other.taken <= load.taken && load.taken < other.ready);
        expect_that!(together.count(), le(2));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_of_a_controller_that_was_frozen_past_its_lease_is_refused() {
    let engines = vec![
        engine_with_model(),
        engine_with_model(),
        fencing_engine(),
        EngineSettings::default(),
    ];
    let (mut testbed, _permit) = start(deployment(engines, 2)).await;
    wait_serving(&testbed, "entry-1", &["matcher-1", "matcher-2"]).await;
    let (frozen, first) = wait_controller(&testbed, "", 1).await;
    expect_that!(first, eq(1));
    testbed.freeze(&frozen).unwrap();
    let (next, term) = wait_controller(&testbed, &frozen, 2).await;
    expect_that!(term, eq(2));
    testbed.kill("matcher-1").await.unwrap();
    testbed.kill("matcher-2").await.unwrap();
    wait_serving(&testbed, &next, &["matcher-3", "matcher-4"]).await;
    testbed.resume(&frozen).unwrap();
    for host in ["matcher-3", "matcher-4"] {
        let start = fetch_agent_start(&testbed, &next, host).await;
        let refusals = [
            send_stale_order(&testbed, host, 1, start).await,
            send_stale_order(&testbed, host, term, start + 1).await,
        ];
        let codes = refusals.map(|refusal| (refusal.code, refusal.run));
        let stale = (errors::ResultCode::StaleTenure, errors::RunState::NotRun);
        let restarted = (errors::ResultCode::AgentRestarted, errors::RunState::NotRun);
        expect_that!(codes, eq([stale, restarted]), "{host}");
        let terms: Vec<_> = orders(&testbed, host)
            .await
            .iter()
            .map(|order| order.fencing)
            .collect();
        expect_that!(terms, not(contains(eq(&1))), "{host}");
    }
    let stale = json!({"fencing": 1, "command": "unload", "model": "matcher"}).to_string();
    let url = format!("{}/orders", testbed.standin_url("matcher-3"));
    expect_that!(send_json("POST", &url, &stale).await.unwrap().status, eq(409));
    wait_serving(&testbed, &frozen, &["matcher-3", "matcher-4"]).await;
    expect_that!(terms(&testbed, &frozen), eq(&vec![1]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_object_api_moves_no_lease_and_loses_no_replica() {
    let engines = vec![
        engine_with_model(),
        engine_with_model(),
        EngineSettings::default(),
    ];
    let (mut testbed, _permit) = start(deployment(engines, 2)).await;
    let (holder, _) = wait_controller(&testbed, "", 1).await;
    wait_serving(&testbed, &holder, &["matcher-1", "matcher-2"]).await;
    testbed
        .set_faults("object-api", &json!({"outage": true}))
        .await
        .unwrap();
    testbed.wait_object_refusals(20).await.unwrap();
    testbed.kill("matcher-1").await.unwrap();
    testbed.wait_object_refusals(40).await.unwrap();
    testbed.set_faults("object-api", &json!({})).await.unwrap();
    wait_serving(&testbed, &holder, &["matcher-2", "matcher-3"]).await;
    for entry in testbed.entry_names() {
        let wanted = if entry == holder { vec![1] } else { vec![] };
        expect_that!(terms(&testbed, &entry), eq(&wanted), "{entry}");
    }
}
