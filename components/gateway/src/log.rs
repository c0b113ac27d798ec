//! Log of a process: one line of key=value pairs for each event on standard output. The memory for waiting
//! lines is bounded, and logging never waits for the reader.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slog::{Drain as _, Logger, Record, o};
use slog_logfmt::Logfmt;

/// Limit on the bytes that wait for a slow reader; lines beyond it are dropped and counted.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Interval between two writes; the lines of an interval share one system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the lines about single requests per second.
const MAX_REQUEST_LINES_PER_S: f64 = 150.0;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct WaitingLines {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
    dropped: u64,
    is_closed: bool,
}

/// Collects lines for the writer thread.
#[derive(Debug, Clone, Default)]
struct LineBuffer {
    waiting: Arc<Mutex<WaitingLines>>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, WaitingLines> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the waiting lines, followed by a line with the number of dropped ones, if any. The flag states
    /// whether the log is closed.
    fn take(&self) -> (Vec<u8>, bool) {
        let mut waiting = self.lock();
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        if dropped > 0 {
            bytes.extend_from_slice(
                format!("level=WARN msg=\"log lines dropped\" lines={dropped}\n").as_bytes(),
            );
        }
        (bytes, waiting.is_closed)
    }
}

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.bytes.len() + buf.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Closes the log when it is dropped, and waits until the last lines are written.
#[derive(Debug)]
pub struct LogGuard {
    buffer: LineBuffer,
    writer: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.lock().is_closed = true;
        if let Some(writer) = self.writer.take() {
            // The result is ignored: a writer that panicked cannot write any further lines.
            drop(writer.join());
        }
    }
}

/// Opens the log of a process, whose lines name the host and the role, and starts the thread that writes
/// them.
///
/// # Errors
///
/// Fails when the writer's thread cannot be started.
pub fn open_log(host: &str, role: &'static str) -> io::Result<(Logger, LogGuard)> {
    let buffer = LineBuffer::default();
    let drain = Logfmt::new(LineAssembler::new(buffer.clone()))
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build();
    let drain = Mutex::new(drain).map(slog::Fuse);
    let log = Logger::root(drain, o!("host" => host.to_owned(), "role" => role));
    let lines = buffer.clone();
    let writer = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))?;
    let guard = LogGuard {
        buffer,
        writer: Some(writer),
    };
    Ok((log, guard))
}

/// Assembles complete lines for the buffer, so that no line is dropped in part.
#[derive(Debug)]
struct LineAssembler {
    buffer: LineBuffer,
    line: Vec<u8>,
}

impl LineAssembler {
    const fn new(buffer: LineBuffer) -> Self {
        Self {
            buffer,
            line: Vec::new(),
        }
    }
}

impl Write for LineAssembler {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            self.buffer.write_all(&self.line)?;
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(buffer: &LineBuffer) {
    loop {
        let (bytes, is_closed) = buffer.take();
        let mut output = io::stdout().lock();
        // A closed standard output cannot be reported anywhere, so that the writer ends.
        let is_written = output.write_all(&bytes).and_then(|()| output.flush()).is_ok();
        drop(output);
        if is_closed || !is_written {
            return;
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

fn write_time(out: &mut dyn Write, _: &Record) -> slog::Result {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    write!(out, "time={}\t", elapsed.as_millis())?;
    Ok(())
}

/// Rate limiter (token bucket) for the lines about single requests.
#[derive(Debug)]
pub(crate) struct LineLimiter {
    /// Lines that may be written now, and the time for which that was computed.
    available: Mutex<(f64, Instant)>,
}

impl LineLimiter {
    pub(crate) fn new() -> Self {
        Self {
            available: Mutex::new((MAX_REQUEST_LINES_PER_S, Instant::now())),
        }
    }

    /// Returns whether one more line may be written now, and counts it if so.
    pub(crate) fn try_acquire(&self) -> bool {
        let mut available = self.available.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(available.1).as_secs_f64() * MAX_REQUEST_LINES_PER_S;
        *available = ((available.0 + gained).min(MAX_REQUEST_LINES_PER_S), now);
        if available.0 < 1.0 {
            return false;
        }
        available.0 -= 1.0;
        true
    }
}
