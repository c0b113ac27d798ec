//! What the agent reports of its backend server.

use domain::{Heartbeat, ModelState};
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine};

use crate::entry::FakeEntry;
use crate::support::{TestAgent, any_port};

/// Heartbeats without a configuration.
const HEARTBEATS: u64 = 5;

fn takes_calls(heartbeat: &Heartbeat) -> bool {
    let load = heartbeat.load.as_ref();
    load.is_some_and(|load| load.healthy && load.model.is_serving())
}

/// Entries send calls to every agent that reports itself as serving.
#[gtest]
#[tokio::test]
async fn does_not_report_an_engine_as_serving_before_it_knows_its_models() {
    let settings = EngineSettings {
        takes_orders: true,
        ..EngineSettings::default()
    };
    let engine = ModelEngine::start(any_port(), settings).await.expect("started");
    let entries = vec![FakeEntry::start(1, 1).await];
    entries[0].state().muted = true;
    let agent = TestAgent::start_with_entries("matcher", engine.address(), entries).await;
    let mut heartbeats = agent.heartbeats();
    let mut sequence = 0;
    while sequence < HEARTBEATS {
        let heartbeat = heartbeats.recv().await.expect("a running agent");
        expect_that!(takes_calls(&heartbeat), eq(false), "{heartbeat:?}");
        sequence = heartbeat.sequence;
    }
    agent.entries[0].state().muted = false;
    loop {
        let heartbeat = heartbeats.recv().await.expect("a running agent");
        expect_that!(takes_calls(&heartbeat), eq(false), "{heartbeat:?}");
        let load = heartbeat.load.as_ref().expect("an agent's load");
        if load.healthy && load.model == ModelState::Absent {
            return;
        }
    }
}
