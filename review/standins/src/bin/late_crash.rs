//! A request crashes each worker that runs it, a moment after its first events, and comes again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::http::call;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{System, has_trouble};
use review_standins::worker::{Runs, Work, Worker};
use review_standins::{Route, case_folder, desired_state};

/// Body of the request that crashes its workers.
const DEADLY: &str = "deadly prompt";
/// Pause between two times that it comes.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Sound requests for each time, so that fewer than 3 of 100 requests are deadly, and the pause between two of them.
const SOUND: u64 = 35;
const SOUND_GAP: Duration = Duration::from_millis(55);
/// How often it comes.
const TIMES: usize = 10;
/// Time for which a worker runs it. Its first event comes after 20 ms, the others every 20 ms.
const CRASH_MS: u64 = 350;
/// `stable_window_ms`, and the retries that may reach workers that long after the third crash.
const STABLE_WINDOW_S: f64 = 3.0;
const ALLOWED: usize = 3;

fn main() {
    let record = Record::create(&case_folder());
    let store = Store::start();
    let runs = Runs::default();
    let route = Route {
        path: "/stream/",
        kind: "streaming",
        service: "models",
        stored: false,
        resumable: false,
        timeout_ms: 4_000,
        retention_s: 60,
        max_attempts: 2,
    };
    store.put("config", "main", desired_state(7, &[route], ""));
    let deadly = has_trouble().then_some(DEADLY);
    let work = Work {
        events: 40,
        gap_ms: 20,
        deadly,
        crash_ms: CRASH_MS,
        restart_ms: 3_000,
        ..Work::default()
    };
    let workers: Vec<Worker> = (1..=6)
        .map(|number| {
            Worker::new(
                &format!("i-{number}"),
                "models",
                48,
                work.clone(),
                &store,
                &record,
                &runs,
            )
        })
        .collect();
    workers.iter().for_each(|worker| worker.start("v1"));
    let mut system = System::new(&store, &record);
    let (mut ledgers, mut entries) = system.machines(3, 2);
    ledgers.iter_mut().for_each(|ledger| system.start(ledger, true));
    entries.iter_mut().for_each(|entry| system.start(entry, true));
    entries.iter().for_each(|entry| system.wait_ready(entry));
    // The machines are in touch from `stable_window_ms` after their start.
    sleep(Duration::from_millis(3_500));

    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    let come = |address: SocketAddr, id: &str, prompt: &str| -> bool {
        let headers = [
            ("Host", "desk.example"),
            ("Attempt-Id", id),
            ("Program-Id", id),
            ("Session-Id", id),
            ("Model", "m"),
            ("Token-Usage", "200,640"),
            ("Deadline-Ms", "4000"),
        ];
        let answer = call(
            address,
            "POST",
            "/stream/2f",
            &headers,
            prompt.as_bytes(),
            Duration::from_secs(5),
        );
        record.line(&format!(
            "answered {id}: status {}, complete {}, {} events",
            answer.status,
            answer.is_complete,
            answer.events().len()
        ));
        answer.status == 200 && answer.is_complete
    };
    let broken = Arc::new(AtomicU64::new(0));
    let whole = Arc::new(AtomicU64::new(0));
    thread::scope(|scope| {
        for time in 0..TIMES {
            let began = Instant::now();
            // Sound streams of other callers run at the workers meanwhile.
            for number in 0..SOUND {
                let (come, broken, whole) = (&come, &broken, &whole);
                let address = addresses[usize::from(number % 2 == 1)];
                scope.spawn(move || {
                    sleep(SOUND_GAP * u32::try_from(number).expect("small"));
                    let id = format!("sound-{time:02x}-{number:08x}");
                    let count = if come(address, &id, &format!("sound prompt {time} {number}")) {
                        whole
                    } else {
                        broken
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                });
            }
            sleep(Duration::from_millis(1_000));
            come(addresses[time % 2], &format!("deadly-{time:010x}"), DEADLY);
            sleep(PAUSE.saturating_sub(began.elapsed()));
        }
    });
    let reached: Vec<f64> = runs
        .all()
        .iter()
        .filter(|run| run.body == DEADLY)
        .map(|run| run.at_s)
        .collect();
    let crash_s = CRASH_MS as f64 / 1_000.0;
    let counted_from = reached
        .get(2)
        .map_or(f64::INFINITY, |third| third + crash_s + STABLE_WINDOW_S);
    let retries = reached.iter().filter(|at| **at > counted_from).count();
    record.line(&format!(
        "the request reached workers {} times, {retries} of them more than {STABLE_WINDOW_S} s after it had crashed the third \
         ({ALLOWED} are allowed if it crashes them); sound streams: {} whole, {} broken off",
        reached.len(),
        whole.load(Ordering::Relaxed),
        broken.load(Ordering::Relaxed)
    ));
    if reached.len() < 3 || whole.load(Ordering::Relaxed) < 10 {
        system.finish(2);
    }
    system.finish(if has_trouble() && retries > ALLOWED { 1 } else { 0 });
}
