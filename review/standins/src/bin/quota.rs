//! A tenant whose requesters close their channels early gets more requests run than its quota allows.
//!
//! Every requester sends one request on a new channel. Half of them, in no regular order, leave after 120 ms, before their
//! answer.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::http::{call, send};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{System, has_trouble};
use review_standins::worker::{Runs, Work, Worker};
use review_standins::{Route, case_folder, desired_state};

/// Quota of the tenant, and what is tolerated beyond it.
const RATE_PER_S: f64 = 10.0;
const BURST: f64 = 10.0;
const WINDOW_S: f64 = 5.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Requests a second, and for how long.
const SENT_PER_S: u64 = 40;
const FOR_S: u64 = 8;
/// Time after which a requester that leaves closes its channel: less than half of the route's objective of 500 ms.
const LEAVES_AFTER: Duration = Duration::from_millis(120);
/// Time that a worker takes for a request.
const WORK_MS: u64 = 300;

fn main() {
    let record = Record::create(&case_folder());
    let store = Store::start();
    let runs = Runs::default();
    let route = Route {
        path: "/once/",
        kind: "non_idempotent",
        service: "desk",
        stored: false,
        resumable: false,
        timeout_ms: 2_000,
        retention_s: 0,
        max_attempts: 1,
    };
    let tenants = format!(
        "[{{\"name\":\"harbour\",\"api_keys\":[\"key-of-harbour\"],\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}}]"
    );
    let state = desired_state(7, &[route], &tenants);
    store.put(
        "config",
        "main",
        state.replace("\"target_latency_ms\":250", "\"target_latency_ms\":500"),
    );
    let work = Work {
        plain_ms: WORK_MS,
        ..Work::default()
    };
    let workers: Vec<Worker> = (1..=6)
        .map(|number| {
            Worker::new(
                &format!("i-{number}"),
                "desk",
                12,
                work.clone(),
                &store,
                &record,
                &runs,
            )
        })
        .collect();
    workers.iter().for_each(|worker| worker.start("v1"));
    let mut system = System::new(&store, &record);
    system.contracts = ",\"tenants\",\"quota\"".to_owned();
    system.bounds = format!(
        "strict_revocation = false\nrevoke_ms = 5000\nquota_window_s = {WINDOW_S}\nquota_overshoot = {OVERSHOOT}\nquota_slack = {SLACK}\n"
    );
    let (mut ledgers, mut entries) = system.machines(3, 2);
    ledgers.iter_mut().for_each(|ledger| system.start(ledger, true));
    entries.iter_mut().for_each(|entry| system.start(entry, true));
    entries.iter().for_each(|entry| system.wait_ready(entry));
    sleep(Duration::from_secs(1));

    let answered = Arc::new([const { AtomicU64::new(0) }; 3]);
    let sent_at: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..SENT_PER_S * FOR_S {
        let due = started + Duration::from_millis(number * 1_000 / SENT_PER_S);
        sleep(due.saturating_duration_since(Instant::now()));
        let address = entries[usize::try_from(number % 2).expect("small")].address;
        let leaves = has_trouble() && (number.wrapping_mul(2_654_435_761) >> 16) % 2 == 0;
        let (record, answered, sent_at) = (record.clone(), Arc::clone(&answered), Arc::clone(&sent_at));
        callers.push(thread::spawn(move || {
            let id = format!("call-{number:012x}");
            let now = record.seconds();
            sent_at.lock().expect("unpoisoned").insert(id.clone(), now);
            let headers = [
                ("Host", "desk.example"),
                ("Attempt-Id", id.as_str()),
                ("X-Api-Key", "key-of-harbour"),
                ("Deadline-Ms", "2000"),
            ];
            if leaves {
                let Ok(mut stream) = TcpStream::connect(address) else {
                    return;
                };
                if send(&mut stream, "POST", "/once/a", &headers, b"order").is_ok() {
                    sleep(LEAVES_AFTER);
                    record.line(&format!("{id} leaves"));
                }
                return;
            }
            let answer = call(
                address,
                "POST",
                "/once/a",
                &headers,
                b"order",
                Duration::from_secs(4),
            );
            record.line(&format!("answered {id}: status {}", answer.status));
            let kind = match answer.status {
                200 => 0,
                429 => 1,
                _ => 2,
            };
            answered[kind].fetch_add(1, Ordering::Relaxed);
        }));
    }
    for caller in callers {
        let _ended = caller.join();
    }
    // Counted are requests that were both sent and run within some window.
    let sent_at = sent_at.lock().expect("unpoisoned").clone();
    let times: Vec<(f64, f64)> = runs
        .all()
        .iter()
        .filter_map(|run| Some((*sent_at.get(&run.attempt)?, run.at_s)))
        .collect();
    let most = times
        .iter()
        .map(|(from, _)| {
            times
                .iter()
                .filter(|(sent, run)| sent >= from && *run < from + WINDOW_S)
                .count()
        })
        .max()
        .unwrap_or_default();
    let allowed = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let [served, refused, other] = [0, 1, 2].map(|kind: usize| answered[kind].load(Ordering::Relaxed));
    record.line(&format!(
        "{} requests sent, {} run, {served} answered 200, {refused} answered 429, {other} otherwise; most run in {WINDOW_S} s: {most}, \
         allowed: {allowed}",
        SENT_PER_S * FOR_S,
        times.len()
    ));
    if times.len() < 20 {
        system.finish(2);
    }
    system.finish(if most as f64 > allowed { 1 } else { 0 });
}
