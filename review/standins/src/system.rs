//! The project's own processes, started with the commands of `deploy/system.toml`.

use std::fs::{File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Ids of the processes that run, so that all of them are ended, also when the case takes too long.
#[derive(Debug, Clone, Default)]
struct Running(Arc<Mutex<Vec<u32>>>);

impl Running {
    fn add(&self, id: u32) {
        self.0.lock().expect("unpoisoned").push(id);
    }

    fn remove(&self, id: u32) {
        self.0.lock().expect("unpoisoned").retain(|known| *known != id);
    }

    fn kill_all(&self) {
        for id in self.0.lock().expect("unpoisoned").drain(..) {
            signal_id(id, "KILL");
        }
    }
}

fn signal_id(id: u32, name: &str) {
    let _sent = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {id}"))
        .stderr(Stdio::null())
        .status();
}

/// A role of the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry,
    Ledger,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    role: Role,
    /// Address for callers of an entry, or for peers of a ledger host.
    pub address: SocketAddr,
    pub ready: SocketAddr,
    control: SocketAddr,
    child: Option<Child>,
}

/// Shared parts of the settings, and the folder of the processes' files.
pub struct System {
    pub store: Store,
    record: Record,
    folder: PathBuf,
    program: PathBuf,
    seeds: Vec<SocketAddr>,
    /// Values in `[bounds]` and `contracts` beyond those of a small deployment.
    pub bounds: String,
    pub contracts: String,
    pub memory_mb: u64,
    running: Running,
}

/// Ports below those that the system gives to outgoing connections, which may otherwise take one that is free for a moment.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Returns a loopback address that is free now and that no other call of this process has returned.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61) % PORTS;
    loop {
        let offset = (first + TAKEN.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).expect("below the largest port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl System {
    /// Prepares a folder for the processes. The case ends with status 2 after 115 s.
    pub fn new(store: &Store, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("azuretide-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a writable temporary folder");
        let running = Running::default();
        let (watched, removed, noted) = (running.clone(), folder.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(115));
            noted.line("the case took too long");
            watched.kill_all();
            let _removed = std::fs::remove_dir_all(removed);
            std::process::exit(2);
        });
        Self {
            store: store.clone(),
            record: record.clone(),
            folder,
            program: PathBuf::from("target/release/azuretide-platform"),
            seeds: Vec::new(),
            bounds: String::new(),
            contracts: String::new(),
            memory_mb: 140,
            running,
        }
    }

    /// Creates machines with ledger hosts, whose addresses are the seeds of all, and with entries.
    pub fn machines(&mut self, ledgers: usize, entries: usize) -> (Vec<Machine>, Vec<Machine>) {
        let machine = |role: Role, name: String| Machine {
            name,
            role,
            address: free_address(),
            ready: free_address(),
            control: free_address(),
            child: None,
        };
        let ledgers: Vec<Machine> = (0..ledgers)
            .map(|number| machine(Role::Ledger, format!("storage-hall-a-{}", number + 1)))
            .collect();
        let entries = (0..entries)
            .map(|number| machine(Role::Entry, format!("edge-hall-a-{}", number + 1)))
            .collect();
        self.seeds = ledgers.iter().map(|ledger| ledger.address).take(3).collect();
        (ledgers, entries)
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves, listen, data) = match machine.role {
            Role::Entry => (
                "edge",
                "\"edge\"",
                format!(
                    "frontend = \"{}\"\nready = \"{}\"\ncontrol_plane = \"{}\"\n",
                    machine.address, machine.ready, machine.control
                ),
                String::new(),
            ),
            Role::Ledger => (
                "storage",
                "\"storage\",\"control\"",
                format!("control_plane = \"{}\"\n", machine.address),
                format!(
                    "data_dir = \"{}\"\n",
                    self.folder.join(&machine.name).join("data").display()
                ),
            ),
        };
        format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [{serves}]\nip = \"127.0.0.1\"\n\
             zone = \"hall-a\"\nregion = \"colombo\"\ninternal_port_range = [{port}, {port}]\nmetrics_port = 0\nseed_nodes = [{seeds}]\n\
             bootstrap = {bootstrap}\nin_tolerance = {counts}\n{data}discovery = \"platform\"\nentry = \"virtual_ip\"\n\
             heartbeat_interval_ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"{contracts}]\n\
             [zones]\nhall-a = \"colombo\"\n[listen_addrs]\n{listen}[limits]\ncpu_share = 0.5\ncpu_cores = 1\nmemory_mb = {memory}\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 530\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.9\ndrain_ms = 2000\ngrace_s = 8\n\
             loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\npass_ms = 120\n\
             retry_after_s = 0\ncompletion_s = 10\nsettle_ms = 1000\n{bounds}\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            name = machine.name,
            port = machine.control.port(),
            seeds = seeds.join(", "),
            counts = machine.role == Role::Ledger,
            contracts = self.contracts,
            memory = self.memory_mb,
            bounds = self.bounds,
            store = self.store.address,
        )
    }

    /// Starts the process of a machine.
    pub fn start(&self, machine: &mut Machine, bootstrap: bool) {
        let folder = self.folder.join(&machine.name);
        std::fs::create_dir_all(&folder).expect("a writable folder");
        let boot = folder.join("boot.toml");
        std::fs::write(&boot, self.settings(machine, bootstrap)).expect("a writable folder");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("a writable folder");
        let copy: File = log.try_clone().expect("a second handle");
        let word = if machine.role == Role::Entry {
            "entry"
        } else {
            "ledger"
        };
        let child = Command::new(&self.program)
            .arg(word)
            .env("AZURETIDE_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn();
        let Ok(child) = child else {
            self.record.line("the program of the deploy file is not built");
            self.running.kill_all();
            std::process::exit(2);
        };
        self.running.add(child.id());
        self.record.line(&format!("process {} starts", machine.name));
        machine.child = Some(child);
    }

    /// Kills the process of a machine.
    pub fn kill(&self, machine: &mut Machine) {
        if let Some(mut child) = machine.child.take() {
            let _killed = child.kill();
            let _ended = child.wait();
            self.running.remove(child.id());
            self.record.line(&format!("process {} killed", machine.name));
        }
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub fn stop(&self, machine: &mut Machine) {
        if let Some(mut child) = machine.child.take() {
            self.record
                .line(&format!("process {} gets SIGTERM", machine.name));
            signal_id(child.id(), "TERM");
            let _ended = child.wait();
            self.running.remove(child.id());
            self.record.line(&format!("process {} has ended", machine.name));
        }
    }

    /// Waits until an entry says that it is ready; the case cannot run if it does not.
    pub fn wait_ready(&self, machine: &Machine) {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let answer = http::call(
                machine.ready,
                "GET",
                "/readiness",
                &[("Host", "x")],
                b"",
                Duration::from_secs(1),
            );
            if answer.status == 200 {
                self.record.line(&format!("{} is ready", machine.name));
                return;
            }
            if Instant::now() > until {
                self.record.line(&format!("{} does not get ready", machine.name));
                self.finish(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends all processes and the case.
    pub fn finish(&self, status: i32) -> ! {
        self.running.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("files kept in {}", self.folder.display());
        }
        let verdict = match status {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.line(verdict);
        std::process::exit(status);
    }
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
