//! Records the generations that the hosts of a testbed report in heartbeats and logs.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use config::DaemonSettings;
use standins::Testbed;
use tokio::time::{Instant, sleep};
use wire::{ClusterSecret, HeartbeatSubscriber};

const WAIT_TIMEOUT: Duration = Duration::from_secs(45);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fields of one received heartbeat.
#[derive(Debug, Clone)]
pub struct ReceivedHeartbeat {
    host: String,
    start: u64,
    generation: u64,
}

/// Returns each pair of successive log lines of a host, also across a restart, of which the second one puts
/// an earlier generation in force.
pub fn logged_regressions(testbed: &Testbed) -> Vec<String> {
    let mut regressions = Vec::new();
    for host in testbed.host_names() {
        let log = testbed.log(&host);
        let changes = log
            .lines()
            .filter(|line| line.contains("configuration in force") || line.contains("applied"));
        let generations = changes.filter_map(logged_generation).collect::<Vec<_>>();
        assert!(!generations.is_empty(), "{host} logged no generation:\n{log}");
        let back = generations.windows(2).filter(|pair| pair[1] < pair[0]);
        regressions.extend(back.map(|pair| format!("{host}: {} to {}", pair[0], pair[1])));
    }
    regressions
}

fn logged_generation(line: &str) -> Option<u64> {
    let (_, value) = line
        .split_once(" generation=")
        .or_else(|| line.split_once("\tgeneration="))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Heartbeats in the order in which they were received.
#[derive(Debug)]
pub struct HeartbeatLog {
    heartbeats: Arc<Mutex<Vec<ReceivedHeartbeat>>>,
    _subscriber: Arc<HeartbeatSubscriber>,
}

impl HeartbeatLog {
    /// Subscribes to the heartbeats of every host of a testbed.
    pub fn start(testbed: &Testbed) -> Self {
        let secret = ClusterSecret::from_file(&testbed.folder().join("cluster.key")).expect("a key");
        let (subscriber, mut receiver) = HeartbeatSubscriber::start(secret).expect("a socket");
        for host in testbed.host_names() {
            let file = testbed.folder().join(format!("{host}.ini"));
            let settings = DaemonSettings::from_file(&file).expect("settings without a fault");
            let address = (settings.host.ip, settings.ports.heartbeat).into();
            subscriber.dial(address).expect("a dialler");
        }
        let heartbeats = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&heartbeats);
        tokio::spawn(async move {
            while let Some(heartbeat) = receiver.recv().await {
                let generation = heartbeat.generation.0;
                let heartbeat = ReceivedHeartbeat {
                    host: heartbeat.host.to_string(),
                    start: heartbeat.start,
                    generation,
                };
                recorded.lock().expect("no panic").push(heartbeat);
            }
        });
        Self {
            heartbeats,
            _subscriber: subscriber,
        }
    }

    /// Returns the position behind the last received heartbeat.
    pub fn position(&self) -> usize {
        self.heartbeats().len()
    }

    /// Waits until each host has announced the generation or a later one after the position.
    ///
    /// Returns for each host the number of heartbeats after the position that announced an earlier
    /// generation.
    pub async fn wait_generation(&self, hosts: &[&str], position: usize, generation: u64) -> Vec<usize> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let outdated: Vec<Option<usize>> = hosts
                .iter()
                .map(|host| self.heartbeats_before(host, position, generation))
                .collect();
            if let Some(outdated) = outdated.iter().copied().collect() {
                return outdated;
            }
            assert!(
                Instant::now() < deadline,
                "{hosts:?} still lack generation {generation}: {outdated:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until so many heartbeats of a host were received after the position.
    pub async fn wait_heartbeats(&self, host: &str, position: usize, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.heartbeats()[position..]
            .iter()
            .filter(|heartbeat| heartbeat.host == host)
            .count()
            < count
        {
            assert!(
                Instant::now() < deadline,
                "{host} has not sent {count} heartbeats"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns each pair of heartbeats of a host of which the later one announces an earlier generation.
    ///
    /// Generation 0 after a restart is no regression: the process has not applied a configuration yet.
    pub fn regressions(&self) -> Vec<(ReceivedHeartbeat, ReceivedHeartbeat)> {
        let heartbeats = self.heartbeats();
        let mut regressions = Vec::new();
        for (place, heartbeat) in heartbeats.iter().enumerate() {
            let earlier = heartbeats[..place]
                .iter()
                .rev()
                .filter(|earlier| earlier.host == heartbeat.host);
            let highest = earlier.max_by_key(|earlier| earlier.generation);
            let is_initial =
                |highest: &ReceivedHeartbeat| heartbeat.generation == 0 && heartbeat.start != highest.start;
            let lower =
                highest.filter(|highest| heartbeat.generation < highest.generation && !is_initial(highest));
            regressions.extend(lower.map(|highest| (highest.clone(), heartbeat.clone())));
        }
        regressions
    }

    fn heartbeats_before(&self, host: &str, position: usize, generation: u64) -> Option<usize> {
        let heartbeats = self.heartbeats();
        let mut own = heartbeats[position..]
            .iter()
            .filter(|heartbeat| heartbeat.host == host);
        own.position(|heartbeat| heartbeat.generation >= generation)
    }

    fn heartbeats(&self) -> MutexGuard<'_, Vec<ReceivedHeartbeat>> {
        self.heartbeats.lock().expect("no panic")
    }
}
