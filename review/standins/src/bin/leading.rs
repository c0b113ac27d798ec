//! The workers of one of three zones crash together while they run the first requests of a new kind. Afterwards every
//! request that begins like those that were lost is refused, also the next turn of a session, although no request crashes
//! anything.
//!
//! The inputs of helpers, and of the session's next turn, begin with the same standing instructions, which no request had
//! before.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::http::{Answer, call};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{System, has_trouble};
use review_standins::worker::{Runs, Work, Worker};
use review_standins::{Route, case_folder, desired_state};

/// Retention of the route.
const RETENTION_S: u64 = 60;
/// Sub-agents of other programs that run then, the time for which they have run when the workers crash, and the time after
/// which these are back.
const HELPERS: u64 = 6;
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_secs(3);
/// Times in which the program of the session, and the others, are to be finished: 2.2 times their turns and pauses on idle
/// workers, and more for the others.
const PROGRAM_MS: f64 = 23_000.0;
const OTHER_PROGRAM_MS: f64 = 5_000.0;
/// Tries of the session's next turn, each with its own `Attempt-Id`, and first turns of others beside them.
const TRIES: u64 = 6;
const OTHERS: u64 = 10;

fn instructions() -> String {
    "You are the desk agent of the harbour. Answer in short sentences and name the berth.\n".repeat(16)
}

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
    let work = Work {
        events: 40,
        gap_ms: 25,
        ..Work::default()
    };
    let workers: Vec<Worker> = (1..=12)
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
    let (mut ledgers, mut entries) = system.machines(3, 2);
    ledgers.iter_mut().for_each(|ledger| system.start(ledger, true));
    entries.iter_mut().for_each(|entry| system.start(entry, true));
    entries.iter().for_each(|entry| system.wait_ready(entry));
    sleep(Duration::from_secs(1));

    let began_at = record.seconds();
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    let turn = |id: &str, program: &str, previous: Option<&str>, input: &str| -> Answer {
        let left = if id.starts_with("session") {
            PROGRAM_MS - (record.seconds() - began_at) * 1_000.0
        } else {
            OTHER_PROGRAM_MS
        };
        let left = format!("{left:.0}");
        let mut headers = vec![
            ("Host", "desk.example"),
            ("Attempt-Id", id),
            ("Program-Id", program),
            ("Session-Id", program),
            ("Program-Deadline-Ms", left.as_str()),
            ("Token-Budget", "100000"),
            ("Token-Usage", "400,64"),
            ("Deadline-Ms", "4000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        // The attempts of a caller go to the entries in turn.
        let address = addresses[id.len() % addresses.len()];
        let answer = call(
            address,
            "POST",
            "/kept/2f",
            &headers,
            input.as_bytes(),
            Duration::from_secs(5),
        );
        record.line(&format!(
            "answered {id} after turn {}: status {}, complete {}, {}",
            previous.unwrap_or("-"),
            answer.status,
            answer.is_complete,
            if answer.status == 200 {
                String::new()
            } else {
                answer.text()
            }
        ));
        answer
    };
    let first = turn("session-1", "77d20b", None, "The berth of the Alma, please.\n");
    if first.status != 200 || !first.is_complete {
        system.finish(2);
    }
    let answered_at = record.seconds();
    sleep(Duration::from_secs(2));
    thread::scope(|scope| {
        for number in 1..=HELPERS {
            let turn = &turn;
            scope.spawn(move || {
                let input = format!("{}Berth plan, part {number}.\n", instructions());
                turn(
                    &format!("helper-{number}"),
                    &format!("helper{number}"),
                    None,
                    &input,
                );
            });
        }
        if has_trouble() {
            // The helpers have reached their workers, and none of them has ended.
            let until = Instant::now() + Duration::from_secs(2);
            let reached = || {
                runs.all()
                    .iter()
                    .filter(|run| run.attempt.starts_with("helper"))
                    .count() as u64
            };
            while reached() < HELPERS && Instant::now() < until {
                sleep(Duration::from_millis(2));
            }
            sleep(CRASH_AFTER);
            let crashes = workers[..4]
                .iter()
                .map(|worker| scope.spawn(|| worker.crash("the workers of its zone crash")));
            crashes.for_each(drop);
        }
    });
    sleep(DOWN);
    if has_trouble() {
        workers[..4].iter().for_each(|worker| worker.start("v1"));
    }
    // The workers are back; the store and the machines were never disturbed.
    sleep(Duration::from_millis(3_500));
    let (mut served, mut served_firsts) = (false, 0);
    for number in 1..=TRIES {
        let next = turn(
            &format!("session-2-{number}"),
            "77d20b",
            Some("session-1"),
            &format!("{}And tomorrow?\n", instructions()),
        );
        if next.status == 200 {
            served = true;
            break;
        }
        sleep(Duration::from_millis(400));
    }
    let tried_until = (record.seconds() - began_at) * 1_000.0;
    for number in 1..=OTHERS {
        let other = turn(
            &format!("other-{number}"),
            &format!("other{number}"),
            None,
            &format!("Ship {number}, which berth?\n"),
        );
        served_firsts += u64::from(other.status == 200 && other.is_complete);
    }
    let reached = runs
        .all()
        .iter()
        .filter(|run| run.attempt.starts_with("session-2"))
        .count();
    record.line(&format!(
        "the session's turn was answered whole {:.0} s before, retention {RETENTION_S} s; {TRIES} tries at the most, {reached} reached a \
         worker; first turns of others: {served_firsts} of {OTHERS} answered whole",
        record.seconds() - answered_at
    ));
    if served_firsts < OTHERS || tried_until > PROGRAM_MS {
        system.finish(2);
    }
    system.finish(if served { 0 } else { 1 });
}
