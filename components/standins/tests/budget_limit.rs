//! A small budget that several entries spend at the same time, checked against the engines' token counts.

mod common;

use std::time::{Duration, Instant};

use common::{ENGINES, caller, start};
use futures::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{Deployment, ProgramSession, TeamCaller, Testbed};

/// Budget of the team in micro-units.
const BUDGET: u64 = 20_000;
/// Number of programs that spend it at the same time.
const PROGRAMS: usize = 8;
/// Number of turns that each of them attempts. Together they cost a multiple of the budget.
const TURNS: u64 = 60;
/// Prices in the deployment's configuration text, in micro-units.
const COMPLETION_TOKEN_PRICE: u64 = 3;
const CALL_PRICE: u64 = 10;
/// Timeout of the wait until the entries report all that was spent.
const REPORT_TIMEOUT: Duration = Duration::from_secs(45);

/// Takes turns until one fails, normally because the budget is spent, and returns the number of answered
/// turns.
async fn spend(caller: TeamCaller) -> u64 {
    let Ok(mut session) = ProgramSession::start(caller, "matcher", "ordinary", None).await else {
        return 0;
    };
    for turn in 0..TURNS {
        if session.turn("user", &format!("turn {turn}"), 50).await.is_err() {
            return turn;
        }
    }
    TURNS
}

/// Returns the price of all tokens and calls that the engines and the service recorded.
async fn spent(testbed: &Testbed) -> u64 {
    let mut price = 0;
    for engine in ENGINES {
        let records = testbed.engine_records(engine).await.unwrap();
        let tokens = records
            .iter()
            .map(|record| record.prompt_tokens + record.completion_tokens * COMPLETION_TOKEN_PRICE);
        price += tokens.sum::<u64>();
    }
    price + testbed.service_calls("notices-1").await.unwrap().len() as u64 * CALL_PRICE
}

/// Waits until the usage that operators read includes the price of what the engines recorded.
async fn wait_usage_reported(testbed: &Testbed, spent: u64) {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    loop {
        let reply = testbed
            .send_operator_request("entry-2", "GET", "/admin/usage/kelanimatch", "")
            .await;
        let usage: Value = reply.unwrap().decode().unwrap();
        if usage["spent"].as_u64() >= Some(spent) {
            expect_that!(usage["limit"], eq(&json!(BUDGET)));
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{spent} was spent, but the entry reports the usage {usage}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_budget_is_not_exceeded_by_two_entries_with_or_without_a_kill() {
    for killed in [false, true] {
        let budget = format!("budget = {BUDGET}");
        let deployment = Deployment::kelanimatch().with_step_us(1_000);
        let deployment = deployment.with_configuration_replaced("budget = 50000000", &budget);
        let (mut testbed, _permit) = start(deployment).await;
        let callers = (0..PROGRAMS).map(|number| caller(&testbed, number % 2).with_retry_period_ms(10_000));
        let spenders: Vec<_> = callers.map(|caller| tokio::spawn(spend(caller))).collect();
        if killed {
            while spent(&testbed).await < BUDGET / 4 {
                tokio::task::yield_now().await;
            }
            testbed.kill("entry-1").await.unwrap();
        }
        let turns: u64 = join_all(spenders)
            .await
            .into_iter()
            .map(|turns| turns.unwrap())
            .sum();
        let spent = spent(&testbed).await;
        println!(
            "killed {killed}: {turns} turns, {spent} of {BUDGET} spent, {} unused",
            BUDGET.saturating_sub(spent)
        );
        expect_that!(spent, le(BUDGET));
        expect_that!(spent, gt(0));
        wait_usage_reported(&testbed, spent).await;
    }
}
