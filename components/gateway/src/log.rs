//! The log: one line of key=value pairs for each event on standard output, bounded and never blocking.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slog::{Drain as _, Logger, Record, o};
use slog_logfmt::Logfmt;

/// Bytes that may wait for a slow reader; later lines are dropped and counted.
const BYTES_BUFFERED: usize = 256 * 1024;
/// Time between two writes: lines of that time share one system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Lines about single requests in a second.
const REQUEST_LINES_PER_S: f64 = 150.0;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct WaitingLines {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
    dropped: u64,
    is_closed: bool,
}

/// Collects lines for the writer.
#[derive(Debug, Clone, Default)]
struct LineBuffer {
    waiting: Arc<Mutex<WaitingLines>>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, WaitingLines> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what waits, with a line on what was dropped; the flag says whether the log is closed.
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
        if waiting.bytes.len() + buf.len() > BYTES_BUFFERED {
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

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    buffer: LineBuffer,
    writer: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.lock().is_closed = true;
        if let Some(writer) = self.writer.take() {
            // A writer that panicked has nothing left to write.
            drop(writer.join());
        }
    }
}

/// Opens the log of a process.
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

/// Hands whole lines to the buffer, so that a dropped line is dropped whole.
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
        // Nobody is left to be told of a closed standard output.
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

/// Bounds the lines about single requests.
#[derive(Debug)]
pub(crate) struct LineBudget {
    tokens: Mutex<(f64, Instant)>,
}

impl LineBudget {
    pub(crate) fn new() -> Self {
        Self {
            tokens: Mutex::new((REQUEST_LINES_PER_S, Instant::now())),
        }
    }

    /// Returns whether one more line may be written now.
    pub(crate) fn take(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(tokens.1).as_secs_f64() * REQUEST_LINES_PER_S;
        *tokens = ((tokens.0 + gained).min(REQUEST_LINES_PER_S), now);
        if tokens.0 < 1.0 {
            return false;
        }
        tokens.0 -= 1.0;
        true
    }
}
