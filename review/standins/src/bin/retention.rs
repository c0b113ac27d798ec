//! A chain of stored turns that lasts longer than its first turn is kept.
//!
//! A session continues its latest turn every twelve seconds, well inside `retention_s`. The entry that has served it is
//! stopped as planned and starts again. The next turn names the latest one, which was answered whole a few seconds ago.

use std::thread::sleep;
use std::time::Duration;

use review_standins::http::{Answer, call};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{System, has_trouble};
use review_standins::worker::{Run, Runs, Work, Worker};
use review_standins::{Route, case_folder, desired_state};

/// Retention of the route. The longest pause between two turns of the session stays below it.
const RETENTION_S: u64 = 20;
/// Turns before the entry is stopped, and the pause between two of them.
const TURNS: u64 = 8;
const PAUSE_S: u64 = 12;
/// Time in which the program is to be finished: 2.2 times its pauses and turns on idle workers.
const PROGRAM_MS: f64 = 190_000.0;
/// First turns of other sessions that are sent beside the tries.
const OTHERS: u64 = 10;
/// Tries of the last turn, each with its own `Attempt-Id`.
const TRIES: u64 = 6;

fn main() {
    let record = Record::create(&case_folder());
    let store = Store::start();
    let runs = Runs::default();
    let route = Route {
        path: "/kept/",
        kind: "streaming",
        service: "models",
        stored: true,
        resumable: false,
        timeout_ms: 4_000,
        retention_s: RETENTION_S,
        max_attempts: 2,
    };
    store.put("config", "main", desired_state(7, &[route], ""));
    let workers: Vec<Worker> = (1..=2)
        .map(|number| {
            Worker::new(
                &format!("i-{number}"),
                "models",
                48,
                Work::default(),
                &store,
                &record,
                &runs,
            )
        })
        .collect();
    workers.iter().for_each(|worker| worker.start("v1"));
    let mut system = System::new(&store, &record);
    let (mut ledgers, mut entries) = system.machines(3, 1);
    for ledger in &mut ledgers {
        system.start(ledger, true);
    }
    system.start(&mut entries[0], true);
    system.wait_ready(&entries[0]);
    sleep(Duration::from_secs(1));

    let turn = |id: &str, previous: Option<&str>, input: &str| -> Answer {
        let left = format!("{:.0}", PROGRAM_MS - record.seconds() * 1_000.0);
        let mut headers = vec![
            ("Host", "desk.example"),
            ("Attempt-Id", id),
            ("Program-Id", "3fa81c"),
            ("Session-Id", "77d20b"),
            ("Program-Deadline-Ms", left.as_str()),
            ("Token-Budget", "100000"),
            ("Token-Usage", "200,64"),
            ("Deadline-Ms", "4000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        record.line(&format!("sent {id} after turn {}", previous.unwrap_or("-")));
        let answer = call(
            entries_address(),
            "POST",
            "/kept/2f",
            &headers,
            input.as_bytes(),
            Duration::from_secs(5),
        );
        record.line(&format!(
            "answered {id}: status {}, complete {}, {} events, {}",
            answer.status,
            answer.is_complete,
            answer.events().len(),
            if answer.status == 200 {
                String::new()
            } else {
                answer.text()
            }
        ));
        answer
    };
    ADDRESS.set(entries[0].address).expect("set once");

    let mut previous: Option<String> = None;
    for number in 1..=TURNS {
        let id = format!("turn-{number:012x}");
        let answer = turn(&id, previous.as_deref(), &format!("input {number}\n"));
        if answer.status != 200 || !answer.is_complete {
            record.line("a turn before the disruption was not answered whole");
            system.finish(2);
        }
        previous = Some(id);
        if number < TURNS {
            sleep(Duration::from_secs(PAUSE_S));
        }
    }
    let answered_at = record.seconds();
    if has_trouble() {
        system.stop(&mut entries[0]);
        system.start(&mut entries[0], false);
        system.wait_ready(&entries[0]);
    }
    // The machine has been in touch for longer than `stable_window_ms`.
    sleep(Duration::from_millis(3_500));
    let reached = |id: &str| runs.all().into_iter().find(|run: &Run| run.attempt == id);
    let (mut tries, mut served) = (0, false);
    for number in 1..=TRIES {
        let id = format!("last-{number:012x}");
        let answer = turn(&id, previous.as_deref(), "the last input\n");
        tries += 1;
        if reached(&id).is_some() && answer.status == 200 {
            served = true;
            break;
        }
        sleep(Duration::from_millis(300));
    }
    let age_s = record.seconds() - answered_at;
    record.line(&format!(
        "the turn that was continued had been answered whole {age_s:.1} s before, retention {RETENTION_S} s; {tries} tries, served: {served}"
    ));
    // First turns show that the workers and the ledger hosts serve.
    let firsts = (1..=OTHERS).map(|number| turn(&format!("other-{number:011x}"), None, "another session\n"));
    let served_firsts = firsts
        .filter(|first| first.status == 200 && first.is_complete)
        .count() as u64;
    record.line(&format!(
        "first turns of others meanwhile: {served_firsts} of {OTHERS} answered whole"
    ));
    if age_s > RETENTION_S as f64 || served_firsts < OTHERS {
        system.finish(2);
    }
    system.finish(if served { 0 } else { 1 });
}

static ADDRESS: std::sync::OnceLock<std::net::SocketAddr> = std::sync::OnceLock::new();

fn entries_address() -> std::net::SocketAddr {
    *ADDRESS.get().expect("set before the first turn")
}
