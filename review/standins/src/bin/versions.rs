//! Half of the workers get a new software version, two at a time, each under the id that it had, while the store is down.
//!
//! Streams that break off at a worker go on at another one that the entry still takes for one of the old version.

use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::http::call;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{System, has_trouble};
use review_standins::worker::{Runs, Work, Worker};
use review_standins::{Route, case_folder, desired_state};

/// Time for which the store is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Workers, how many of them get the new version, and how many at a time.
const WORKERS: usize = 12;
const REPLACED: usize = 6;
const AT_A_TIME: usize = 2;
/// Pause between two such steps, and time for which each worker is away.
const GAP: Duration = Duration::from_millis(1_000);
const AWAY: Duration = Duration::from_millis(300);
/// Streams a second, and for how long.
const SENT_PER_S: u64 = 60;
const FOR_S: u64 = 9;
/// Events of a stream.
const EVENTS: u64 = 16;

fn main() {
    let record = Record::create(&case_folder());
    let store = Store::start();
    let runs = Runs::default();
    let route = Route {
        path: "/stream/",
        kind: "streaming",
        service: "models",
        stored: false,
        resumable: true,
        timeout_ms: 4_000,
        retention_s: 60,
        max_attempts: 2,
    };
    store.put("config", "main", desired_state(7, &[route], ""));
    let work = Work {
        events: EVENTS,
        gap_ms: 60,
        ..Work::default()
    };
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|number| {
            let worker = Worker::new(
                &format!("i-{number}"),
                "models",
                48,
                work.clone(),
                &store,
                &record,
                &runs,
            );
            worker.in_zone(["hall-a", "hall-b", "hall-c"][(number - 1) / 4])
        })
        .collect();
    workers.iter().for_each(|worker| worker.start("v1"));
    let mut system = System::new(&store, &record);
    let (mut ledgers, mut entries) = system.machines(3, 1);
    ledgers.iter_mut().for_each(|ledger| system.start(ledger, true));
    entries.iter_mut().for_each(|entry| system.start(entry, true));
    entries.iter().for_each(|entry| system.wait_ready(entry));
    sleep(Duration::from_secs(1));

    let (down_store, noted) = (store.clone(), record.clone());
    let upgrade = thread::spawn(move || {
        sleep(Duration::from_secs(1));
        if has_trouble() {
            noted.line("the store is down");
            down_store.set_down(true);
        }
        let began = Instant::now();
        sleep(Duration::from_millis(500));
        for step in workers[..REPLACED].chunks(AT_A_TIME) {
            step.iter()
                .for_each(|worker| worker.crash("it is to get the new version"));
            sleep(AWAY);
            step.iter().for_each(|worker| worker.start("v2"));
            sleep(GAP - AWAY);
        }
        sleep(DOWN.saturating_sub(began.elapsed()));
        if has_trouble() {
            noted.line("the store is up again");
            down_store.set_down(false);
        }
    });
    let address = entries[0].address;
    let texts: Arc<Mutex<Vec<(String, Vec<String>)>>> = Arc::default();
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..SENT_PER_S * FOR_S {
        let due = started + Duration::from_millis(number * 1_000 / SENT_PER_S);
        sleep(due.saturating_duration_since(Instant::now()));
        let (record, texts) = (record.clone(), Arc::clone(&texts));
        callers.push(thread::spawn(move || {
            let first = format!("first-{number:011x}");
            let program = format!("p{number:05x}");
            let mut text: Vec<String> = Vec::new();
            // One try again, with what the requester has: the number of its last event and the attempt that began it.
            for attempt in 0..2 {
                let id = if attempt == 0 {
                    first.clone()
                } else {
                    format!("again-{number:011x}")
                };
                let last = text.len().to_string();
                let mut headers = vec![
                    ("Host", "desk.example"),
                    ("Attempt-Id", id.as_str()),
                    ("Program-Id", program.as_str()),
                    ("Session-Id", program.as_str()),
                    ("Model", "m"),
                    ("Token-Usage", "200,256"),
                    ("Deadline-Ms", "4000"),
                ];
                if !text.is_empty() {
                    headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first.as_str())]);
                }
                let answer = call(
                    address,
                    "POST",
                    "/stream/2f",
                    &headers,
                    b"prompt",
                    Duration::from_secs(5),
                );
                for (event, data) in answer.events() {
                    if event == text.len() as u64 + 1 {
                        text.push(data);
                    }
                }
                record.line(&format!(
                    "answered {id}: status {}, complete {}, {} events so far",
                    answer.status,
                    answer.is_complete,
                    text.len()
                ));
                if answer.status == 200 && answer.is_complete {
                    break;
                }
                sleep(Duration::from_millis(200));
            }
            texts.lock().expect("unpoisoned").push((first, text));
        }));
    }
    for caller in callers {
        let _ended = caller.join();
    }
    let _ended = upgrade.join();
    let texts = texts.lock().expect("unpoisoned").clone();
    let is_joined = |text: &[String], version: &str| text.iter().any(|data| data.starts_with(version));
    let joined: Vec<&(String, Vec<String>)> = texts
        .iter()
        .filter(|(_, text)| is_joined(text, "v1/") && is_joined(text, "v2/"))
        .collect();
    for (id, text) in &joined {
        record.line(&format!(
            "stream {id} holds events of two versions: {}",
            text.join(" ")
        ));
    }
    let whole = texts
        .iter()
        .filter(|(_, text)| text.len() as u64 == EVENTS)
        .count();
    record.line(&format!(
        "{} streams, {whole} whole, {} with events of two software versions (more than two break the rule)",
        texts.len(),
        joined.len()
    ));
    if whole < 20 {
        system.finish(2);
    }
    system.finish(if joined.len() > 2 { 1 } else { 0 });
}
