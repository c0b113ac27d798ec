//! Log of the process: one line of key=value pairs per event, on standard error.

use std::io::Write;

use config::{DaemonSettings, LogLevel};
use domain::TimeMillis;
use slog::{Drain as _, Level, Logger, Record, o};
use slog_async::AsyncGuard;
use slog_logfmt::Logfmt;

/// Capacity of the queue that buffers log lines while the reader of standard error is slow.
const MAX_QUEUED_LINES: usize = 4096;

/// Opens the log of a process; the guard flushes the queued lines when it is dropped.
pub(crate) fn open_log(settings: &DaemonSettings) -> (Logger, AsyncGuard) {
    let drain = Logfmt::new(std::io::stderr())
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build_with_guard();
    let drain = drain.filter_level(level_of(settings.log.level)).fuse();
    let log = Logger::root(drain, o!("host" => settings.host.name.to_string()));
    (log, guard)
}

/// Writes the time of an event in milliseconds since the Unix epoch.
fn write_time(out: &mut dyn Write, _: &Record) -> slog::Result {
    write!(out, "time={}\t", TimeMillis::now().0)?;
    Ok(())
}

const fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}
