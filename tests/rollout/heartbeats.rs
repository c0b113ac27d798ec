//! What the heartbeats of a testbed tell of the generations in force.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use config::DaemonSettings;
use standins::Testbed;
use tokio::time::{Instant, sleep};
use wire::{ClusterSecret, HeartbeatSubscriber};

const PATIENCE: Duration = Duration::from_secs(45);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One heartbeat in the order of arrival.
#[derive(Debug, Clone)]
pub struct SeenBeat {
    host: String,
    start: u64,
    generation: u64,
}

/// Returns each later entry of a host's log, also behind a restart, that puts an earlier generation in force.
pub fn logged_steps_back(testbed: &Testbed) -> Vec<String> {
    let mut steps = Vec::new();
    for host in testbed.host_names() {
        let log = testbed.log(&host);
        let changes = log
            .lines()
            .filter(|line| line.contains("configuration in force") || line.contains("applied"));
        let generations = changes.filter_map(logged_generation).collect::<Vec<_>>();
        assert!(!generations.is_empty(), "{host} logged no generation:\n{log}");
        let back = generations.windows(2).filter(|pair| pair[1] < pair[0]);
        steps.extend(back.map(|pair| format!("{host}: {} to {}", pair[0], pair[1])));
    }
    steps
}

fn logged_generation(line: &str) -> Option<u64> {
    let (_, value) = line
        .split_once(" generation=")
        .or_else(|| line.split_once("\tgeneration="))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Every heartbeat heard since the start of the log.
#[derive(Debug)]
pub struct HeartbeatLog {
    beats: Arc<Mutex<Vec<SeenBeat>>>,
    _subscriber: Arc<HeartbeatSubscriber>,
}

impl HeartbeatLog {
    /// Listens to every host of a testbed.
    pub fn start(testbed: &Testbed) -> Self {
        let secret = ClusterSecret::from_file(&testbed.folder().join("cluster.key")).expect("a key");
        let (subscriber, mut receiver) = HeartbeatSubscriber::start(secret).expect("a socket");
        for host in testbed.host_names() {
            let file = testbed.folder().join(format!("{host}.ini"));
            let settings = DaemonSettings::from_file(&file).expect("settings without a fault");
            let address = (settings.host.ip, settings.ports.heartbeat).into();
            subscriber.dial(address).expect("a dialler");
        }
        let beats = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&beats);
        tokio::spawn(async move {
            while let Some(beat) = receiver.recv().await {
                let generation = beat.generation.0;
                let beat = SeenBeat {
                    host: beat.host.to_string(),
                    start: beat.start,
                    generation,
                };
                recorded.lock().expect("no panic").push(beat);
            }
        });
        Self {
            beats,
            _subscriber: subscriber,
        }
    }

    /// Returns the number of heartbeats so far.
    pub fn mark(&self) -> usize {
        self.beats().len()
    }

    /// Waits until each host has announced at least the generation behind the mark.
    ///
    /// Returns for each host the number of heartbeats behind the mark with an earlier generation.
    pub async fn wait_generation(&self, hosts: &[&str], mark: usize, generation: u64) -> Vec<usize> {
        let until = Instant::now() + PATIENCE;
        loop {
            let late: Vec<Option<usize>> = hosts
                .iter()
                .map(|host| self.late_beats(host, mark, generation))
                .collect();
            if let Some(late) = late.iter().copied().collect() {
                return late;
            }
            assert!(
                Instant::now() < until,
                "{hosts:?} still lack generation {generation}: {late:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a host has sent so many heartbeats behind the mark.
    pub async fn wait_beats(&self, host: &str, mark: usize, count: usize) {
        let until = Instant::now() + PATIENCE;
        while self.beats()[mark..]
            .iter()
            .filter(|beat| beat.host == host)
            .count()
            < count
        {
            assert!(Instant::now() < until, "{host} has not sent {count} heartbeats");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns each step of a host to an earlier generation, a start without any configuration aside.
    pub fn steps_back(&self) -> Vec<(SeenBeat, SeenBeat)> {
        let beats = self.beats();
        let mut steps = Vec::new();
        for (place, beat) in beats.iter().enumerate() {
            let earlier = beats[..place]
                .iter()
                .rev()
                .filter(|earlier| earlier.host == beat.host);
            let highest = earlier.max_by_key(|earlier| earlier.generation);
            let fresh = |highest: &SeenBeat| beat.generation == 0 && beat.start != highest.start;
            let lower = highest.filter(|highest| beat.generation < highest.generation && !fresh(highest));
            steps.extend(lower.map(|highest| (highest.clone(), beat.clone())));
        }
        steps
    }

    fn late_beats(&self, host: &str, mark: usize, generation: u64) -> Option<usize> {
        let beats = self.beats();
        let mut own = beats[mark..].iter().filter(|beat| beat.host == host);
        own.position(|beat| beat.generation >= generation)
    }

    fn beats(&self) -> MutexGuard<'_, Vec<SeenBeat>> {
        self.beats.lock().expect("no panic")
    }
}
